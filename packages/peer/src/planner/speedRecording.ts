import type { Either } from "purify-ts/Either";
import type { ClusterState } from "@tanagerdeck/decisions/plan/clusterState";
import {
    effectiveFactor,
    forgetOtherBoots,
    refreshSpeeds,
    restoreSpeed,
    speedOf,
} from "@tanagerdeck/decisions/speed/speedEstimate";
import { speedKey } from "@tanagerdeck/decisions/speed/speedTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Handlers, TaskContext } from "@tanagerdeck/runtime/task/task";
import type { CommitReply, Item, Transaction } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { decodeContent, encodeContent, type StoredSpeed } from "@tanagerdeck/store/replica/storedValueCodec";
import { LEADER_KEY, SPEEDS_KEY } from "@tanagerdeck/store/replica/storeKeys";
import type { StartCommit } from "./commitStart.ts";
import type { PlannerMessage, PlannerOptions } from "./plannerTypes.ts";

/** A write of the speeds, with the factors that it holds. */
export interface SpeedWrite {
    transaction: Transaction;
    factors: Map<string, number>;
}

/** Message of the planner's task on the outcome of a write of speeds. */
export interface SpeedMessage {
    kind: "speeds-recorded";
    write: SpeedWrite;
    result: Either<Failure, CommitReply>;
}

/** The part of the planner's state that the recording of speeds uses. */
interface SpeedOwner {
    cluster: ClusterState;
    isHalted: boolean;
}

/** Dependencies of the recording of speeds. */
export interface SpeedOptions extends Pick<PlannerOptions, "term" | "clock" | "newWriteId" | "metrics"> {
    log: Log;
    commit: StartCommit;
    /** Called if the store shows that the term has ended. */
    halt: () => void;
}

type Context = TaskContext<PlannerMessage>;

/** Operations and the handler that keep the stored speeds up to date. */
export interface SpeedRecorder extends Pick<Handlers<SpeedOwner, PlannerMessage>, "speeds-recorded"> {
    /** Takes over the stored speeds, once the cluster state is loaded. */
    load(owner: SpeedOwner, items: Item[]): void;
    /** Logs, counts and records speeds that have changed. */
    update(owner: SpeedOwner, context: Context): void;
}

/** Interval of the checks for changed speeds, which are estimated at most as often. */
const CHECK_INTERVAL_MS = 1_000;
/** Minimum interval between two writes, as store calls are priced; a change of the leader loses less than this. */
const WRITE_INTERVAL_MS = 5_000;
/** Change of a factor above which it is recorded. */
const RECORDED_CHANGE = 1.1;
/** Change of a factor above which it is logged again. */
const LOGGED_CHANGE = 1.25;
/** Workers in the stored value, those that differ most first; some 110 KB with names of 25 bytes. */
const MAX_STORED_WORKERS = 1_000;

/** Creates the recorder of one leader term. */
export function createSpeedRecorder(options: SpeedOptions): SpeedRecorder {
    const { term, clock, log, newWriteId, metrics, commit, halt } = options;
    let revision = 0;
    let isWriting = false;
    let checkedAt = -Infinity;
    let writtenAt = -Infinity;
    /** Factors in the stored value, by worker key. */
    let recorded = new Map<string, number>();
    /** Factors last logged, by worker name. */
    const logged = new Map<string, number>();

    function adopt(stored: Item | undefined): Record<string, StoredSpeed> {
        const content = stored && decodeContent("speeds", stored.value);
        if (stored && !content) {
            log.error("The stored speeds cannot be decoded; they are ignored.", { term });
        }
        revision = stored?.revision ?? 0;
        recorded = new Map();
        for (const [worker, { boot, factor }] of Object.entries(content?.workers ?? {})) {
            recorded.set(speedKey(worker, boot), factor);
        }
        return content?.workers ?? {};
    }

    function report({ cluster }: SpeedOwner): void {
        const counts = { slow: 0, normal: 0, fast: 0 };
        for (const { name, description } of cluster.workers.values()) {
            if (!description) {
                continue;
            }
            const speed = speedOf(cluster.speeds, name, description.boot);
            counts[speed === 1 ? "normal" : speed < 1 ? "slow" : "fast"] += 1;
            const before = logged.get(name) ?? 1;
            if ((speed === 1) !== (before === 1) || hasChanged(before, speed, LOGGED_CHANGE)) {
                logged.set(name, speed);
                const known = cluster.speeds.estimate.get(speedKey(name, description.boot));
                log.info("A worker's speed is known.", {
                    term,
                    worker: name,
                    speed: Number(speed.toFixed(2)),
                    observations: known?.observations ?? 0,
                });
            }
        }
        metrics.workerSpeeds(counts);
    }

    function send(write: SpeedWrite, context: Context): void {
        commit(context, write.transaction, result => ({ kind: "speeds-recorded", write, result }));
    }

    return {
        load({ cluster }, items) {
            const stored = items.find(item => item.key === SPEEDS_KEY);
            for (const [worker, { boot, ...speed }] of Object.entries(adopt(stored))) {
                restoreSpeed(cluster.speeds, speedKey(worker, boot), speed);
            }
        },
        update(owner, context) {
            const now = clock.now();
            if (now - checkedAt < CHECK_INTERVAL_MS) {
                return;
            }
            checkedAt = now;
            const { speeds, workers } = owner.cluster;
            refreshSpeeds(speeds, now);
            forgetOtherBoots(speeds, worker => workers.get(worker)?.description?.boot);
            report(owner);
            if (isWriting || now - writtenAt < WRITE_INTERVAL_MS) {
                return;
            }
            const stored = storedSpeeds(owner.cluster);
            const factors = new Map<string, number>();
            let isDue = false;
            for (const [worker, { boot, factor }] of stored) {
                const key = speedKey(worker, boot);
                factors.set(key, factor);
                isDue ||= hasChanged(recorded.get(key) ?? 1, factor, RECORDED_CHANGE);
            }
            if (isDue) {
                const content = { workers: Object.fromEntries(stored) };
                const value = encodeContent("speeds", content, newWriteId());
                const expected = [
                    { key: LEADER_KEY, revision: term },
                    { key: SPEEDS_KEY, revision },
                ];
                isWriting = true;
                const transaction = { expected, puts: [{ key: SPEEDS_KEY, value }], removes: [] };
                send({ transaction, factors }, context);
            }
        },
        "speeds-recorded"(owner, { write, result }, context) {
            if (owner.isHalted) {
                return;
            }
            result.caseOf({
                Left(problem) {
                    log.warn("Speeds cannot be recorded.", { term, detail: problem.detail });
                    // Retries the identical transaction, as the earlier attempt may have been executed.
                    send(write, context);
                },
                Right(reply) {
                    isWriting = false;
                    writtenAt = clock.now();
                    if (reply.kind === "committed") {
                        recorded = write.factors;
                        revision = reply.revision;
                    } else if (reply.kind === "conflict") {
                        if (!reply.items.some(item => item.key === LEADER_KEY && item.revision === term)) {
                            halt();
                            return;
                        }
                        adopt(reply.items.find(item => item.key === SPEEDS_KEY));
                    }
                },
            });
        },
    };
}

function hasChanged(before: number, now: number, limit: number): boolean {
    return now > before * limit || now < before / limit;
}

/** The speeds of the present boots that are to be stored, by worker name. */
function storedSpeeds({ workers, speeds }: ClusterState): [string, StoredSpeed][] {
    const known: [string, StoredSpeed][] = [];
    for (const { name, description } of workers.values()) {
        const speed = description && speeds.estimate.get(speedKey(name, description.boot));
        if (speed && speed.observations > 0) {
            const factor = Number(speed.factor.toFixed(3));
            known.push([name, { boot: description.boot, factor, observations: speed.observations }]);
        }
    }
    if (known.length <= MAX_STORED_WORKERS) {
        return known;
    }
    const difference = ([, speed]: [string, StoredSpeed]) => Math.abs(Math.log(effectiveFactor(speed)));
    known.sort((left, right) => difference(right) - difference(left));
    return known.slice(0, MAX_STORED_WORKERS);
}
