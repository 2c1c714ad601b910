import { SMALL_BYTES } from "./closingChoice.ts";
import type { ConnectionState, IntakeLimits } from "./intakeTypes.ts";
import { chargedBytes } from "./ledger.ts";

/**
 * Unanswered requests of a process above which no connection is read ahead. Their work delays that of other callers, so
 * only first requests are added then. Two connections at full depth fill it.
 */
export const SHARED_READ_AHEAD = 64;

/** Sums over all connections of a process. */
export interface IntakeTotals {
    totalBytes: number;
    totalRequests: number;
}

/** Whether the sums leave room for requests that are read ahead and for large bodies. */
export function hasRoom({ totalBytes, totalRequests }: IntakeTotals, { memoryBytes }: IntakeLimits): boolean {
    return totalBytes < memoryBytes && totalRequests < SHARED_READ_AHEAD;
}

/**
 * Whether the next bytes of a connection may be passed to the parser. While the process is over its memory budget only
 * small connections without an unanswered request are read, so that ordinary requests still pass.
 */
export function mayPass(state: ConnectionState, totals: IntakeTotals, limits: IntakeLimits): boolean {
    const isReadAhead = !state.isInBody && state.requests > 0;
    if (isReadAhead && (state.requests >= limits.readAhead || totals.totalRequests >= SHARED_READ_AHEAD)) {
        return false;
    }
    if (totals.totalBytes < limits.memoryBytes) {
        return true;
    }
    const isFirst = state.requests === 0 || (state.requests === 1 && state.isInBody);
    return isFirst && chargedBytes(state) - state.pendingBytes <= SMALL_BYTES;
}
