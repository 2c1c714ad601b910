import type { AgentCalls } from "@tanagerdeck/caller/routing/routingTask";
import type { Progress } from "@tanagerdeck/decisions/request/requestTypes";
import type { PeerClients } from "@tanagerdeck/peer/link/peerClient";
import { isRefusedConnection, peerCall } from "@tanagerdeck/peer/link/peerCall";
import { withSpan, type StartSpan } from "@tanagerdeck/runtime/trace/traceTypes";

/** A long poll of 1,500 ms plus 1,000 ms for the way; a connection silent for longer is given up. */
const POLL_TIMEOUT_MS = 2_500;
const SETTLE_TIMEOUT_MS = 1_000;

/** What the calls tell the entry's other tasks. */
export interface AgentCallEvents {
    /** An agent knows a newer configuration. */
    stale(): void;
    /** A connection to this address was refused. */
    refused(address: string): void;
}

/** The routing task's calls over trpc. */
export function createAgentCalls(
    clients: PeerClients,
    events: AgentCallEvents,
    startSpan: StartSpan,
): AgentCalls {
    return {
        async submit(address, { traceparent: parent, ...request }, configurationRevision) {
            const result = await withSpan(startSpan, "call agent", parent, ({ traceparent }) =>
                peerCall(POLL_TIMEOUT_MS, signal =>
                    clients
                        .agent(address)
                        .submit.mutate(
                            { request, configurationRevision },
                            { signal, context: { traceparent } },
                        ),
                ),
            );
            if (result.isRight() && isStale(result.extract())) {
                events.stale();
            }
            if (result.isLeft() && isRefusedConnection(result.extract())) {
                events.refused(address);
            }
            return result;
        },
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

function isStale(progress: Progress): boolean {
    const outcome = progress.kind === "done" ? progress.outcome : undefined;
    return outcome?.kind === "failure" && outcome.reason === "stale-configuration";
}
