import type { ClusterState } from "@tanagerdeck/decisions/plan/clusterState";
import { closeRunsOfLostAgents } from "@tanagerdeck/decisions/plan/planReport";
import { closeStalled, closeStuckStarts, closeUnlisted } from "@tanagerdeck/decisions/plan/stallDetection";
import type { PlanningLog } from "./planningLog.ts";

/** Times that decide on overdue runs. */
export interface OverdueTimes {
    now: number;
    closedAfterMs: number;
    /** Whether starts may be late although no worker is at fault. */
    mayStartLate: boolean;
}

/** Closes the runs of lost agents and those that are stuck, unlisted or stalled, and logs them. */
export function closeOverdueRuns(
    cluster: ClusterState,
    { now, closedAfterMs, mayStartLate }: OverdueTimes,
    planningLog: PlanningLog,
): void {
    planningLog.events(cluster, closeRunsOfLostAgents(cluster, closedAfterMs, now));
    for (const run of mayStartLate ? [] : closeStuckStarts(cluster, now)) {
        planningLog.stuckStart(run);
    }
    for (const run of closeUnlisted(cluster)) {
        planningLog.unlisted(run);
    }
    for (const run of closeStalled(cluster, now)) {
        planningLog.stalled(run);
    }
}
