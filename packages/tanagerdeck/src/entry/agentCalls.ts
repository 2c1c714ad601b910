import type { AgentCalls } from "@tanagerdeck/caller/routing/routingState";
import type { Progress } from "@tanagerdeck/decisions/request/requestTypes";
import type { PeerClients } from "@tanagerdeck/peer/link/peerClient";
import { isConnectFailure, peerCall } from "@tanagerdeck/peer/link/peerCall";
import { withSpan, type StartSpan } from "@tanagerdeck/runtime/trace/traceTypes";

/** Longest transfer of one answer; a silent connection is given up much earlier by the client. */
const TRANSFER_TIMEOUT_MS = 60_000;
/** Settle is answered at once; the time is for connecting and the way. */
const SETTLE_TIMEOUT_MS = 1_000;
/** Cancel waits for a run to end, at most for one poll window. */
const CANCEL_TIMEOUT_MS = 2_500;

/** What the calls tell the entry's other tasks. */
export interface AgentCallEvents {
    /** An agent knows a newer configuration. */
    stale(): void;
    /** A connection to this address was refused. */
    refused(address: string): void;
}

/** The routing task's calls over trpc. A call after a lost reply opens a new connection. */
export function createAgentCalls(
    clients: PeerClients,
    events: AgentCallEvents,
    startSpan: StartSpan,
    settleTimeoutMs: number = SETTLE_TIMEOUT_MS,
): AgentCalls {
    return {
        async submit(address, { traceparent: parent, ...request }, send, configurationRevision) {
            const result = await withSpan(startSpan, "call agent", parent, ({ traceparent }) =>
                peerCall(TRANSFER_TIMEOUT_MS, signal =>
                    clients
                        .pollingAgent(address)
                        .submit.mutate(
                            { request, send, configurationRevision },
                            { signal, context: { traceparent } },
                        ),
                ),
            );
            if (result.isRight() && isStale(result.extract())) {
                events.stale();
            }
            if (result.isLeft() && isConnectFailure(result.extract())) {
                events.refused(address);
            }
            return result;
        },
        result: (address, reference) =>
            peerCall(TRANSFER_TIMEOUT_MS, signal =>
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

function isStale(progress: Progress): boolean {
    const outcome = progress.kind === "done" ? progress.outcome : undefined;
    return outcome?.kind === "failure" && outcome.reason === "stale-configuration";
}
