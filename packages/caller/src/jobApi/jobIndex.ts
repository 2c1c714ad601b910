import type { Job } from "@tanagerdeck/decisions/job/jobTypes";
import { visibleState, type JobRecord } from "@tanagerdeck/decisions/job/jobState";
import { emptyProgress, type ProgressSummary } from "@tanagerdeck/decisions/job/progressTypes";
import type { Change } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { decodeContent } from "@tanagerdeck/store/replica/storedValueCodec";
import { parseStoreKey } from "@tanagerdeck/store/replica/storeKeys";

/** Stored parts of a job that have arrived so far; they may arrive in any order. */
interface JobParts {
    job?: Job | undefined;
    progress?: ProgressSummary | undefined;
    cancelled: boolean;
}

/** Index of the stored jobs by id, built from the changes of the store. */
export type JobIndex = Map<string, JobParts>;

/** Applies a change of the store to the index; ignores keys that do not belong to a job. */
export function applyToIndex(index: JobIndex, { key, value }: Pick<Change, "key" | "value">): void {
    const parsed = parseStoreKey(key);
    if (parsed?.kind !== "job") {
        return;
    }
    const parts: JobParts = index.get(parsed.id) ?? { cancelled: false };
    if (parsed.part === "cancel") {
        parts.cancelled = value !== undefined;
    } else if (parsed.part === "definition") {
        parts.job = value === undefined ? undefined : decodeContent("definition", value);
    } else {
        parts.progress = value === undefined ? undefined : decodeContent("progress", value);
    }
    if (!parts.job && !parts.progress && !parts.cancelled) {
        index.delete(parsed.id);
        return;
    }
    index.set(parsed.id, parts);
}

/** Returns the record of a job; undefined if its definition is not known. */
export function findRecord(index: JobIndex, id: string): JobRecord | undefined {
    const parts = index.get(id);
    if (!parts?.job) {
        return undefined;
    }
    return { job: parts.job, progress: parts.progress ?? emptyProgress(), cancelled: parts.cancelled };
}

/** Counts a queue's accepted jobs that have not started. */
export function countWaiting(index: JobIndex, queue: string): number {
    let count = 0;
    for (const id of index.keys()) {
        const record = findRecord(index, id);
        if (record?.job.queue === queue && visibleState(record) === "queued") {
            count += 1;
        }
    }
    return count;
}
