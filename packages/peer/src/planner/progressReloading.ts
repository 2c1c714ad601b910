import type { Progress } from "@tanagerdeck/decisions/job/progressTypes";
import {
    addJob,
    markChanged,
    reapplyEnds,
    type ClusterState,
    type JobEntry,
} from "@tanagerdeck/decisions/plan/clusterState";
import { groupsOfPart, slotOf, type ProgressSlot } from "@tanagerdeck/decisions/plan/progressSlots";
import type { Item } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { decodeContent } from "@tanagerdeck/store/replica/storedValueCodec";
import { jobKey } from "@tanagerdeck/store/replica/storeKeys";
import { slotKey, type RecordWrite } from "./progressRecording.ts";

/** What the items of a conflict say about the jobs of the write, by job id. */
export interface ReloadedJobs {
    /** Jobs whose progress another writer has changed; their entries are replaced. */
    changed: string[];
    /** Jobs whose stored progress cannot be decoded; they are not written again. */
    unreadable: string[];
    /** Jobs that the store holds a cancellation for. */
    cancelled: string[];
}

/**
 * Replaces the jobs of a conflicting write by the state in the store, from the conflict's `items`. This is safe because
 * no orders are sent for changes that are not recorded.
 */
export function reloadJobs(
    cluster: ClusterState,
    { jobs }: RecordWrite,
    items: Item[],
    now: number,
): ReloadedJobs {
    const reloaded: ReloadedJobs = { changed: [], unreadable: [], cancelled: [] };
    const stored = new Map(items.map(item => [item.key, item]));
    for (const [id, { slots }] of jobs) {
        const jobEntry = cluster.jobs.get(id);
        if (!jobEntry) {
            continue;
        }
        jobEntry.isWriting = false;
        const { unrecorded, revisions } = jobEntry.recording;
        const changed = new Map<ProgressSlot, Item>();
        for (const [slot, since] of slots) {
            unrecorded.set(slot, Math.min(since, unrecorded.get(slot) ?? since));
            const item = stored.get(slotKey(id, slot));
            if (item && item.revision !== revisions.get(slot)) {
                changed.set(slot, item);
            }
        }
        if (stored.has(jobKey(id, "cancel"))) {
            reloaded.cancelled.push(id);
        }
        if (changed.size === 0) {
            continue;
        }
        const progress = mergeStored(jobEntry, changed);
        if (progress) {
            replaceJob(cluster, jobEntry, progress, changed, now);
            reloaded.changed.push(id);
        } else {
            // Written again, it would conflict again and hold up the other jobs of its transaction.
            jobEntry.isUnreadable = true;
            reloaded.unreadable.push(id);
        }
    }
    return reloaded;
}

/** The job's progress with the changed values as they are stored; undefined if one cannot be decoded. */
function mergeStored(entry: JobEntry, changed: Map<ProgressSlot, Item>): Progress | undefined {
    const { progress, groups, recording } = entry;
    const merged: Progress = { ...progress, groups: { ...progress.groups } };
    for (const [slot, { value }] of changed) {
        if (slot === "head") {
            const head = decodeContent("progress", value);
            if (!head || (head.layout ?? "whole") !== recording.layout) {
                return undefined;
            }
            Object.assign(merged, { ...head, groups: head.groups ?? merged.groups });
            continue;
        }
        const part = decodeContent("progress-part", value);
        if (!part) {
            return undefined;
        }
        for (const { key } of groupsOfPart(groups, slot)) {
            delete merged.groups[key];
        }
        Object.assign(merged.groups, part.groups);
    }
    return merged;
}

/** Replaces a job; changes of its other values stay unrecorded, so the runs that they opened are not ordered yet. */
function replaceJob(
    cluster: ClusterState,
    replaced: JobEntry,
    progress: Progress,
    changed: Map<ProgressSlot, Item>,
    now: number,
): void {
    const { layout, unrecorded } = replaced.recording;
    const revisions = new Map(replaced.recording.revisions);
    for (const [slot, { revision }] of changed) {
        revisions.set(slot, revision);
    }
    const entry = addJob(cluster, replaced.job, { progress, layout, revisions }, now);
    entry.failedOn = replaced.failedOn;
    reapplyEnds(cluster, replaced.job.id);
    for (const slot of unrecorded.keys()) {
        if (!changed.has(slot)) {
            markChanged(entry, slot);
        }
    }
    for (const [key, run] of entry.runs) {
        if (entry.recording.unrecorded.has(slotOf(layout, entry.groupsByKey.get(key)!))) {
            run.version = entry.version;
        }
    }
}
