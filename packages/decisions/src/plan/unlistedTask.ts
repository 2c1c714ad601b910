import { listsAllEnds } from "../worker/endsPage.ts";
import type { TaskProgress, WorkerEntry } from "./clusterState.ts";

/**
 * Whether a task that its worker does not list as running may be running or have ended all the same: its agent has not
 * reported to this leader, does not know the worker yet, or has not listed all ends.
 */
export function isUnlistedUnknown(worker: WorkerEntry | undefined, task: TaskProgress | undefined): boolean {
    const report = worker?.report;
    if (!worker || !report) {
        return true;
    }
    const isListed = task !== undefined && task.listedAt >= worker.lastReportAt;
    return !isListed && (report.worker === undefined || !listsAllEnds(report));
}
