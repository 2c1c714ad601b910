/** Weight of the newest run in the exponential moving average of run times. */
const SMOOTHING_FACTOR = 0.2;
/** Weight of a longer run in the optimistic estimate; a shorter run replaces the estimate. */
const OPTIMISTIC_RISE_FACTOR = 0.1;
/** An estimate expires if no run finishes for this time; else a high one could refuse all requests for good. */
const STALE_AFTER_MS = 60_000;

/** Run time estimates from the finished runs of one kind and client account, in milliseconds. */
export interface RunEstimate {
    expectedMs: number;
    /** Optimistic run time; a request is refused for its deadline only if even this is too long. */
    optimisticMs: number;
    learnedAt: number;
}

/** Run time estimates by client account and kind. */
export type RunEstimates = Map<string, RunEstimate>;

/** Updates the estimate with a finished run. */
export function learnRunTime(estimates: RunEstimates, key: string, ranMs: number, now: number): void {
    const estimate = estimates.get(key);
    if (!estimate || now - estimate.learnedAt > STALE_AFTER_MS) {
        estimates.set(key, { expectedMs: ranMs, optimisticMs: ranMs, learnedAt: now });
        return;
    }
    estimate.expectedMs += (ranMs - estimate.expectedMs) * SMOOTHING_FACTOR;
    estimate.optimisticMs = Math.min(
        ranMs,
        estimate.optimisticMs + (ranMs - estimate.optimisticMs) * OPTIMISTIC_RISE_FACTOR,
    );
    estimate.learnedAt = now;
}

/** The estimate for a key; undefined if there is none or it has expired. */
export function runEstimate(estimates: RunEstimates, key: string, now: number): RunEstimate | undefined {
    const estimate = estimates.get(key);
    return estimate && now - estimate.learnedAt <= STALE_AFTER_MS ? estimate : undefined;
}

/** Mean of the expected run times that have not expired; 0 if there are none. */
export function typicalRunMs(estimates: RunEstimates, now: number): number {
    let sum = 0;
    let count = 0;
    for (const estimate of estimates.values()) {
        if (now - estimate.learnedAt <= STALE_AFTER_MS) {
            sum += estimate.expectedMs;
            count++;
        }
    }
    return count === 0 ? 0 : sum / count;
}
