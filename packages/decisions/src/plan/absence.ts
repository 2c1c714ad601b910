import type { ClusterState } from "./clusterState.ts";

/** Time without a report after which an agent counts as absent. A lost call and its repeat take less. */
const ABSENT_AFTER_MS = 2_000;

/** Agents with open placements that have not reported for some time, each with that time in ms. */
export function absentAgents(cluster: ClusterState, now: number): Map<string, number> {
    const ages = new Map<string, number>();
    for (const { name, lastReportAt } of cluster.workers.values()) {
        const ageMs = Math.floor(now - lastReportAt);
        if (ageMs > ABSENT_AFTER_MS && (cluster.placements.get(name)?.size ?? 0) > 0) {
            ages.set(name, ageMs);
        }
    }
    return ages;
}
