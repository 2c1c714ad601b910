/** Burst size in seconds of the rate: the requests that an idle client account may send at once. */
const BURST_SECONDS = 1;

/**
 * Token bucket of one client account's rate limit, stored as the time at which it is full again.
 * Requests beyond the burst get a later start time; there is no queue of requests.
 */
export interface TokenBucket {
    fullAt: number;
}

/** A start time, and the number of requests that are waiting to start before it. */
export interface StartSlot {
    startAt: number;
    ahead: number;
}

/** Creates a full bucket. */
export function createTokenBucket(): TokenBucket {
    return { fullAt: Number.NEGATIVE_INFINITY };
}

/** The start slot of the next request, without taking a token. `perSecond` is the account's rate. */
export function nextStartSlot(bucket: TokenBucket, perSecond: number, now: number): StartSlot {
    const interval = 1_000 / perSecond;
    const burst = Math.max(1, perSecond * BURST_SECONDS) * interval;
    const startAt = Math.max(now, Math.max(bucket.fullAt, now) + interval - burst);
    return { startAt, ahead: Math.floor((startAt - now) / interval) };
}

/** Takes one token, for the start slot that `nextStartSlot` returned. */
export function takeToken(bucket: TokenBucket, perSecond: number, now: number): void {
    bucket.fullAt = Math.max(bucket.fullAt, now) + 1_000 / perSecond;
}
