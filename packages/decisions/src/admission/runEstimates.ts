/** Weight of the newest run in the expected time. */
const SMOOTHING_FACTOR = 0.2;
/** Rate at which the optimistic estimate follows longer runs. */
const OPTIMISTIC_RISE_FACTOR = 0.1;
/** An estimate without a finished run for this time is dropped, so that refusals cannot keep it alive. */
const STALE_AFTER_MS = 60_000;

/** Run times learned from finished runs of one kind and client account, in milliseconds. */
export interface RunEstimate {
    expectedMs: number;
    /** Optimistic time; only a request that cannot make even this is refused for its deadline. */
    optimisticMs: number;
    learnedAt: number;
}

/** Learned estimates by client account and kind. */
export type RunEstimates = Map<string, RunEstimate>;

/** Adds a finished run. */
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

/** The estimate of a kind; undefined if nothing recent is known. */
export function runEstimate(estimates: RunEstimates, key: string, now: number): RunEstimate | undefined {
    const estimate = estimates.get(key);
    return estimate && now - estimate.learnedAt <= STALE_AFTER_MS ? estimate : undefined;
}

/** Mean expected time of the kinds that ran recently; 0 if none. */
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
