/** Burst that an idle client account may send at once, in seconds of its rate. */
const BURST_SECONDS = 1;

/**
 * State of one client account's rate limit: the time at which the bucket is full again.
 * Requests beyond the burst get a start time in the future instead of a place in a queue.
 */
export interface TokenBucket {
    fullAt: number;
}

/** A start time and the number of requests that start before it but not yet now. */
export interface StartSlot {
    startAt: number;
    ahead: number;
}

/** Builds a full bucket. */
export function createTokenBucket(): TokenBucket {
    return { fullAt: Number.NEGATIVE_INFINITY };
}

/** The slot that the next request would get. `perSecond` is the account's rate. */
export function nextStartSlot(bucket: TokenBucket, perSecond: number, now: number): StartSlot {
    const interval = 1_000 / perSecond;
    const burst = Math.max(1, perSecond * BURST_SECONDS) * interval;
    const startAt = Math.max(now, Math.max(bucket.fullAt, now) + interval - burst);
    return { startAt, ahead: Math.floor((startAt - now) / interval) };
}

/** Takes one token. */
export function takeToken(bucket: TokenBucket, perSecond: number, now: number): void {
    bucket.fullAt = Math.max(bucket.fullAt, now) + 1_000 / perSecond;
}
