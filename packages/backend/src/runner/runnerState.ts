import type { ClientAccount } from "@tanagerdeck/decisions/document/documentTypes";
import {
    fairShortestFirst,
    startQueued,
    type QueueOrder,
    type RunnerQueue,
} from "@tanagerdeck/decisions/admission/runnerQueue";
import type { UsageCounter } from "@tanagerdeck/decisions/fleet/reportTypes";
import { learnRunTime, runEstimate, type RunEstimates } from "@tanagerdeck/decisions/admission/runEstimates";
import {
    createRequestLedger,
    type RequestLedger,
    type LedgerLimits,
    type LedgerRecord,
} from "@tanagerdeck/decisions/request/requestLedgerTypes";
import { deliverRecord, finishRecord } from "@tanagerdeck/decisions/request/requestLedger";
import { countRunUsage } from "@tanagerdeck/decisions/usage/usageCount";
import type { Progress, Request } from "@tanagerdeck/decisions/request/requestTypes";
import { failure, type Failure, type Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock, TimerStop } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Reply, TaskContext } from "@tanagerdeck/runtime/task/task";
import type { RunRequest } from "./runnerClient.ts";
import type { RunnerMessage } from "./runnerTask.ts";

/** A long poll is answered with `pending` after this time. */
export const POLL_WINDOW_MS = 1_500;
/** A run is aborted this long after its deadline, so that a runner that never answers does not keep its slot. */
export const RUN_GRACE_MS = 2_000;

const DEFAULT_LIMITS: LedgerLimits = { bytes: 64 * 1024 * 1024, records: 100_000 };

/** Dependencies of the runner task. */
export interface RunnerOptions {
    incarnation: string;
    slots: number;
    clock: Clock;
    log: Log;
    run: RunRequest;
    /** Digest function that tells whether a repeated id comes with the same body. */
    digestOf: (body: string) => string;
    /** Chooses the next queued request; `fairShortestFirst` by default. */
    order?: QueueOrder;
    limits?: LedgerLimits;
    /** Longest duration of a long poll; `POLL_WINDOW_MS` by default. */
    pollWindowMs?: number;
}

/** A request that waits, runs, or has an outcome that was not delivered yet. */
export interface LiveRequest {
    record: LedgerRecord;
    request: Request;
    deadlineAt: number;
    /** Open long polls for the outcome, each with the function that stops its timer. */
    polls: Map<Reply<Progress>, TimerStop>;
    abort: AbortController;
    /** Stops the timer of the deadline, or of the grace period after it. */
    stopDeadlineTimer: TimerStop;
    /** Failure recorded for an aborted run if its call does not tell whether the request ran. */
    abortFailure: Failure | undefined;
}

/** State of the runner task. */
export interface RunnerState {
    ledger: RequestLedger;
    /** Wall-clock time at which the monotonic clock read 0; keeps ledger time from jumping with the wall clock. */
    ledgerStartWallMs: number;
    /** Live requests by ledger key. */
    live: Map<string, LiveRequest>;
    queue: RunnerQueue;
    runTimes: RunEstimates;
    usage: Map<string, UsageCounter>;
    accounts: Map<string, ClientAccount>;
    draining: boolean;
    /** Replies that are sent when no live request is left. */
    idleReplies: Reply<undefined>[];
    options: RunnerOptions;
}

/** Context of the runner task's handlers. */
export type RunnerContext = TaskContext<RunnerMessage>;

/** Creates the state of a new incarnation of the runner task. */
export function createRunnerState(options: RunnerOptions): RunnerState {
    const { clock, slots } = options;
    const accounts = new Map<string, ClientAccount>();
    const weightOf = (name: string) => accounts.get(name)?.weight ?? 1;
    return {
        ledger: createRequestLedger(options.incarnation, options.limits ?? DEFAULT_LIMITS, clock.wall()),
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

/** Key under which run times are learned. Run times that clients declare are not used. */
export function runTimeKey(request: { clientAccount: string; kind: string }): string {
    return `${request.clientAccount}/${request.kind}`;
}

/** Replies with the outcome as soon as it is known, or with `pending` at the end of the poll window. */
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

/** Records the outcome of a request and answers its polls. */
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

/** Removes a finished request from the live ones; call it when the outcome was delivered or the deadline has passed. */
export function releaseRequest(state: RunnerState, key: string): void {
    const live = state.live.get(key);
    if (!live || live.record.state !== "done") {
        return;
    }
    live.stopDeadlineTimer();
    state.live.delete(key);
    notifyIfIdle(state);
}

/** Answers the pending `idle` messages if no live request is left. */
export function notifyIfIdle(state: RunnerState): void {
    if (state.live.size > 0) {
        return;
    }
    for (const reply of state.idleReplies.splice(0)) {
        reply(undefined);
    }
}

/** Starts queued requests on free slots, and refuses those that can no longer meet their deadline. */
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
        const optimisticMs = runEstimate(state.runTimes, runTimeKey(live.request), now)?.optimisticMs ?? 0;
        if (now + optimisticMs > live.deadlineAt) {
            removeFromQueue(state, candidate.key);
            finishRequest(
                state,
                candidate.key,
                failure("not-run", "infeasible", "The request can no longer finish before its deadline."),
            );
            continue;
        }
        startQueued(queue, candidate, now);
        startRun(state, live, context);
    }
}

/** Removes a request from the queue; returns false if it is not queued. */
export function removeFromQueue(state: RunnerState, key: string): boolean {
    const index = state.queue.waiting.findIndex(waiting => waiting.key === key);
    if (index < 0) {
        return false;
    }
    state.queue.waiting.splice(index, 1);
    return true;
}

/** Frees the slot of a request, counts its use unless it did not run, and learns the run time of an answered one. */
export function releaseSlot(state: RunnerState, key: string, outcome: Outcome): void {
    const { queue, options } = state;
    const index = queue.running.findIndex(running => running.key === key);
    const [running] = index < 0 ? [] : queue.running.splice(index, 1);
    const live = state.live.get(key);
    if (!running || !live || outcome.verdict === "not-run") {
        return;
    }
    const now = options.clock.now();
    countRunUsage(state.usage, live.request, now - running.startedAt);
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
                `The call to the runner failed: ${String(error)}.`,
            ),
        }),
    );
}
