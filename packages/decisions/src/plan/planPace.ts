/** Events that arrive within this time are handled in one scheduling round. */
const MIN_PAUSE_MS = 10;
/** Longest pause between rounds; urgent work must not wait for the planner. */
const MAX_PAUSE_MS = 150;
/** Multiple of a round's duration that is left to lease renewals, grants, reports and callers before the next one. */
const PAUSE_FACTOR = 3;

/**
 * Time to wait before the next scheduling round, in milliseconds, after a round that took `roundMs` and ended
 * `sinceEndMs` ago. A burst of jobs or a VM with a small share of a core makes rounds long; without a pause they would
 * take all of the leader's processor time, and its lease would run out.
 */
export function pauseBeforeRoundMs(roundMs: number, sinceEndMs: number): number {
    const pauseMs = Math.min(MAX_PAUSE_MS, roundMs * PAUSE_FACTOR);
    return Math.max(MIN_PAUSE_MS, pauseMs - sinceEndMs);
}
