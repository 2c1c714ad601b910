import { parseTicket } from "@tanagerdeck/decisions/request/requestTypes";
import { failure, type Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { finishRequest, applyUncertainty } from "./requestSteps.ts";
import type { RoutingContext, RoutingMessage, RoutingState, Target } from "./routingState.ts";

const CANCELLED = failure("not-run", "cancelled", "The request was cancelled before it ran.");
const NOT_FOUND = failure("may-have-run", "not-found", "The request is not known to this entry.");
const CANCEL_REQUESTED = failure("may-have-run", "cancelled", "The agent was asked to cancel the request.");

/** Cancels a request: at the entry if it was not sent to an agent yet, otherwise at its agent. */
export function cancelRequest(
    state: RoutingState,
    message: Extract<RoutingMessage, { kind: "cancel" }>,
    context: RoutingContext,
): void {
    const { id, clientAccount, reply } = message;
    const key = `${clientAccount}/${id}`;
    const pending = state.pendingRequests.get(key);
    if (pending) {
        pending.cancelled = true;
    }
    if (pending && !pending.target && !pending.uncertain) {
        finishRequest(state, pending, CANCELLED);
        reply(CANCELLED);
        return;
    }
    const target =
        pending?.target ?? state.recentTargets.get(key)?.target ?? ticketTarget(state, id, clientAccount);
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
                Right: progress => (progress.kind === "done" ? progress.outcome : CANCEL_REQUESTED),
            });
            return { kind: "cancelled", key, target, outcome, reply };
        },
    );
}

/** Replies with the agent's outcome. It is final for a ticket; a request with another id may have run earlier. */
export function handleCancelResult(
    state: RoutingState,
    message: Extract<RoutingMessage, { kind: "cancelled" }>,
): void {
    const { key, target, outcome, reply } = message;
    if (parseTicket(target.id)) {
        reply(outcome);
        return;
    }
    const known = state.pendingRequests.get(key) ?? state.recentTargets.get(key);
    reply(applyUncertainty({ uncertain: known?.uncertain ?? false }, outcome));
}

/** Returns the target that a ticket names; undefined if the id is no ticket or its agent is not known. */
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
