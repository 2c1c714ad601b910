import type { AgentCalls } from "@tanagerdeck/caller/routing/routingTask";
import type { PeerClients } from "@tanagerdeck/peer/link/peerClient";
import { peerCall } from "@tanagerdeck/peer/link/peerCall";
import { withSpan, type StartSpan } from "@tanagerdeck/runtime/trace/traceTypes";

/** A long poll of 1,500 ms plus 1,000 ms for the way; a connection silent for longer is given up. */
const POLL_TIMEOUT_MS = 2_500;
const SETTLE_TIMEOUT_MS = 1_000;

/** The routing task's calls over trpc. */
export function createAgentCalls(clients: PeerClients, startSpan: StartSpan): AgentCalls {
    return {
        submit: (address, { traceparent: parent, ...request }, configurationRevision) =>
            withSpan(startSpan, "call agent", parent, ({ traceparent }) =>
                peerCall(POLL_TIMEOUT_MS, signal =>
                    clients
                        .agent(address)
                        .submit.mutate(
                            { request, configurationRevision },
                            { signal, context: { traceparent } },
                        ),
                ),
            ),
        result: (address, id, clientAccount) =>
            peerCall(POLL_TIMEOUT_MS, signal =>
                clients.agent(address).result.mutate({ id, clientAccount }, { signal }),
            ),
        settle: (address, id, clientAccount) =>
            peerCall(SETTLE_TIMEOUT_MS, signal =>
                clients.agent(address).settle.mutate({ id, clientAccount }, { signal }),
            ),
    };
}
