import type { ClusterState } from "@tanagerdeck/decisions/plan/clusterState";
import { closeRunsOfLostAgents } from "@tanagerdeck/decisions/plan/planReport";
import { closeStalled, closeStuckStarts, closeUnlisted } from "@tanagerdeck/decisions/plan/stallDetection";
import type { PlanningLog } from "./planningLog.ts";

/** Closes the runs of lost agents and those that are stuck, unlisted or stalled, and logs them. */
export function closeOverdueRuns(
    cluster: ClusterState,
    closedAfterMs: number,
    now: number,
    planningLog: PlanningLog,
): void {
    planningLog.events(cluster, closeRunsOfLostAgents(cluster, closedAfterMs, now));
    for (const run of closeStuckStarts(cluster, now)) {
        planningLog.stuckStart(run);
    }
    for (const run of closeUnlisted(cluster)) {
        planningLog.unlisted(run);
    }
    for (const run of closeStalled(cluster, now)) {
        planningLog.stalled(run);
    }
}
