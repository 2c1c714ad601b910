/** Weight of the newest run in the expected time. */
const NEWEST_WEIGHT = 0.2;
/** Rate at which the optimistic estimate follows longer runs. */
const RISE_WEIGHT = 0.1;
/** An estimate without a finished run for this time is dropped, so that refusals cannot keep it alive. */
const STALE_AFTER_MS = 60_000;

/** Run times learned from finished runs of one kind and client account, in milliseconds. */
export interface RunEstimate {
    expectedMs: number;
    /** Optimistic time; only a request that cannot make even this is refused for its deadline. */
    shortMs: number;
    learnedAt: number;
}

/** Learned estimates by client account and kind. */
export type RunTimes = Map<string, RunEstimate>;

/** Adds a finished run. */
export function learnRunTime(times: RunTimes, key: string, ranMs: number, now: number): void {
    const known = times.get(key);
    if (!known || now - known.learnedAt > STALE_AFTER_MS) {
        times.set(key, { expectedMs: ranMs, shortMs: ranMs, learnedAt: now });
        return;
    }
    known.expectedMs += (ranMs - known.expectedMs) * NEWEST_WEIGHT;
    known.shortMs = Math.min(ranMs, known.shortMs + (ranMs - known.shortMs) * RISE_WEIGHT);
    known.learnedAt = now;
}

/** The estimate of a kind; undefined if nothing recent is known. */
export function runEstimate(times: RunTimes, key: string, now: number): RunEstimate | undefined {
    const known = times.get(key);
    return known && now - known.learnedAt <= STALE_AFTER_MS ? known : undefined;
}

/** Mean expected time of the kinds that ran recently; 0 if none. */
export function typicalRunMs(times: RunTimes, now: number): number {
    let sum = 0;
    let count = 0;
    for (const known of times.values()) {
        if (now - known.learnedAt <= STALE_AFTER_MS) {
            sum += known.expectedMs;
            count++;
        }
    }
    return count === 0 ? 0 : sum / count;
}
