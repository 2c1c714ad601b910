import type { ClientAccount } from "@tanagerdeck/decisions/document/documentTypes";
import type { RunnerLoad, UsageCounter } from "@tanagerdeck/decisions/fleet/reportTypes";
import { enqueue, expectedWaitMs } from "@tanagerdeck/decisions/admission/runnerQueue";
import { runEstimate, typicalRunMs } from "@tanagerdeck/decisions/admission/runEstimates";
import { sweepLedger } from "@tanagerdeck/decisions/request/requestLedgerMemory";
import type {
    LedgerRecord,
    LedgerReference,
    SendAttempt,
} from "@tanagerdeck/decisions/request/requestLedgerTypes";
import {
    admitRequest,
    advanceLedger,
    closeRequest,
    findRequest,
    finishRecord,
    type LedgerDecision,
} from "@tanagerdeck/decisions/request/requestLedger";
import type { Progress, Request } from "@tanagerdeck/decisions/request/requestTypes";
import { failure, type Failure, type Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { startTask, type Handlers, type Reply, type Task } from "@tanagerdeck/runtime/task/task";
import {
    notifyIfIdle,
    createRunnerState,
    finishRequest,
    removeFromQueue,
    releaseSlot,
    replyWhenDone,
    releaseRequest,
    RUN_GRACE_MS,
    runTimeKey,
    startQueuedRequests,
    type RunnerContext,
    type RunnerOptions,
    type RunnerState,
} from "./runnerState.ts";

/** Interval at which the ledger is swept. */
const SWEEP_INTERVAL_MS = 1_000;
/** Limit on a client account's waiting requests while its quota is unknown. */
const DEFAULT_WAITING_QUOTA = 100;
const NOT_RECEIVED = failure(
    "not-run",
    "unreachable",
    "The request did not arrive, and a later arrival will be refused.",
);
const CANCELLED_IN_QUEUE = failure("not-run", "cancelled", "The request was cancelled before it ran.");
const CANCELLED_WHILE_RUNNING = failure(
    "may-have-run",
    "cancelled",
    "The request was cancelled while it ran.",
);
const RUN_TIMED_OUT = failure("may-have-run", "deadline-exceeded", "The run did not end by its deadline.");

/** Messages that the runner task handles. */
export type RunnerMessage =
    | { kind: "accounts"; accounts: ClientAccount[] }
    | { kind: "submit"; request: Request; send: SendAttempt; reply: Reply<Progress> }
    | { kind: "result"; reference: LedgerReference; reply: Reply<Progress> }
    | { kind: "settle"; reference: LedgerReference; reply: Reply<Progress> }
    | { kind: "cancel"; reference: LedgerReference; reply: Reply<Progress> }
    | { kind: "ran"; key: string; outcome: Outcome }
    | { kind: "poll-end"; key: string; reply: Reply<Progress> }
    | { kind: "deadline"; key: string }
    | { kind: "run-end"; key: string }
    | { kind: "sweep" }
    | { kind: "load"; reply: Reply<RunnerLoad> }
    /** The reply has the cumulative slot time by client account and kind. */
    | { kind: "usage"; reply: Reply<UsageCounter[]> }
    | { kind: "drain" }
    /** The reply is sent when no request waits, runs, or has an undelivered outcome before its deadline. */
    | { kind: "idle"; reply: Reply<undefined> };

/** Starts the task that owns the request ledger, the queue and the slots of one runner. */
export function startRunnerTask(options: RunnerOptions): Task<RunnerMessage> {
    const task = startTask<RunnerState, RunnerMessage>({
        name: "runner",
        state: createRunnerState(options),
        handlers,
        clock: options.clock,
        reportError: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
    task.send({ kind: "sweep" });
    return task;
}

const handlers: Handlers<RunnerState, RunnerMessage> = {
    accounts(state, message) {
        state.accounts.clear();
        for (const account of message.accounts) {
            state.accounts.set(account.name, account);
        }
    },
    submit(state, message, context) {
        const { request, send, reply } = message;
        advanceLedgerTime(state);
        const decision = admitRequest(state.ledger, request, send, state.options.digestOf(request.body));
        if (decision.kind !== "new") {
            replyToDecision(state, request.id, decision, reply, context);
            return;
        }
        const problem = admissionFailure(state, request);
        if (problem) {
            finishRecord(state.ledger, decision.record, problem);
        } else {
            enqueueRequest(state, request, decision.record, context);
        }
        replyWhenDone(state, decision.record, reply, context);
        startQueuedRequests(state, context);
    },
    result(state, message, context) {
        const { reference, reply } = message;
        advanceLedgerTime(state);
        replyToDecision(state, reference.id, findRequest(state.ledger, reference), reply, context);
    },
    settle(state, message, context) {
        const { reference, reply } = message;
        advanceLedgerTime(state);
        const decision = closeRequest(state.ledger, reference, NOT_RECEIVED);
        if (decision.kind === "known" && decision.record.state !== "done") {
            reply({ kind: "pending" });
            return;
        }
        replyToDecision(state, reference.id, decision, reply, context);
    },
    cancel(state, message, context) {
        const { reference, reply } = message;
        advanceLedgerTime(state);
        const decision = closeRequest(state.ledger, reference, CANCELLED_IN_QUEUE);
        if (decision.kind === "known") {
            cancelOrAbort(state, decision.record.key, CANCELLED_IN_QUEUE, CANCELLED_WHILE_RUNNING);
        }
        replyToDecision(state, reference.id, decision, reply, context);
        startQueuedRequests(state, context);
    },
    ran(state, message, context) {
        const { key } = message;
        const abortFailure = state.live.get(key)?.abortFailure;
        const isUncertain = message.outcome.verdict === "may-have-run";
        releaseSlot(state, key, message.outcome);
        finishRequest(state, key, abortFailure && isUncertain ? abortFailure : message.outcome);
        startQueuedRequests(state, context);
    },
    "poll-end"(state, message) {
        if (state.live.get(message.key)?.polls.delete(message.reply)) {
            message.reply({ kind: "pending" });
        }
    },
    deadline(state, message, context) {
        const { key } = message;
        if (removeFromQueue(state, key)) {
            finishRequest(
                state,
                key,
                failure("not-run", "deadline-exceeded", "The deadline passed while the request was queued."),
            );
        }
        releaseRequest(state, key);
        const live = state.live.get(key);
        if (live) {
            live.stopDeadlineTimer = context.after(RUN_GRACE_MS, { kind: "run-end", key });
        }
        startQueuedRequests(state, context);
    },
    "run-end"(state, message) {
        cancelOrAbort(state, message.key, RUN_TIMED_OUT, RUN_TIMED_OUT);
        releaseRequest(state, message.key);
    },
    sweep(state, _message, context) {
        advanceLedgerTime(state);
        sweepLedger(state.ledger);
        context.after(SWEEP_INTERVAL_MS, { kind: "sweep" });
    },
    load(state, message) {
        message.reply(describeLoad(state));
    },
    usage(state, message) {
        message.reply([...state.usage.values()]);
    },
    drain(state) {
        state.draining = true;
    },
    idle(state, message) {
        state.idleReplies.push(message.reply);
        notifyIfIdle(state);
    },
};

/** Advances the ledger's time by the monotonic clock. */
function advanceLedgerTime(state: RunnerState): void {
    advanceLedger(state.ledger, state.ledgerStartWallMs + state.options.clock.now());
}

function replyToDecision(
    state: RunnerState,
    id: string,
    decision: LedgerDecision,
    reply: Reply<Progress>,
    context: RunnerContext,
): void {
    if (decision.kind === "refused") {
        reply({ kind: "done", id, outcome: decision.failure });
        return;
    }
    replyWhenDone(state, decision.record, reply, context);
}

function enqueueRequest(
    state: RunnerState,
    request: Request,
    record: LedgerRecord,
    context: RunnerContext,
): void {
    const { key } = record;
    const now = state.options.clock.now();
    const { clientAccount, priority } = request;
    const estimate = runEstimate(state.runTimes, runTimeKey(request), now);
    state.live.get(key)?.stopDeadlineTimer();
    state.live.set(key, {
        record,
        request,
        deadlineAt: now + request.remainingMs,
        polls: new Map(),
        abort: new AbortController(),
        stopDeadlineTimer: context.after(request.remainingMs, { kind: "deadline", key }),
        abortFailure: undefined,
    });
    const expectedMs = estimate?.expectedMs ?? typicalRunMs(state.runTimes, now);
    enqueue(state.queue, { key, clientAccount, priority, enqueuedAt: now, expectedMs });
}

/** Returns why a new request is refused at once; undefined if it is admitted to the queue. */
function admissionFailure(state: RunnerState, request: Request): Failure | undefined {
    const { clientAccount } = request;
    if (state.draining) {
        return failure("not-run", "draining", "The backend server is draining.");
    }
    const waiting = state.queue.waiting.filter(queued => queued.clientAccount === clientAccount).length;
    if (waiting >= (state.accounts.get(clientAccount)?.quota.waiting ?? DEFAULT_WAITING_QUOTA)) {
        return failure("not-run", "limit-exceeded", "Too many requests of this client account are waiting.");
    }
    const now = state.options.clock.now();
    const optimisticMs = runEstimate(state.runTimes, runTimeKey(request), now)?.optimisticMs ?? 0;
    if (expectedWaitMs(state.queue, request, now) + optimisticMs > request.remainingMs) {
        return failure("not-run", "infeasible", "The request cannot finish before its deadline.");
    }
    return undefined;
}

/**
 * Ends a queued request with `waiting`, or aborts a running one. An aborted run ends when its call returns; `running`
 * is its outcome if the call does not tell whether the request ran.
 */
function cancelOrAbort(state: RunnerState, key: string, waiting: Failure, running: Failure): void {
    const live = state.live.get(key);
    if (!live || live.record.state === "done") {
        return;
    }
    if (removeFromQueue(state, key)) {
        finishRequest(state, key, waiting);
        return;
    }
    live.abortFailure = running;
    live.abort.abort();
}

function describeLoad(state: RunnerState): RunnerLoad {
    const { queue, options } = state;
    const now = options.clock.now();
    advanceLedgerTime(state);
    return {
        slots: queue.slots,
        running: queue.running.length,
        waiting: queue.waiting.length,
        expectedWaitMs: expectedWaitMs(queue, { priority: "normal" }, now),
        typicalRunMs: typicalRunMs(state.runTimes, now),
        waitByPriority: {
            urgent: expectedWaitMs(queue, { priority: "urgent" }, now),
            normal: expectedWaitMs(queue, { priority: "normal" }, now),
            batch: expectedWaitMs(queue, { priority: "batch" }, now),
        },
        ledgerTime: state.ledger.now,
    };
}
