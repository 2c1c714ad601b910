import { MAX_PARTIAL_RUN_MS, MAX_RUN_LEASE_MS } from "./gangTypes.ts";

/** One member's confirmation in a round. Times are the anchor's monotonic milliseconds. */
export interface Confirmation {
    receivedAt: number;
    staleMs: number;
}

/**
 * Lease in milliseconds after each member's stamp. Every part computed at the round's begin less the largest
 * staleness or later, and no member may compute for longer than the limit after that.
 */
export function computeLeaseGrants<K>(
    roundStartedAt: number,
    confirmations: Map<K, Confirmation>,
): Map<K, number> {
    let staleMs = 0;
    for (const confirmation of confirmations.values()) {
        staleMs = Math.max(staleMs, confirmation.staleMs);
    }
    const lastKnownWholeAt = roundStartedAt - staleMs;
    const grants = new Map<K, number>();
    for (const [member, { receivedAt }] of confirmations) {
        const limit = MAX_PARTIAL_RUN_MS - (receivedAt - lastKnownWholeAt);
        grants.set(member, Math.max(0, Math.min(MAX_RUN_LEASE_MS, limit)));
    }
    return grants;
}
