import type { SyncReport } from "./workerReport.ts";

/** Ends that a worker lists at once; it lists those behind them when these are acknowledged. */
const MAX_LISTED_ENDS = 500;

/**
 * Whether a list shows all ends that are not acknowledged, so that a run that is neither running nor listed has left no
 * end. A list that was changed since the worker returned it carries `hasMoreEnds`.
 */
export function listsAllEnds({ ended, hasMoreEnds }: Pick<SyncReport, "ended" | "hasMoreEnds">): boolean {
    return hasMoreEnds === undefined ? ended.length < MAX_LISTED_ENDS : !hasMoreEnds;
}
