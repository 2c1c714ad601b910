/** Rows of running and ended tasks in a report that cause no pause. */
const FREE_ROWS = 64;
const PAUSE_PER_ROW_MS = 0.1;
const MAX_PAUSE_MS = 500;

/**
 * Time after a report before the next one is requested, in milliseconds. A report lists all tasks of a worker, so without a
 * pause a worker with thousands of short tasks would report all of them for each one that ends.
 */
export function pauseAfterReportMs(rows: number): number {
    return Math.min(MAX_PAUSE_MS, Math.max(0, rows - FREE_ROWS) * PAUSE_PER_ROW_MS);
}
