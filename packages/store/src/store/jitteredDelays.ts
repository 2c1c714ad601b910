/** Spread of periodic calls: the longest interval stays the stated one. */
const INTERVAL_JITTER = 0.2;
const BASE_RECONNECT_DELAY_MS = 500;
const MAX_RECONNECT_DELAY_MS = 5_000;

/** An interval of at most `intervalMs`, so that many clients do not call at the same instant. */
export function jitteredInterval(intervalMs: number, random: () => number): number {
    return intervalMs * (1 - INTERVAL_JITTER * random());
}

/**
 * Delay before attempt `attempt` (from 0) to reconnect. The whole delay is random (full jitter): after an outage
 * all clients return at once, and a fixed delay would keep them together.
 */
export function reconnectDelay(attempt: number, random: () => number): number {
    const ceiling = Math.min(MAX_RECONNECT_DELAY_MS, BASE_RECONNECT_DELAY_MS * 2 ** Math.min(attempt, 10));
    return ceiling * random();
}
