import { addJob, type ClusterState } from "@tanagerdeck/decisions/plan/clusterState";
import type { Item } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { decodeContent } from "@tanagerdeck/store/replica/storedValueCodec";
import { jobKey } from "@tanagerdeck/store/replica/storeKeys";
import type { RecordWrite } from "./progressRecording.ts";

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
    { versions }: RecordWrite,
    items: Item[],
    now: number,
): ReloadedJobs {
    const reloaded: ReloadedJobs = { changed: [], unreadable: [], cancelled: [] };
    for (const id of versions.keys()) {
        const jobEntry = cluster.jobs.get(id);
        if (!jobEntry) {
            continue;
        }
        jobEntry.isWriting = false;
        if (items.some(item => item.key === jobKey(id, "cancel"))) {
            reloaded.cancelled.push(id);
        }
        const stored = items.find(item => item.key === jobKey(id, "progress"));
        if (!stored || stored.revision === jobEntry.progressRevision) {
            continue;
        }
        const progress = decodeContent("progress", stored.value);
        if (progress) {
            addJob(cluster, jobEntry.job, { progress, revision: stored.revision }, now);
            reloaded.changed.push(id);
        } else {
            // Written again, it would conflict again and hold up the other jobs of its transaction.
            jobEntry.isUnreadable = true;
            reloaded.unreadable.push(id);
        }
    }
    return reloaded;
}
