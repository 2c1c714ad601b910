import type { Job } from "@tanagerdeck/decisions/job/jobTypes";
import { closeRun, groupProgress } from "@tanagerdeck/decisions/job/progressChange";
import type { Progress } from "@tanagerdeck/decisions/job/progressTypes";
import {
    addJob,
    updateGroup,
    isCancelledOrEnded,
    getOrAddWorker,
    type JobEntry,
    type ClusterState,
} from "@tanagerdeck/decisions/plan/clusterState";
import type { Item } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { decodeContent } from "@tanagerdeck/store/replica/storedValueCodec";
import { parseStoreKey } from "@tanagerdeck/store/replica/storeKeys";

/**
 * Fills an empty cluster state from the stored items; `startedAt` is used as the time of the workers' last report.
 * Returns the keys of definitions and progress that cannot be decoded: such a job is left alone, and the others are not.
 */
export function loadClusterState(
    cluster: ClusterState,
    items: Item[],
    startedAt: number,
    now: number,
): string[] {
    const unreadableKeys: string[] = [];
    const unreadableJobs = new Set<string>();
    const progress = new Map<string, { progress: Progress; revision: number }>();
    const jobs: Job[] = [];
    for (const item of items) {
        const key = parseStoreKey(item.key);
        if (key?.kind !== "job") {
            continue;
        }
        if (key.part === "cancel") {
            cluster.cancelledBeforeAdded.add(key.id);
        }
        if (key.part === "definition") {
            const job = decodeContent("definition", item.value);
            if (job) {
                jobs.push(job);
            } else {
                unreadableKeys.push(item.key);
            }
        }
        if (key.part === "progress") {
            const content = decodeContent("progress", item.value);
            if (content) {
                progress.set(key.id, { progress: content, revision: item.revision });
            } else {
                unreadableKeys.push(item.key);
                unreadableJobs.add(key.id);
            }
        }
    }
    for (const job of jobs) {
        const entry = addJob(cluster, job, progress.get(job.id), now);
        entry.isUnreadable = unreadableJobs.has(job.id);
        closeRunsOfEndedJob(cluster, entry);
        for (const group of Object.values(entry.progress.groups)) {
            for (const placement of group.placements) {
                getOrAddWorker(cluster, placement.worker, startedAt);
            }
        }
    }
    return unreadableKeys;
}

/** Closes all open runs of a job that is cancelled or has ended. */
export function closeRunsOfEndedJob(cluster: ClusterState, entry: JobEntry): void {
    if (!isCancelledOrEnded(entry)) {
        return;
    }
    for (const key of entry.runs.keys()) {
        updateGroup(cluster, entry, key, closeRun(groupProgress(entry.progress, key)));
    }
}
