import type { ClientAccount } from "@tanagerdeck/decisions/document/documentTypes";
import {
    fairShortestFirst,
    startQueued,
    type QueueOrder,
    type RunnerQueue,
} from "@tanagerdeck/decisions/admission/runnerQueue";
import type { UsageCounter } from "@tanagerdeck/decisions/fleet/reportTypes";
import { learnRunTime, runEstimate, type RunTimes } from "@tanagerdeck/decisions/admission/runTimes";
import {
    createLedger,
    type Ledger,
    type LedgerLimits,
    type LedgerRecord,
} from "@tanagerdeck/decisions/request/ledgerTypes";
import { deliverRecord, finishRecord } from "@tanagerdeck/decisions/request/requestLedger";
import { countUse } from "@tanagerdeck/decisions/usage/usageCount";
import type { Progress, Request } from "@tanagerdeck/decisions/request/requestTypes";
import { failure, type Failure, type Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock, TimerStop } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Reply, TaskContext } from "@tanagerdeck/runtime/task/task";
import type { RunRequest } from "./runnerClient.ts";
import type { RunnerMessage } from "./runnerTask.ts";

/** A long poll is answered with `pending` after this time. */
export const POLL_WINDOW_MS = 1_500;
/** A run is given up this long after its deadline, so that a runner that never answers frees its slot. */
export const RUN_GRACE_MS = 2_000;

const DEFAULT_LIMITS: LedgerLimits = { bytes: 64 * 1024 * 1024, records: 100_000 };

/** Dependencies of the runner task. */
export interface RunnerOptions {
    incarnation: string;
    slots: number;
    clock: Clock;
    log: Log;
    run: RunRequest;
    /** Digest by which two bodies under one id are compared. */
    digestOf: (body: string) => string;
    /** Order of the queue; by default the one of the design page. */
    order?: QueueOrder;
    limits?: LedgerLimits;
    /** A long poll is answered with `pending` after this time; `POLL_WINDOW_MS` by default. */
    pollWindowMs?: number;
}

/** A request that waits, runs, or has an outcome that was handed to nobody yet. */
export interface LiveRequest {
    record: LedgerRecord;
    request: Request;
    deadlineAt: number;
    polls: Map<Reply<Progress>, TimerStop>;
    abort: AbortController;
    /** Stops the timer of the deadline. */
    stopDeadlineTimer: TimerStop;
    /** What a run that is given up counts as. */
    abortFailure: Failure | undefined;
}

/** State of the runner task. */
export interface RunnerState {
    ledger: Ledger;
    ledgerStartWallMs: number;
    live: Map<string, LiveRequest>;
    queue: RunnerQueue;
    runTimes: RunTimes;
    usage: Map<string, UsageCounter>;
    accounts: Map<string, ClientAccount>;
    draining: boolean;
    idleReplies: Reply<undefined>[];
    options: RunnerOptions;
}

/** Context of the runner task's handlers. */
export type RunnerContext = TaskContext<RunnerMessage>;

/** Builds the state of a new incarnation. */
export function createRunnerState(options: RunnerOptions): RunnerState {
    const { clock, slots } = options;
    const accounts = new Map<string, ClientAccount>();
    const weightOf = (name: string) => accounts.get(name)?.weight ?? 1;
    return {
        ledger: createLedger(options.incarnation, options.limits ?? DEFAULT_LIMITS, clock.wall()),
        ledgerStartWallMs: clock.wall() - clock.now(),
        live: new Map(),
        queue: { slots, waiting: [], running: [], served: new Map(), weightOf },
        runTimes: new Map(),
        usage: new Map(),
        accounts,
        draining: false,
        idleReplies: [],
        options,
    };
}

/** Key of learned run times; declared values are not used. */
export function runTimeKey(request: { clientAccount: string; kind: string }): string {
    return `${request.clientAccount}/${request.kind}`;
}

/** Answers with the outcome, or when it is known, or with `pending` at the end of the poll window. */
export function replyWhenDone(
    state: RunnerState,
    record: LedgerRecord,
    reply: Reply<Progress>,
    context: RunnerContext,
): void {
    const outcome = deliverRecord(state.ledger, record);
    if (outcome) {
        reply({ kind: "done", id: record.id, outcome });
        releaseRequest(state, record.key);
        return;
    }
    const { key } = record;
    const stop = context.after(state.options.pollWindowMs ?? POLL_WINDOW_MS, {
        kind: "poll-end",
        key,
        reply,
    });
    state.live.get(key)?.polls.set(reply, stop);
}

/** Records the end of a request and answers its polls. */
export function finishRequest(state: RunnerState, key: string, outcome: Outcome): void {
    const live = state.live.get(key);
    if (!live) {
        return;
    }
    const { record, polls } = live;
    finishRecord(state.ledger, record, outcome);
    if (polls.size === 0) {
        return;
    }
    const delivered = deliverRecord(state.ledger, record) ?? outcome;
    for (const [reply, stop] of polls) {
        stop();
        reply({ kind: "done", id: record.id, outcome: delivered });
    }
    polls.clear();
    releaseRequest(state, key);
}

/** Forgets a finished request that was delivered or whose deadline has passed; the ledger keeps its record. */
export function releaseRequest(state: RunnerState, key: string): void {
    const live = state.live.get(key);
    if (!live || live.record.state !== "done") {
        return;
    }
    live.stopDeadlineTimer();
    state.live.delete(key);
    notifyIfIdle(state);
}

/** Tells those who wait for the end of the work, if there is none left. */
export function notifyIfIdle(state: RunnerState): void {
    if (state.live.size > 0) {
        return;
    }
    for (const reply of state.idleReplies.splice(0)) {
        reply(undefined);
    }
}

/** Gives free slots to waiting requests. */
export function startQueuedRequests(state: RunnerState, context: RunnerContext): void {
    const { queue, options } = state;
    const order = options.order ?? fairShortestFirst;
    const now = options.clock.now();
    while (queue.running.length < queue.slots) {
        const candidate = order(queue, now);
        const live = candidate && state.live.get(candidate.key);
        if (!candidate || !live) {
            return;
        }
        const shortMs = runEstimate(state.runTimes, runTimeKey(live.request), now)?.shortMs ?? 0;
        if (now + shortMs > live.deadlineAt) {
            removeFromQueue(state, candidate.key);
            finishRequest(
                state,
                candidate.key,
                failure("not-run", "infeasible", "The deadline cannot be met any more."),
            );
            continue;
        }
        startQueued(queue, candidate, now);
        startRun(state, live, context);
    }
}

/** Removes a request from the queue; false if it does not wait there. */
export function removeFromQueue(state: RunnerState, key: string): boolean {
    const index = state.queue.waiting.findIndex(waiting => waiting.key === key);
    if (index < 0) {
        return false;
    }
    state.queue.waiting.splice(index, 1);
    return true;
}

/** Frees the slot of a request, counts its use and learns its run time if it answered. */
export function releaseSlot(state: RunnerState, key: string, outcome: Outcome): void {
    const { queue, options } = state;
    const index = queue.running.findIndex(running => running.key === key);
    const [running] = index < 0 ? [] : queue.running.splice(index, 1);
    const live = state.live.get(key);
    if (!running || !live || outcome.verdict === "not-run") {
        return;
    }
    const now = options.clock.now();
    countUse(state.usage, live.request, now - running.startedAt);
    if (outcome.kind !== "answer") {
        return;
    }
    learnRunTime(state.runTimes, runTimeKey(live.request), now - running.startedAt, now);
}

function startRun(state: RunnerState, live: LiveRequest, context: RunnerContext): void {
    const { record, request, abort } = live;
    const { key } = record;
    record.state = "running";
    context.start(
        () => state.options.run(request, abort.signal),
        outcome => ({ kind: "ran", key, outcome }),
        error => ({
            kind: "ran",
            key,
            outcome: failure(
                "may-have-run",
                "backend-error",
                `The call of the runner failed: ${String(error)}.`,
            ),
        }),
    );
}
