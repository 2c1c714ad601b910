/** Durations that decide when a run can no longer be running, in milliseconds. */
export interface LeaseTimes {
    /** Length of the lease that an agent gives to what runs on its worker. */
    leaseMs: number;
    /** For how long an agent renews the lease without hearing from the leader. */
    grantMs: number;
    /** Latest time after an order at which the worker may execute a start. */
    startMs: number;
}

/** A worker's steady clock may run this much slower than true time. */
const CLOCK_DRIFT = 0.02;
/** For timers and scheduling delays of the processes involved. */
const MARGIN_MS = 300;
/** Longest lease, so that what a failed agent leaves behind ends within seconds. */
const MAX_LEASE_MS = 6_000;
/** A fleet of entries that loses power at once is back after about 10 s. */
const GRANT_MS = 10_000;
const START_MS = 3_000;

/** The durations for workers that hold a lease for at most `longestHoldMs`. */
export function leaseTimes(longestHoldMs: number): LeaseTimes {
    return {
        leaseMs: Math.min(MAX_LEASE_MS, longestHoldMs) - MARGIN_MS,
        grantMs: GRANT_MS,
        startMs: START_MS,
    };
}

/** Time after the latest renewal at which the worker's lease has surely run out. */
export function lapseAfterMs(times: LeaseTimes): number {
    return Math.max(times.leaseMs, times.startMs) * (1 + CLOCK_DRIFT) + MARGIN_MS;
}

/** Time after an agent's latest report at which nothing that was started before runs on its worker. */
export function closedAfterMs(times: LeaseTimes): number {
    return times.grantMs + lapseAfterMs(times);
}
