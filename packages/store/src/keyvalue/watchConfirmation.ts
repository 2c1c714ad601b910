import type { Change } from "./keyValueTypes.ts";

/** A watch that was answered. */
export interface AnsweredWatch {
    /** Time since the call, on the monotonic clock, in milliseconds. */
    elapsedMs: number;
    /** Time for which the store was asked to hold the call, in milliseconds. */
    waitMs: number;
    changes: Change[];
}

/**
 * Time after the call, in milliseconds, as of which the answer surely shows the store. The answer may have been held up, so
 * the time of its arrival does not count; without changes the store has sent it when the poll ended.
 */
export function confirmedAfterMs({ elapsedMs, waitMs, changes }: AnsweredWatch): number {
    return changes.length === 0 && elapsedMs >= waitMs ? waitMs : 0;
}
