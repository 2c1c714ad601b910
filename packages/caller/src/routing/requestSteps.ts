import type { Either } from "purify-ts/Either";
import { takeProbe } from "@tanagerdeck/decisions/health/serverHealth";
import type { Progress, Request } from "@tanagerdeck/decisions/request/requestTypes";
import { parseTicket } from "@tanagerdeck/decisions/request/requestTypes";
import { chooseRunner, countSent, type AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import { checkProgress } from "@tanagerdeck/decisions/routing/answerCheck";
import { nextStep, type CallResult, type CallStep } from "@tanagerdeck/decisions/routing/callStep";
import { createRetryBudget, takeRetry } from "@tanagerdeck/decisions/routing/retryBudget";
import { failure, type Failure, type Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { recordCallHealth } from "./callHealth.ts";
import {
    getOrCreate,
    type PendingRequest,
    type RoutingContext,
    type RoutingState,
    type Target,
} from "./routingState.ts";

/** Interval of the checks whether a ticket's agent has appeared in the fleet view. */
const AGENT_POLL_MS = 250;
/** Time for which the target of a finished request is kept, to route repeats of its id. */
const RECENT_TARGET_MS = 600_000;

/** Chooses an agent for a pending request and submits the request to it. */
export function dispatchRequest(state: RoutingState, pending: PendingRequest, context: RoutingContext): void {
    const agent = pending.kind.repeatable
        ? chooseRequestAgent(state, pending)
        : findTicketAgent(state, pending);
    if (!agent) {
        waitForAgent(state, pending, context);
        return;
    }
    const { report } = agent;
    const incarnation = parseTicket(pending.id)?.incarnation ?? report.incarnation;
    pending.target = {
        agent: report.name,
        address: report.address,
        id: pending.id,
        clientAccount: pending.request.clientAccount,
        incarnation,
        attempt: pending.attempt,
    };
    countSent(state.sentCounts, report);
    callAgent(state, pending, pending.target, "submit", context);
}

/** Starts a call to the request's agent; its checked result arrives as a `progress` message. */
export function callAgent(
    state: RoutingState,
    pending: PendingRequest,
    target: Target,
    step: CallStep,
    context: RoutingContext,
): void {
    const { calls, digestOf, clock } = state.options;
    const { key, id, attempt } = pending;
    const request: Request = {
        id,
        clientAccount: pending.request.clientAccount,
        kind: pending.kind.name,
        priority: pending.kind.priority,
        repeatable: pending.kind.repeatable,
        remainingMs: Math.max(0, pending.deadlineAt - clock.now()),
        body: pending.request.body,
        traceparent: pending.span.traceparent,
    };
    const steps: Record<CallStep, () => Promise<Either<Failure, Progress>>> = {
        submit: () => calls.submit(target.address, request, target, state.configuration?.revision ?? 0),
        result: () => calls.result(target.address, target),
        settle: () => calls.settle(target.address, target),
    };
    const checked = (result: Either<Failure, Progress>): CallResult =>
        result.caseOf<CallResult>({
            Left: problem => ({ kind: "failed", failure: problem }),
            Right: progress => checkProgress(id, progress, digestOf, Buffer.byteLength),
        });
    context.start(steps[step], result => ({ kind: "progress", key, attempt, step, result: checked(result) }));
}

/** Handles the result of a call: makes the next call, retries at another agent, or finishes the request. */
export function handleCallResult(
    state: RoutingState,
    pending: PendingRequest,
    step: CallStep,
    result: CallResult,
    context: RoutingContext,
): void {
    const { key, attempt, target } = pending;
    if (!target) {
        return;
    }
    recordCallHealth(state, target.agent, step, result);
    if (result.kind === "damaged") {
        pending.damagedAnswers++;
        state.options.log.warn("An answer arrived damaged.", { id: pending.id, agent: target.agent });
    }
    const next = nextStep(step, result, {
        repeatable: pending.kind.repeatable,
        damagedAnswers: pending.damagedAnswers,
    });
    if (next.kind === "call") {
        context.after(next.delayMs, { kind: "call", key, attempt, step: next.step });
        return;
    }
    if (next.kind === "retry") {
        retryRequest(state, pending, next.failure, context);
        return;
    }
    // The ledger of a ticket's agent has every send of the ticket, so its verdict is final.
    const isConclusive = result.kind === "progress" && !pending.kind.repeatable;
    finishRequest(state, pending, isConclusive ? next.outcome : applyUncertainty(pending, next.outcome));
}

/** Finishes a pending request and replies to all its callers. */
export function finishRequest(state: RoutingState, pending: PendingRequest, outcome: Outcome): void {
    const { clock } = state.options;
    pending.stopTimer();
    pending.span.set({ verdict: outcome.verdict });
    pending.span.end(outcome.kind === "failure" ? outcome.reason : undefined);
    state.pendingRequests.delete(pending.key);
    reportLoad(state);
    if (pending.target) {
        const uncertain = pending.uncertain || outcome.verdict === "may-have-run";
        const keepUntil = clock.now() + RECENT_TARGET_MS;
        state.recentTargets.set(pending.key, { target: pending.target, uncertain, keepUntil });
    }
    for (const reply of pending.replies) {
        reply({ kind: "outcome", id: pending.id, outcome });
    }
    if (state.pendingRequests.size === 0) {
        for (const reply of state.idleReplies.splice(0)) {
            reply(undefined);
        }
    }
}

/** Updates the load metrics. All pending requests count as running, including those that the rate limit delays. */
export function reportLoad(state: RoutingState): void {
    state.options.metrics.load("request", { waiting: 0, running: state.pendingRequests.size });
}

/** Changes `not-run` to `may-have-run` if an earlier send or attempt may have run. */
export function applyUncertainty(pending: { uncertain: boolean }, outcome: Outcome): Outcome {
    if (outcome.kind === "failure" && outcome.verdict === "not-run" && pending.uncertain) {
        return { ...outcome, verdict: "may-have-run" };
    }
    return outcome;
}

/** Chooses a runner's agent by load, health and availability zone, and takes its probe if one is due. */
export function chooseAgent(
    state: RoutingState,
    choice: { priority: PendingRequest["kind"]["priority"]; excluded: Set<string>; mayProbe: boolean },
): AgentView | undefined {
    const { availabilityZone, random, clock } = state.options;
    const now = clock.now();
    const { health, sentCounts, medianMs } = state;
    const agent = chooseRunner(state.agents, {
        ...choice,
        availabilityZone,
        random,
        now,
        health,
        sentCounts,
        medianMs,
    });
    const chosenHealth = agent && health.get(agent.report.name);
    if (chosenHealth) {
        takeProbe(chosenHealth, now);
    }
    return agent;
}

/** Sends the request to another agent, if the deadline, the fleet and the account's retry budget allow it. */
function retryRequest(
    state: RoutingState,
    pending: PendingRequest,
    problem: Failure,
    context: RoutingContext,
): void {
    const { clock, newId, log, metrics } = state.options;
    const now = clock.now();
    pending.uncertain ||= problem.verdict === "may-have-run";
    const budget = getOrCreate(state.retryBudgets, pending.request.clientAccount, createRetryBudget);
    const agent = pending.target?.agent;
    if (agent) {
        pending.excluded.add(agent);
    }
    const choice = { priority: pending.kind.priority, excluded: pending.excluded, mayProbe: false };
    const canRetry =
        !pending.cancelled && now < pending.deadlineAt && chooseAgent(state, choice) !== undefined;
    if (!canRetry || !takeRetry(budget, now)) {
        finishRequest(state, pending, applyUncertainty(pending, problem));
        return;
    }
    log.info("A request is sent to another agent.", { id: pending.id, agent, reason: problem.reason });
    metrics.retried("request");
    pending.attempt = newId();
    pending.damagedAnswers = 0;
    dispatchRequest(state, pending, context);
}

/** Waits for the agent of a ticket until its time limit; fails the request if there is no agent. */
function waitForAgent(state: RoutingState, pending: PendingRequest, context: RoutingContext): void {
    const { key, attempt } = pending;
    if (!pending.kind.repeatable && state.options.clock.now() < pending.awaitAgentUntil) {
        context.after(AGENT_POLL_MS, { kind: "start", key, attempt });
        return;
    }
    const problem = pending.kind.repeatable
        ? failure("not-run", "no-backend-server", "No backend server is serving.")
        : failure("not-run", "unreachable", "The agent of the ticket is not known to this entry.");
    finishRequest(state, pending, applyUncertainty(pending, problem));
}

/** Chooses the agent of a repeatable request; a repeat goes to the agent of its earlier send. */
function chooseRequestAgent(state: RoutingState, pending: PendingRequest): AgentView | undefined {
    const recent = state.recentTargets.get(pending.key)?.target;
    const known = state.agents.find(
        ({ report, state: agentState }) =>
            report.name === recent?.agent &&
            report.incarnation === recent.incarnation &&
            (agentState === "serving" || agentState === "draining"),
    );
    if (known && !pending.excluded.has(known.report.name)) {
        return known;
    }
    const { excluded } = pending;
    return chooseAgent(state, { priority: pending.kind.priority, excluded, mayProbe: excluded.size === 0 });
}

function findTicketAgent(state: RoutingState, pending: PendingRequest): AgentView | undefined {
    const name = parseTicket(pending.id)?.agent;
    return state.agents.find(
        ({ report, state: agentState }) => report.name === name && agentState !== "left",
    );
}
