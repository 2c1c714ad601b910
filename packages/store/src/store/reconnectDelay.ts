/** Maximum fraction by which an interval is shortened at random. */
const INTERVAL_JITTER = 0.2;
const BASE_RECONNECT_DELAY_MS = 500;
const MAX_RECONNECT_DELAY_MS = 5_000;

/** Shortens an interval at random, so that many clients do not call at the same time. */
export function jitteredInterval(intervalMs: number, random: () => number): number {
    return intervalMs * (1 - INTERVAL_JITTER * random());
}

/**
 * Returns the delay before reconnect attempt `attempt`, counted from 0: exponential backoff with full jitter. After
 * an outage all clients reconnect at once, and delays without jitter would keep them synchronized.
 */
export function reconnectDelay(attempt: number, random: () => number): number {
    const ceiling = Math.min(MAX_RECONNECT_DELAY_MS, BASE_RECONNECT_DELAY_MS * 2 ** Math.min(attempt, 10));
    return ceiling * random();
}
