import type { AgentCalls } from "@tanagerdeck/caller/routing/routingState";
import type { PeerClients } from "@tanagerdeck/peer/link/peerClient";
import { peerCall } from "@tanagerdeck/peer/link/peerCall";

/** Longest transfer of one answer; a silent connection is given up much earlier by the client. */
const TRANSFER_TIMEOUT_MS = 60_000;
/** Settle is answered at once; the time is for connecting and the way. */
const SETTLE_TIMEOUT_MS = 1_000;
/** Cancel waits for a run to end, at most for one poll window. */
const CANCEL_TIMEOUT_MS = 2_500;

/** The routing task's calls over trpc. A call after a lost reply opens a new connection. */
export function createAgentCalls(
    clients: PeerClients,
    settleTimeoutMs: number = SETTLE_TIMEOUT_MS,
): AgentCalls {
    return {
        submit: (address, request, send, configurationRevision) =>
            peerCall(TRANSFER_TIMEOUT_MS, signal =>
                clients
                    .pollingAgent(address)
                    .submit.mutate({ request, send, configurationRevision }, { signal }),
            ),
        result: (address, reference) =>
            peerCall(TRANSFER_TIMEOUT_MS, signal =>
                clients.pollingAgent(address).result.mutate(reference, { signal }),
            ),
        settle: (address, reference) =>
            peerCall(settleTimeoutMs, signal =>
                clients.freshAgent(address).settle.mutate(reference, { signal }),
            ),
        cancel: (address, reference) =>
            peerCall(CANCEL_TIMEOUT_MS, signal =>
                clients.freshAgent(address).cancel.mutate(reference, { signal }),
            ),
    };
}
