/** Durations, in milliseconds, that determine when a run is certain to have ended. */
export interface LeaseTimes {
    /** Length of the lease that an agent grants to the runs on its worker. */
    leaseMs: number;
    /** Time for which an agent keeps renewing the lease without contact with the leader. */
    grantMs: number;
    /** Time after an order within which the worker may still execute a start. */
    startMs: number;
}

/** Maximum fraction by which a worker's monotonic clock may run slow. */
export const CLOCK_DRIFT = 0.02;
/** Allowance for timer inaccuracy and scheduling delays of the processes involved. */
const MARGIN_MS = 300;
/** Maximum lease, so that the runs of a failed agent end within seconds. */
const MAX_LEASE_MS = 6_000;
/** Covers the restart of all entries after a common power loss, which takes about 10 s. */
const GRANT_MS = 10_000;
const START_MS = 3_000;

/** The durations for workers that accept leases of at most `longestHoldMs`. */
export function leaseTimes(longestHoldMs: number): LeaseTimes {
    return {
        leaseMs: Math.min(MAX_LEASE_MS, longestHoldMs) - MARGIN_MS,
        grantMs: GRANT_MS,
        startMs: START_MS,
    };
}

/** Time after the latest renewal at which the worker's lease is certain to have expired. */
export function lapseAfterMs(times: LeaseTimes): number {
    return Math.max(times.leaseMs, times.startMs) * (1 + CLOCK_DRIFT) + MARGIN_MS;
}

/** Time after an agent's latest report at which every run started before that report is certain to have ended. */
export function closedAfterMs(times: LeaseTimes): number {
    return times.grantMs + lapseAfterMs(times);
}
