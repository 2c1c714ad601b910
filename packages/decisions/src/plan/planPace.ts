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

/**
 * Tasks of one job that may be starting at once. It bounds what one round decides, records and orders for a job, whatever
 * the job's size.
 */
export const MAX_STARTING_TASKS = 256;
/** Least number, so that a large job also goes on where all rounds are long. */
const MIN_STARTING_TASKS = 8;
/** Duration of a round from which fewer tasks of a large job start, and from which only the least number does. */
const LONG_ROUND_MS = 200;
const TOO_LONG_ROUND_MS = 400;

/**
 * Tasks of a large job that may be starting at once after a round that took `roundMs`. A round costs more the more tasks
 * run; a job that is too large for this leader must not make its rounds longer than its lease.
 */
export function startingTasksAfter(roundMs: number): number {
    const left = (TOO_LONG_ROUND_MS - roundMs) / (TOO_LONG_ROUND_MS - LONG_ROUND_MS);
    return Math.max(MIN_STARTING_TASKS, Math.round(MAX_STARTING_TASKS * Math.min(1, left)));
}
