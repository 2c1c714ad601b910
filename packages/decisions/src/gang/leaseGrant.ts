import { MAX_PARTIAL_RUN_MS, MAX_RUN_LEASE_MS } from "./gangTypes.ts";

/**
 * A member's confirmation in one round of renewals: when the anchor received it, in milliseconds of the anchor's
 * monotonic clock, and the time since the worker last reported that the part is alive.
 */
export interface Confirmation {
    receivedAt: number;
    staleMs: number;
}

/**
 * Computes the lease of each member in milliseconds after its stamp. Every part was known to compute at the start of
 * the round minus the largest `staleMs`; no lease ends later than `MAX_PARTIAL_RUN_MS` after that time.
 */
export function computeLeaseGrants<K>(
    roundStartedAt: number,
    confirmations: Map<K, Confirmation>,
): Map<K, number> {
    let staleMs = 0;
    for (const confirmation of confirmations.values()) {
        staleMs = Math.max(staleMs, confirmation.staleMs);
    }
    const lastConfirmedAt = roundStartedAt - staleMs;
    const grants = new Map<K, number>();
    for (const [member, { receivedAt }] of confirmations) {
        const limit = MAX_PARTIAL_RUN_MS - (receivedAt - lastConfirmedAt);
        grants.set(member, Math.max(0, Math.min(MAX_RUN_LEASE_MS, limit)));
    }
    return grants;
}
