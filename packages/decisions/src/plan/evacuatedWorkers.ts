import { openPlacements, type ClusterState, type WorkerEntry } from "./clusterState.ts";

/** Whether the worker is in an evacuated availability zone. One that has never been described counts as outside. */
export function isEvacuated(
    { evacuatedZones }: ClusterState,
    worker: Pick<WorkerEntry, "description"> | undefined,
): boolean {
    const zone = worker?.description?.availabilityZone;
    return zone !== undefined && evacuatedZones.has(zone);
}

/** Services with workers in evacuated zones. */
export function evacuatedServices(cluster: ClusterState): Set<string> {
    const services = new Set<string>();
    if (cluster.evacuatedZones.size === 0) {
        return services;
    }
    for (const worker of cluster.workers.values()) {
        if (worker.description && isEvacuated(cluster, worker)) {
            services.add(worker.description.service);
        }
    }
    return services;
}

/** Number of tasks that still run in evacuated zones, as far as their workers have reported them. */
export function countEvacuatedTasks(cluster: ClusterState): number {
    let count = 0;
    if (cluster.evacuatedZones.size === 0) {
        return count;
    }
    for (const worker of cluster.workers.values()) {
        if (!isEvacuated(cluster, worker)) {
            continue;
        }
        for (const { entry, group, placement } of openPlacements(cluster, worker.name)) {
            count += entry.runs.get(group.key)?.tasks.has(placement.index) ? 1 : 0;
        }
    }
    return count;
}
