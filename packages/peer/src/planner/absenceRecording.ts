import type { Either } from "purify-ts/Either";
import { absentAgents } from "@tanagerdeck/decisions/plan/absence";
import type { ClusterState } from "@tanagerdeck/decisions/plan/clusterState";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Handlers, TaskContext } from "@tanagerdeck/runtime/task/task";
import type { CommitReply, Item, Transaction } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { decodeContent, encodeContent } from "@tanagerdeck/store/replica/storedValueCodec";
import { ABSENCES_KEY, LEADER_KEY } from "@tanagerdeck/store/replica/storeKeys";
import type { StartCommit } from "./commitStart.ts";
import type { PlannerMessage, PlannerOptions } from "./plannerTypes.ts";

/**
 * The planner's knowledge of agents that have not reported, which it records so that the next leader need not wait for them
 * anew. The clocks of two leaders cannot be compared, but an age can be handed over: the recorded age and the time since
 * it was read are less than the time without a report, as long as no leader grants a lease to a recorded agent.
 */
export interface AbsenceState {
    /** Revision of the stored value; 0 if there is none. */
    revision: number;
    /** Agents that the stored value names, or that a write without a known outcome does. */
    recorded: Set<string>;
    /** Agents whose sessions grant no leases: the recorded ones, and those about to be. */
    withheld: Map<string, "requested" | "confirmed">;
    writtenAt: number;
    isWriting: boolean;
}

/** A write of the absences. */
export interface AbsenceWrite {
    transaction: Transaction;
    agents: Set<string>;
}

/** Messages of the planner's task on absences. */
export type AbsenceMessage =
    | { kind: "withheld"; agent: string }
    | { kind: "absences-recorded"; write: AbsenceWrite; result: Either<Failure, CommitReply> };

/** The part of the planner's state that the recording of absences uses. */
interface AbsenceOwner {
    cluster: ClusterState;
    absences: AbsenceState;
    isHalted: boolean;
}

/** Dependencies of the recording of absences. */
export interface AbsenceOptions extends Pick<
    PlannerOptions,
    "term" | "formerTerm" | "clock" | "newWriteId" | "sessions"
> {
    log: Log;
    commit: StartCommit;
    /** Called if the store shows that the term has ended. */
    halt: () => void;
}

/** Operations and handlers that keep the record of absences up to date. */
export interface AbsenceRecorder extends Pick<
    Handlers<AbsenceOwner, PlannerMessage>,
    "withheld" | "absences-recorded"
> {
    /** Sets the times of the last reports of absent agents from the recorded ages, once the cluster state is loaded. */
    load(owner: AbsenceOwner, items: Item[]): void;
    /** Records absences that are new, have ended or have grown. */
    update(owner: AbsenceOwner, context: TaskContext<PlannerMessage>): void;
}

type Context = TaskContext<PlannerMessage>;

/** Interval at which recorded ages are brought up to date; a change of the leader loses less than this. */
const REFRESH_INTERVAL_MS = 1_000;

/** Creates the state of a planner that has not read the store yet. */
export function createAbsenceState(now: number): AbsenceState {
    return { revision: 0, recorded: new Set(), withheld: new Map(), writtenAt: now, isWriting: false };
}

/** Creates the recorder of one leader term. */
export function createAbsenceRecorder(options: AbsenceOptions): AbsenceRecorder {
    const { term, formerTerm, clock, log, newWriteId, sessions, commit, halt } = options;

    /** Takes over a stored value; an agent that it names is withheld until a later write no longer names it. */
    function adopt(absences: AbsenceState, stored: Item | undefined): Map<string, number> {
        const content = stored && decodeContent("absences", stored.value);
        if (stored && !content) {
            log.error("The stored absences cannot be decoded; they are written anew.", { term });
        }
        const ages = new Map(Object.entries(content?.agents ?? {}));
        absences.revision = stored?.revision ?? 0;
        absences.recorded = new Set(ages.keys());
        absences.writtenAt = clock.now();
        for (const agent of ages.keys()) {
            void sessions.withhold(agent);
            absences.withheld.set(agent, "confirmed");
        }
        return ages;
    }

    function write(absences: AbsenceState, ages: Map<string, number>, context: Context): void {
        const content = { agents: Object.fromEntries(ages) };
        const value = encodeContent("absences", content, newWriteId());
        const expected = [
            { key: LEADER_KEY, revision: term },
            { key: ABSENCES_KEY, revision: absences.revision },
        ];
        const transaction = { expected, puts: [{ key: ABSENCES_KEY, value }], removes: [] };
        absences.isWriting = true;
        send({ transaction, agents: new Set(ages.keys()) }, context);
    }

    function send(write: AbsenceWrite, context: Context): void {
        commit(context, write.transaction, result => ({ kind: "absences-recorded", write, result }));
    }

    return {
        load(owner, items) {
            const stored = items.find(item => item.key === ABSENCES_KEY);
            const ages = adopt(owner.absences, stored);
            // Makes the first update write, so that the record is known to be of this term.
            owner.absences.writtenAt = -Infinity;
            const isOfFormerTerm = formerTerm !== undefined && owner.absences.revision > formerTerm;
            if (ages.size > 0 && !isOfFormerTerm) {
                // A leader of an earlier release, which keeps no record, may have granted leases since it was written.
                log.info("The recorded absences are not of the latest term; they are not used.", { term });
                return;
            }
            for (const [agent, ageMs] of ages) {
                const worker = owner.cluster.workers.get(agent);
                if (worker) {
                    worker.lastReportAt = Math.min(worker.lastReportAt, clock.now() - ageMs);
                    log.info("An agent was absent before this term.", { term, agent, ageMs });
                }
            }
        },
        update({ cluster, absences }, context) {
            const { recorded, withheld, isWriting } = absences;
            const absent = absentAgents(cluster, clock.now());
            for (const agent of absent.keys()) {
                if (!withheld.has(agent)) {
                    withheld.set(agent, "requested");
                    context.start(
                        () => sessions.withhold(agent),
                        () => ({ kind: "withheld", agent }),
                    );
                }
            }
            if (isWriting) {
                return;
            }
            const ages = new Map<string, number>();
            let hasChanged = false;
            for (const [agent, progress] of withheld) {
                const ageMs = absent.get(agent);
                if (progress === "confirmed" && ageMs !== undefined) {
                    ages.set(agent, ageMs);
                } else if (progress === "confirmed" && !recorded.has(agent)) {
                    withheld.delete(agent);
                    sessions.release(agent);
                }
                hasChanged ||= ages.has(agent) !== recorded.has(agent);
            }
            const isDue = ages.size > 0 && clock.now() - absences.writtenAt >= REFRESH_INTERVAL_MS;
            if (hasChanged || isDue) {
                write(absences, ages, context);
            }
        },
        // The reports that led to the latest grants arrive before this message, so the absence is determined again.
        withheld({ absences }, { agent }) {
            absences.withheld.set(agent, "confirmed");
        },
        "absences-recorded"(owner, { write, result }, context) {
            const { absences } = owner;
            if (owner.isHalted) {
                return;
            }
            result.caseOf({
                Left(problem) {
                    log.warn("Absences cannot be recorded.", { term, detail: problem.detail });
                    // Retries the identical transaction, as the earlier attempt may have been executed.
                    send(write, context);
                },
                Right(reply) {
                    absences.isWriting = false;
                    if (reply.kind === "committed") {
                        logChanges(absences.recorded, write.agents);
                        absences.recorded = write.agents;
                        absences.revision = reply.revision;
                        absences.writtenAt = clock.now();
                    } else if (reply.kind === "conflict") {
                        if (!reply.items.some(item => item.key === LEADER_KEY && item.revision === term)) {
                            halt();
                            return;
                        }
                        adopt(
                            absences,
                            reply.items.find(item => item.key === ABSENCES_KEY),
                        );
                    }
                },
            });
        },
    };

    function logChanges(before: Set<string>, after: Set<string>): void {
        for (const agent of after) {
            if (!before.has(agent)) {
                log.info("The absence of an agent is recorded.", { term, agent });
            }
        }
        for (const agent of before) {
            if (!after.has(agent)) {
                log.info("The absence of an agent has ended.", { term, agent });
            }
        }
    }
}
