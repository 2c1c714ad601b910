import { addResources, NO_RESOURCES, type Resources } from "../job/jobTypes.ts";
import { openPlacements, type ClusterState, type JobEntry } from "./clusterState.ts";
import { isEvacuated } from "./evacuatedWorkers.ts";

/** Largest fraction of a service's capacity in use with which the service counts as idle. */
export const IDLE_FRACTION = 0.5;

/**
 * Services of which less than a fraction of each resource is in use. Evacuated workers and what runs there do not count, as
 * no job can use them.
 */
export function idleServices(cluster: ClusterState): Set<string> {
    const capacity = new Map<string, Resources>();
    const used = new Map<string, Resources>();
    const add = (sums: Map<string, Resources>, service: string, amount: Resources) =>
        sums.set(service, addResources(sums.get(service) ?? NO_RESOURCES, amount));
    for (const worker of cluster.workers.values()) {
        const { description } = worker;
        if (description && !isEvacuated(cluster, worker)) {
            add(capacity, description.service, description.capacity);
        }
    }
    for (const { entry, group, placement } of openPlacements(cluster)) {
        if (!isEvacuated(cluster, cluster.workers.get(placement.worker))) {
            add(used, entry.job.service, group.step.resources);
        }
    }
    const idle = new Set<string>();
    for (const [service, total] of capacity) {
        const inUse = used.get(service) ?? NO_RESOURCES;
        const names = ["cpuMillis", "memoryMb", "gpus"] as const;
        if (names.every(name => total[name] === 0 || inUse[name] < total[name] * IDLE_FRACTION)) {
            idle.add(service);
        }
    }
    return idle;
}

/**
 * Time for which a job that could run may run nothing although little of its service is in use. Until then its groups may
 * wait for a place near their data, and leave capacity to a group with a planned place.
 */
export const MAX_IDLE_MS = 2_000;

/** Notes since when the job has had groups that may start and no task at work. */
export function noteIdleTime(entry: JobEntry, hasReadyGroups: boolean, now: number): void {
    const isIdle = hasReadyGroups && !isAtWork(entry);
    entry.idleSince = isIdle ? (entry.idleSince ?? now) : undefined;
}

/** Whether the job has run nothing for so long that it should take any free capacity. */
export function isIdleForLong({ idleSince }: JobEntry, now: number): boolean {
    return idleSince !== undefined && now - idleSince >= MAX_IDLE_MS;
}

function isAtWork({ runs }: JobEntry): boolean {
    for (const { tasks } of runs.values()) {
        if (tasks.size > 0) {
            return true;
        }
    }
    return false;
}
