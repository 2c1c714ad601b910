import { admitAtEntry } from "@tanagerdeck/decisions/admission/entryAdmission";
import { createTokenBucket } from "@tanagerdeck/decisions/admission/tokenBucket";
import type { ClientAccount, WorkKind } from "@tanagerdeck/decisions/document/documentTypes";
import { medianMs } from "@tanagerdeck/decisions/health/serverHealth";
import { parseTicket } from "@tanagerdeck/decisions/request/requestTypes";
import { countRequest, createRetryBudget } from "@tanagerdeck/decisions/routing/retryBudget";
import { failure, type Failure, type FailureReason } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { startTask, type Handlers, type Reply, type Task } from "@tanagerdeck/runtime/task/task";
import { cancelRequest, handleCancelResult } from "./cancelSteps.ts";
import {
    callAgent,
    finishRequest,
    handleCallResult,
    reportLoad,
    dispatchRequest,
    applyUncertainty,
} from "./requestSteps.ts";
import {
    createRoutingState,
    getOrCreate,
    type CallerRequest,
    type PendingRequest,
    type RoutingContext,
    type RoutingMessage,
    type RoutingOptions,
    type RoutingReply,
    type RoutingState,
} from "./routingState.ts";
import { issueTicket } from "./ticketIssue.ts";

/** Wait for the agent's outcome after the deadline, since it can still be `not-run`. */
const DEADLINE_GRACE_MS = 250;
/** Longest wait for a ticket's agent: slightly over a report interval, after which a new entry knows all agents. */
const AGENT_WAIT_MS = 2_500;
const SWEEP_INTERVAL_MS = 10_000;

/** Starts the task that admits one entry's requests, routes them to agents and owns them while in flight. */
export function startRoutingTask(options: RoutingOptions): Task<RoutingMessage> {
    const task = startTask<RoutingState, RoutingMessage>({
        name: "routing",
        state: createRoutingState(options),
        handlers,
        clock: options.clock,
        reportError: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
    task.send({ kind: "sweep" });
    return task;
}

const handlers: Handlers<RoutingState, RoutingMessage> = {
    fleet(state, message) {
        state.agents = message.agents;
        const names = new Set(message.agents.map(({ report }) => report.name));
        for (const known of [state.health, state.sentCounts]) {
            for (const name of known.keys()) {
                if (!names.has(name)) {
                    known.delete(name);
                }
            }
        }
        state.medianMs = medianMs(message.agents.map(({ report }) => report.runner?.typicalRunMs ?? 0));
    },
    configuration(state, message) {
        state.configuration = message.configuration;
    },
    entries(state, message) {
        state.entries = message.count;
    },
    request(state, message, context) {
        const { request, reply } = message;
        const id = request.id ?? state.options.newId();
        const kind = findKind(state, request);
        if (!kind) {
            refuse(request, id, reply, "invalid", "The kind is not registered for this client account.");
            return;
        }
        const key = `${request.clientAccount}/${id}`;
        const known = state.pendingRequests.get(key);
        if (known) {
            joinPendingRequest(known, request, reply);
            return;
        }
        if (!kind.repeatable && !parseTicket(id)) {
            issueTicket(state, kind, request, reply);
            return;
        }
        if (kind.repeatable && parseTicket(id)) {
            refuse(request, id, reply, "invalid", "An id with three ~ is reserved for tickets.");
            return;
        }
        admit(state, { key, id, kind, request, reply }, context);
    },
    start(state, message, context) {
        const pending = findCurrentAttempt(state, message);
        if (pending) {
            dispatchRequest(state, pending, context);
        }
    },
    call(state, message, context) {
        const pending = findCurrentAttempt(state, message);
        if (pending?.target) {
            callAgent(state, pending, pending.target, message.step, context);
        }
    },
    progress(state, message, context) {
        const pending = findCurrentAttempt(state, message);
        if (pending) {
            handleCallResult(state, pending, message.step, message.result, context);
        }
    },
    deadline(state, message) {
        const pending = state.pendingRequests.get(message.key);
        if (!pending) {
            return;
        }
        const verdict = pending.target ? "may-have-run" : "not-run";
        const problem = failure(verdict, "deadline-exceeded", "The deadline passed.");
        finishRequest(state, pending, applyUncertainty(pending, problem));
    },
    cancel(state, message, context) {
        cancelRequest(state, message, context);
    },
    cancelled(state, message) {
        handleCancelResult(state, message);
    },
    sweep(state, _message, context) {
        const now = state.options.clock.now();
        for (const [key, recent] of state.recentTargets) {
            if (recent.keepUntil <= now) {
                state.recentTargets.delete(key);
            }
        }
        context.after(SWEEP_INTERVAL_MS, { kind: "sweep" });
    },
    idle(state, message) {
        if (state.pendingRequests.size === 0) {
            message.reply(undefined);
            return;
        }
        state.idleReplies.push(message.reply);
    },
};

/** Finds the pending request of a message; undefined if the message belongs to an earlier attempt. */
function findCurrentAttempt(
    state: RoutingState,
    message: { key: string; attempt: string },
): PendingRequest | undefined {
    const pending = state.pendingRequests.get(message.key);
    return pending?.attempt === message.attempt ? pending : undefined;
}

/** Attaches a repeat to the pending request with its id, so that both get the same outcome. */
function joinPendingRequest(known: PendingRequest, request: CallerRequest, reply: Reply<RoutingReply>): void {
    const { kind, body } = known.request;
    if (kind !== request.kind || body !== request.body) {
        const problem = failure("not-run", "conflict", "The id belongs to another request.");
        reply({ kind: "outcome", id: known.id, outcome: problem });
        return;
    }
    known.replies.push(reply);
}

/** Applies the account's limits and dispatches the request, now or when the rate limit allows it. */
function admit(
    state: RoutingState,
    arrival: {
        key: string;
        id: string;
        kind: WorkKind;
        request: CallerRequest;
        reply: Reply<RoutingReply>;
    },
    context: RoutingContext,
): void {
    const { key, id, kind, request, reply } = arrival;
    const now = state.options.clock.now();
    const deadlineAt = now + request.deadlineMs;
    const account = findAccount(state, request.clientAccount);
    if (!account) {
        refuse(request, id, reply, "access-denied", "The client account is not known.");
        return;
    }
    const bucket = getOrCreate(state.tokenBuckets, account.name, createTokenBucket);
    const bodyBytes = Buffer.byteLength(request.body);
    const requestsPerSecond = account.quota.requestsPerSecond / state.entries;
    const quota = { ...account.quota, requestsPerSecond };
    const admission = admitAtEntry(bucket, { bodyBytes, deadlineAt, limits: kind.limits, quota }, now);
    if (admission.kind === "refused") {
        refuse(request, id, reply, admission.failure.reason, admission.failure.detail);
        return;
    }
    countRequest(getOrCreate(state.retryBudgets, account.name, createRetryBudget), now);
    const pending: PendingRequest = {
        key,
        id,
        request,
        kind,
        deadlineAt,
        attempt: state.options.newId(),
        target: undefined,
        excluded: new Set(),
        uncertain: mayBeRepeat(request) || (state.recentTargets.get(key)?.uncertain ?? false),
        cancelled: false,
        damagedAnswers: 0,
        awaitAgentUntil: now + AGENT_WAIT_MS,
        replies: [reply],
        stopTimer: context.after(request.deadlineMs + DEADLINE_GRACE_MS, { kind: "deadline", key }),
        span: state.options.startSpan("route request", request.traceparent, { kind: kind.name }),
    };
    state.pendingRequests.set(key, pending);
    reportLoad(state);
    if (admission.startAt > now) {
        context.after(admission.startAt - now, { kind: "start", key, attempt: pending.attempt });
        return;
    }
    dispatchRequest(state, pending, context);
}

/** Refuses a request at the entry; the verdict is `may-have-run` if the caller may have sent the id before. */
function refuse(
    request: CallerRequest,
    id: string,
    reply: Reply<RoutingReply>,
    reason: FailureReason,
    detail: string,
): void {
    const verdict: Failure["verdict"] = mayBeRepeat(request) ? "may-have-run" : "not-run";
    reply({ kind: "outcome", id, outcome: failure(verdict, reason, detail) });
}

function mayBeRepeat(request: CallerRequest): boolean {
    return request.id !== undefined && !request.firstSend;
}

function findKind(state: RoutingState, request: CallerRequest): WorkKind | undefined {
    return state.configuration?.document.kinds.find(
        kind =>
            kind.name === request.kind &&
            kind.form === "request" &&
            kind.clientAccounts.includes(request.clientAccount),
    );
}

function findAccount(state: RoutingState, name: string): ClientAccount | undefined {
    return state.configuration?.document.clientAccounts.find(account => account.name === name);
}
