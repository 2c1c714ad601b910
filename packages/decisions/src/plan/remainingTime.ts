import type { TaskGroup } from "../job/taskGroups.ts";
import { estimateOf } from "../schedule/jobValue.ts";
import type { OpenRunState } from "./clusterState.ts";

/** Least progress at which the pace so far predicts the remaining time better than the submitter's estimate. */
const MIN_PERCENT_TO_EXTRAPOLATE = 10;

/** Lower bound for a remaining time that is based on the submitter's estimate, as a run may exceed its estimate. */
const MIN_REMAINING_MS = 500;

/**
 * Expected time until a run ends, based on its slowest task. `slowestSpeed` returns the speed factor of its slowest worker;
 * it is not called where the pace so far shows the speed.
 */
export function expectedRemainingMs(
    { step }: TaskGroup,
    run: OpenRunState,
    now: number,
    slowestSpeed: () => number = () => 1,
): number {
    const elapsedMs = now - run.openedAt;
    let percent = 100;
    for (const task of run.tasks.values()) {
        percent = Math.min(percent, task.percent);
    }
    if (run.tasks.size > 0 && run.version === LOADED_VERSION) {
        // A former leader opened the run, so the progress does not belong to the time that this one has known it.
        const expectedMs = estimateOf(step) / slowestSpeed();
        return Math.max(MIN_REMAINING_MS, (expectedMs * (100 - percent)) / 100);
    }
    if (run.tasks.size > 0 && percent >= MIN_PERCENT_TO_EXTRAPOLATE) {
        return (elapsedMs * (100 - percent)) / percent;
    }
    return Math.max(MIN_REMAINING_MS, estimateOf(step) / slowestSpeed() - elapsedMs);
}

/** Version of runs that were loaded from the store; those that this leader opens have higher ones. */
const LOADED_VERSION = 0;
