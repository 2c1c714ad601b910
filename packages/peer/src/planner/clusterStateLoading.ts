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
    type RecordedProgress,
} from "@tanagerdeck/decisions/plan/clusterState";
import type { ProgressSlot } from "@tanagerdeck/decisions/plan/progressSlots";
import type { Item } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { decodeContent, type StoredProgress } from "@tanagerdeck/store/replica/storedValueCodec";
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
    const heads = new Map<string, { content: StoredProgress; revision: number }>();
    const parts = new Map<string, StoredPart[]>();
    const jobs: Job[] = [];
    for (const item of items) {
        const key = parseStoreKey(item.key);
        if (key?.kind === "progress-part") {
            const content = decodeContent("progress-part", item.value);
            if (content) {
                const known = parts.get(key.id) ?? [];
                known.push({ number: key.number, groups: content.groups, revision: item.revision });
                parts.set(key.id, known);
            } else {
                unreadableKeys.push(item.key);
                unreadableJobs.add(key.id);
            }
        }
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
                heads.set(key.id, { content, revision: item.revision });
            } else {
                unreadableKeys.push(item.key);
                unreadableJobs.add(key.id);
            }
        }
    }
    for (const job of jobs) {
        const head = heads.get(job.id);
        const recorded = head && joinProgress(head, parts.get(job.id) ?? []);
        const entry = addJob(cluster, job, recorded, now);
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

/** A stored part of a large job's progress. */
interface StoredPart {
    number: number;
    groups: Progress["groups"];
    revision: number;
}

/** Joins the stored values of a job's progress. */
function joinProgress(
    { content, revision }: { content: StoredProgress; revision: number },
    parts: StoredPart[],
): RecordedProgress {
    const revisions = new Map<ProgressSlot, number>([["head", revision]]);
    if (content.groups) {
        return { progress: { ...content, groups: content.groups }, layout: "whole", revisions };
    }
    const groups: Progress["groups"] = {};
    for (const part of parts) {
        Object.assign(groups, part.groups);
        revisions.set(part.number, part.revision);
    }
    return { progress: { ...content, groups }, layout: "parts", revisions };
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
