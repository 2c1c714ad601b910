import type { Either } from "purify-ts/Either";
import { takeProbe } from "@tanagerdeck/decisions/health/serverHealth";
import type { Progress, Request } from "@tanagerdeck/decisions/request/requestTypes";
import { parseTicket } from "@tanagerdeck/decisions/request/requestTypes";
import { chooseRunner, countSent, type AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import { checkProgress } from "@tanagerdeck/decisions/routing/answerCheck";
import { nextStep, type CallResult, type CallStep } from "@tanagerdeck/decisions/routing/callStep";
import { createRetryBudget, takeRetry } from "@tanagerdeck/decisions/routing/retryBudget";
import { failure, type Failure, type Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { learnHealth } from "./callHealth.ts";
import { valueOf, type Flight, type RoutingContext, type RoutingState, type Target } from "./routingState.ts";

/** Pause between two looks for a ticket's agent in the fleet view. */
const AGENT_PAUSE_MS = 250;
/** A finished request's agent is remembered for this time. */
const RECENT_MS = 600_000;

/** Chooses the agent of a flight and submits the request to it. */
export function startFlight(state: RoutingState, flight: Flight, context: RoutingContext): void {
    const agent = flight.kind.repeatable ? chooseForFlight(state, flight) : ticketAgent(state, flight);
    if (!agent) {
        awaitAgent(state, flight, context);
        return;
    }
    const { report } = agent;
    const incarnation = parseTicket(flight.id)?.incarnation ?? report.incarnation;
    flight.target = {
        agent: report.name,
        address: report.address,
        id: flight.id,
        clientAccount: flight.request.clientAccount,
        incarnation,
        attempt: flight.attempt,
    };
    countSent(state.sent, report);
    call(state, flight, flight.target, "submit", context);
}

/** Starts one call of a flight; its result is posted as a message. */
export function call(
    state: RoutingState,
    flight: Flight,
    target: Target,
    step: CallStep,
    context: RoutingContext,
): void {
    const { calls, digestOf, clock } = state.options;
    const { key, id, attempt } = flight;
    const request: Request = {
        id,
        clientAccount: flight.request.clientAccount,
        kind: flight.kind.name,
        priority: flight.kind.priority,
        repeatable: flight.kind.repeatable,
        remainingMs: Math.max(0, flight.deadlineAt - clock.now()),
        body: flight.request.body,
        traceparent: flight.span.traceparent,
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

/** Takes the result of a call and does the next step of the flight. */
export function proceed(
    state: RoutingState,
    flight: Flight,
    step: CallStep,
    result: CallResult,
    context: RoutingContext,
): void {
    const { key, attempt, target } = flight;
    if (!target) {
        return;
    }
    learnHealth(state, target.agent, step, result);
    if (result.kind === "damaged") {
        flight.damaged++;
        state.options.log.warn("An answer arrived damaged.", { id: flight.id, agent: target.agent });
    }
    const next = nextStep(step, result, {
        repeatable: flight.kind.repeatable,
        damagedAnswers: flight.damaged,
    });
    if (next.kind === "call") {
        context.after(next.delayMs, { kind: "call", key, attempt, step: next.step });
        return;
    }
    if (next.kind === "retry") {
        retry(state, flight, next.failure, context);
        return;
    }
    // The agent of a ticket knows every send of it, so its verdict stands whatever happened before.
    const conclusive = result.kind === "progress" && !flight.kind.repeatable;
    finish(state, flight, conclusive ? next.outcome : worstVerdict(flight, next.outcome));
}

/** Ends a flight and answers all its callers. */
export function finish(state: RoutingState, flight: Flight, outcome: Outcome): void {
    const { clock } = state.options;
    flight.stopTimer();
    flight.span.set({ verdict: outcome.verdict });
    flight.span.end(outcome.kind === "failure" ? outcome.reason : undefined);
    state.flights.delete(flight.key);
    reportLoad(state);
    if (flight.target) {
        const uncertain = flight.uncertain || outcome.verdict === "may-have-run";
        const keepUntil = clock.now() + RECENT_MS;
        state.recent.set(flight.key, { target: flight.target, uncertain, keepUntil });
    }
    for (const reply of flight.replies) {
        reply({ kind: "outcome", id: flight.id, outcome });
    }
    if (state.flights.size === 0) {
        for (const reply of state.idle.splice(0)) {
            reply(undefined);
        }
    }
}

/** Tells the metrics how many requests are in flight; none waits at an entry. */
export function reportLoad(state: RoutingState): void {
    state.options.metrics.load("request", { waiting: 0, running: state.flights.size });
}

/** A failure that takes into account that an earlier send of the id may have run. */
export function worstVerdict(flight: { uncertain: boolean }, outcome: Outcome): Outcome {
    if (outcome.kind === "failure" && outcome.verdict === "not-run" && flight.uncertain) {
        return { ...outcome, verdict: "may-have-run" };
    }
    return outcome;
}

/** Chooses an agent for work of a kind. */
export function chooseAgent(
    state: RoutingState,
    choice: { priority: Flight["kind"]["priority"]; excluded: Set<string>; mayProbe: boolean },
): AgentView | undefined {
    const { availabilityZone, random, clock } = state.options;
    const now = clock.now();
    const { health, sent, medianMs } = state;
    const agent = chooseRunner(state.agents, {
        ...choice,
        availabilityZone,
        random,
        now,
        health,
        sent,
        medianMs,
    });
    const chosen = agent && health.get(agent.report.name);
    if (chosen) {
        takeProbe(chosen, now);
    }
    return agent;
}

function retry(state: RoutingState, flight: Flight, problem: Failure, context: RoutingContext): void {
    const { clock, newId, log, metrics } = state.options;
    const now = clock.now();
    flight.uncertain ||= problem.verdict === "may-have-run";
    const budget = valueOf(state.budgets, flight.request.clientAccount, createRetryBudget);
    const agent = flight.target?.agent;
    if (agent) {
        flight.excluded.add(agent);
    }
    const choice = { priority: flight.kind.priority, excluded: flight.excluded, mayProbe: false };
    const possible = !flight.cancelled && now < flight.deadlineAt && chooseAgent(state, choice) !== undefined;
    if (!possible || !takeRetry(budget, now)) {
        finish(state, flight, worstVerdict(flight, problem));
        return;
    }
    log.info("A request is sent to another agent.", { id: flight.id, agent, reason: problem.reason });
    metrics.retried("request");
    flight.attempt = newId();
    flight.damaged = 0;
    startFlight(state, flight, context);
}

function awaitAgent(state: RoutingState, flight: Flight, context: RoutingContext): void {
    const { key, attempt } = flight;
    if (!flight.kind.repeatable && state.options.clock.now() < flight.awaitAgentUntil) {
        context.after(AGENT_PAUSE_MS, { kind: "start", key, attempt });
        return;
    }
    const problem = flight.kind.repeatable
        ? failure("not-run", "no-backend-server", "No backend server is serving.")
        : failure("not-run", "unreachable", "The agent of the ticket is not known to this entry.");
    finish(state, flight, worstVerdict(flight, problem));
}

function chooseForFlight(state: RoutingState, flight: Flight): AgentView | undefined {
    const recent = state.recent.get(flight.key)?.target;
    const known = state.agents.find(
        ({ report, state: agentState }) =>
            report.name === recent?.agent &&
            report.incarnation === recent.incarnation &&
            (agentState === "serving" || agentState === "draining"),
    );
    if (known && !flight.excluded.has(known.report.name)) {
        return known;
    }
    const { excluded } = flight;
    return chooseAgent(state, { priority: flight.kind.priority, excluded, mayProbe: excluded.size === 0 });
}

function ticketAgent(state: RoutingState, flight: Flight): AgentView | undefined {
    const name = parseTicket(flight.id)?.agent;
    return state.agents.find(
        ({ report, state: agentState }) => report.name === name && agentState !== "left",
    );
}
