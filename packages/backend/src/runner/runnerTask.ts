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
    answerIdle,
    createRunnerState,
    finish,
    leaveQueue,
    leaveSlot,
    poll,
    release,
    RUN_GRACE_MS,
    runTimeKey,
    startWaiting,
    type RunnerContext,
    type RunnerOptions,
    type RunnerState,
} from "./runnerState.ts";

const SWEEP_INTERVAL_MS = 1_000;
/** Bound on one account's waiting requests while the agent knows no quota. */
const DEFAULT_WAITING = 100;
const DID_NOT_ARRIVE = failure(
    "not-run",
    "unreachable",
    "The request did not arrive and is refused from now on.",
);
const CANCELLED = failure("not-run", "cancelled", "The request was cancelled before it ran.");
const CANCELLED_RUN = failure("may-have-run", "cancelled", "The request was cancelled while it ran.");
const RUN_TOO_LONG = failure("may-have-run", "deadline-exceeded", "The run did not end by its deadline.");

/** Messages of the runner task. */
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
    /** Answered with the cumulative slot time by client account and kind. */
    | { kind: "usage"; reply: Reply<UsageCounter[]> }
    | { kind: "drain" }
    /** Answered when no request waits, runs, or has an outcome that its entry can still ask for. */
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
        advance(state);
        const decision = admitRequest(state.ledger, request, send, state.options.digestOf(request.body));
        if (decision.kind !== "new") {
            answer(state, request.id, decision, reply, context);
            return;
        }
        const problem = queueProblem(state, request);
        if (problem) {
            finishRecord(state.ledger, decision.record, problem);
        } else {
            addLive(state, request, decision.record, context);
        }
        poll(state, decision.record, reply, context);
        startWaiting(state, context);
    },
    result(state, message, context) {
        const { reference, reply } = message;
        advance(state);
        answer(state, reference.id, findRequest(state.ledger, reference), reply, context);
    },
    settle(state, message, context) {
        const { reference, reply } = message;
        advance(state);
        const decision = closeRequest(state.ledger, reference, DID_NOT_ARRIVE);
        if (decision.kind === "known" && decision.record.state !== "done") {
            reply({ kind: "pending" });
            return;
        }
        answer(state, reference.id, decision, reply, context);
    },
    cancel(state, message, context) {
        const { reference, reply } = message;
        advance(state);
        const decision = closeRequest(state.ledger, reference, CANCELLED);
        if (decision.kind === "known") {
            giveUp(state, decision.record.key, CANCELLED, CANCELLED_RUN);
        }
        answer(state, reference.id, decision, reply, context);
        startWaiting(state, context);
    },
    ran(state, message, context) {
        const { key } = message;
        const givenUp = state.live.get(key)?.givenUp;
        const uncertain = message.outcome.verdict === "may-have-run";
        leaveSlot(state, key, message.outcome);
        finish(state, key, givenUp && uncertain ? givenUp : message.outcome);
        startWaiting(state, context);
    },
    "poll-end"(state, message) {
        if (state.live.get(message.key)?.polls.delete(message.reply)) {
            message.reply({ kind: "pending" });
        }
    },
    deadline(state, message, context) {
        const { key } = message;
        if (leaveQueue(state, key)) {
            finish(state, key, failure("not-run", "deadline-exceeded", "The deadline passed in the queue."));
        }
        release(state, key);
        const live = state.live.get(key);
        if (live) {
            live.stopTimer = context.after(RUN_GRACE_MS, { kind: "run-end", key });
        }
        startWaiting(state, context);
    },
    "run-end"(state, message) {
        giveUp(state, message.key, RUN_TOO_LONG, RUN_TOO_LONG);
        release(state, message.key);
    },
    sweep(state, _message, context) {
        advance(state);
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
        state.idle.push(message.reply);
        answerIdle(state);
    },
};

function advance(state: RunnerState): void {
    advanceLedger(state.ledger, state.ledgerStart + state.options.clock.now());
}

function answer(
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
    poll(state, decision.record, reply, context);
}

function addLive(state: RunnerState, request: Request, record: LedgerRecord, context: RunnerContext): void {
    const { key } = record;
    const now = state.options.clock.now();
    const { clientAccount, priority } = request;
    const estimate = runEstimate(state.runTimes, runTimeKey(request), now);
    state.live.get(key)?.stopTimer();
    state.live.set(key, {
        record,
        request,
        deadlineAt: now + request.remainingMs,
        polls: new Map(),
        abort: new AbortController(),
        stopTimer: context.after(request.remainingMs, { kind: "deadline", key }),
        givenUp: undefined,
    });
    const expectedMs = estimate?.expectedMs ?? typicalRunMs(state.runTimes, now);
    enqueue(state.queue, { key, clientAccount, priority, enqueuedAt: now, expectedMs });
}

/** Why a new request is refused at once; undefined if it may wait. */
function queueProblem(state: RunnerState, request: Request): Failure | undefined {
    const { clientAccount } = request;
    if (state.draining) {
        return failure("not-run", "draining", "The backend server is draining.");
    }
    const waiting = state.queue.waiting.filter(queued => queued.clientAccount === clientAccount).length;
    if (waiting >= (state.accounts.get(clientAccount)?.quota.waiting ?? DEFAULT_WAITING)) {
        return failure("not-run", "limit-exceeded", "Too many requests of this client account are waiting.");
    }
    const now = state.options.clock.now();
    const shortMs = runEstimate(state.runTimes, runTimeKey(request), now)?.optimisticMs ?? 0;
    if (expectedWaitMs(state.queue, request, now) + shortMs > request.remainingMs) {
        return failure("not-run", "infeasible", "The request cannot finish before its deadline.");
    }
    return undefined;
}

/** Ends a waiting request, or aborts a running one, whose outcome is then known when the call returns. */
function giveUp(state: RunnerState, key: string, waiting: Failure, running: Failure): void {
    const live = state.live.get(key);
    if (!live || live.record.state === "done") {
        return;
    }
    if (leaveQueue(state, key)) {
        finish(state, key, waiting);
        return;
    }
    live.givenUp = running;
    live.abort.abort();
}

function describeLoad(state: RunnerState): RunnerLoad {
    const { queue, options } = state;
    const now = options.clock.now();
    advance(state);
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
