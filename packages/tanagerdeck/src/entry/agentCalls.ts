import type { AgentCalls } from "@tanagerdeck/caller/routing/routingState";
import type { Progress } from "@tanagerdeck/decisions/request/requestTypes";
import type { PeerClients } from "@tanagerdeck/peer/link/peerClient";
import { isConnectFailure, peerCall } from "@tanagerdeck/peer/link/peerCall";
import { withSpan, type StartSpan } from "@tanagerdeck/runtime/trace/traceTypes";

/** Timeout of the transfer of one answer. The client fails a connection without traffic much earlier. */
const ANSWER_TIMEOUT_MS = 60_000;
/** Timeout of `settle`. Agents answer it at once, so this only covers connecting and the round trip. */
const SETTLE_TIMEOUT_MS = 1_000;
/** Timeout of `cancel`. The agent waits for the run to end, at most for one poll window of 1,500 ms. */
const CANCEL_TIMEOUT_MS = 2_500;

/** Events that the calls to agents report to other tasks of the entry. */
export interface AgentCallEvents {
    /** Called when an agent refuses a request with `stale-configuration`; it may have a newer revision. */
    onStaleConfiguration(): void;
    /** Called when the connection to an agent address was refused. */
    onConnectionRefused(address: string): void;
}

/**
 * Creates the tRPC calls from the routing task to agents. `settle` and `cancel` open a new connection,
 * so that they also work when the pooled connection passes no more traffic, for example after a lost reply.
 */
export function createAgentCalls(
    clients: PeerClients,
    events: AgentCallEvents,
    startSpan: StartSpan,
    settleTimeoutMs: number = SETTLE_TIMEOUT_MS,
): AgentCalls {
    return {
        async submit(address, { traceparent: parent, ...request }, send, configurationRevision) {
            const result = await withSpan(startSpan, "call agent", parent, ({ traceparent }) =>
                peerCall(ANSWER_TIMEOUT_MS, signal =>
                    clients
                        .pollingAgent(address)
                        .submit.mutate(
                            { request, send, configurationRevision },
                            { signal, context: { traceparent } },
                        ),
                ),
            );
            if (result.isRight() && reportsStaleConfiguration(result.extract())) {
                events.onStaleConfiguration();
            }
            if (result.isLeft() && isConnectFailure(result.extract())) {
                events.onConnectionRefused(address);
            }
            return result;
        },
        result: (address, reference) =>
            peerCall(ANSWER_TIMEOUT_MS, signal =>
                clients.pollingAgent(address).result.mutate(reference, { signal }),
            ),
        settle: (address, reference) =>
            peerCall(settleTimeoutMs, signal =>
                clients.unpooledAgent(address).settle.mutate(reference, { signal }),
            ),
        cancel: (address, reference) =>
            peerCall(CANCEL_TIMEOUT_MS, signal =>
                clients.unpooledAgent(address).cancel.mutate(reference, { signal }),
            ),
    };
}

function reportsStaleConfiguration(progress: Progress): boolean {
    const outcome = progress.kind === "done" ? progress.outcome : undefined;
    return outcome?.kind === "failure" && outcome.reason === "stale-configuration";
}
