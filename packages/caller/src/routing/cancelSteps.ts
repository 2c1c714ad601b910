import { parseTicket } from "@tanagerdeck/decisions/request/requestTypes";
import { failure, type Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { finish, worstVerdict } from "./flightSteps.ts";
import type { RoutingContext, RoutingMessage, RoutingState, Target } from "./routingState.ts";

const CANCELLED = failure("not-run", "cancelled", "The request was cancelled before it ran.");
const NOT_FOUND = failure("may-have-run", "not-found", "The request is not known to this entry.");
const ASKED = failure("may-have-run", "cancelled", "The agent was asked to cancel the request.");

/** Cancels a request: at the entry if it was not sent yet, else at the agent that it was sent to. */
export function cancelFlight(
    state: RoutingState,
    message: Extract<RoutingMessage, { kind: "cancel" }>,
    context: RoutingContext,
): void {
    const { id, clientAccount, reply } = message;
    const key = `${clientAccount}/${id}`;
    const flight = state.flights.get(key);
    if (flight) {
        flight.cancelled = true;
    }
    if (flight && !flight.target && !flight.uncertain) {
        finish(state, flight, CANCELLED);
        reply(CANCELLED);
        return;
    }
    const target = flight?.target ?? state.recent.get(key)?.target ?? ticketTarget(state, id, clientAccount);
    if (!target) {
        reply(NOT_FOUND);
        return;
    }
    const { calls } = state.options;
    context.start(
        () => calls.cancel(target.address, target),
        result => {
            const outcome = result.caseOf<Outcome>({
                Left: problem => failure("may-have-run", problem.reason, problem.detail),
                Right: progress => (progress.kind === "done" ? progress.outcome : ASKED),
            });
            return { kind: "cancelled", key, target, outcome, reply };
        },
    );
}

/** Replies with the agent's word, which is final for a ticket; other ids may have run in an earlier send. */
export function cancelSent(
    state: RoutingState,
    message: Extract<RoutingMessage, { kind: "cancelled" }>,
): void {
    const { key, target, outcome, reply } = message;
    if (parseTicket(target.id)) {
        reply(outcome);
        return;
    }
    const known = state.flights.get(key) ?? state.recent.get(key);
    reply(worstVerdict({ uncertain: known?.uncertain ?? false }, outcome));
}

function ticketTarget(state: RoutingState, id: string, clientAccount: string): Target | undefined {
    const ticket = parseTicket(id);
    const agent = state.agents.find(({ report }) => report.name === ticket?.agent);
    if (!ticket || !agent) {
        return undefined;
    }
    const { incarnation } = ticket;
    const { name, address } = agent.report;
    return { agent: name, address, id, clientAccount, incarnation, attempt: state.options.newId() };
}
