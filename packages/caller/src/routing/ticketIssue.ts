import type { WorkKind } from "@tanagerdeck/decisions/document/documentTypes";
import { TICKET_LIFETIME_CAP_MS } from "@tanagerdeck/decisions/request/requestLedger";
import { formatTicket } from "@tanagerdeck/decisions/request/requestTypes";
import { countSent } from "@tanagerdeck/decisions/routing/agentChoice";
import { failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import { chooseAgent } from "./requestSteps.ts";
import type { CallerRequest, RoutingReply, RoutingState } from "./routingState.ts";

/** A ticket stays valid for this time after the deadline, so that a repeat can fetch the answer. */
const REPEAT_PERIOD_MS = 600_000;

/** Chooses an agent as for a request and replies with a ticket for it, or refuses if no agent is serving. */
export function issueTicket(
    state: RoutingState,
    kind: WorkKind,
    request: CallerRequest,
    reply: Reply<RoutingReply>,
): void {
    const agent = chooseAgent(state, { priority: kind.priority, excluded: new Set(), mayProbe: false });
    const load = agent?.report.runner;
    if (!agent || !load) {
        const problem = failure("not-run", "no-backend-server", "No backend server is serving.");
        reply({ kind: "outcome", id: "", outcome: problem });
        return;
    }
    countSent(state.sentCounts, agent.report);
    const lifetimeMs = Math.min(TICKET_LIFETIME_CAP_MS, request.deadlineMs + REPEAT_PERIOD_MS);
    const ticket = formatTicket({
        agent: agent.report.name,
        incarnation: agent.report.incarnation,
        random: state.options.newId(),
        expiresAt: Math.floor(load.ledgerTime + lifetimeMs),
    });
    reply({ kind: "ticket", ticket });
}
