import type { Either } from "purify-ts/Either";
import { deriveFinalState } from "@tanagerdeck/decisions/job/jobState";
import type { JobEntry, ClusterState } from "@tanagerdeck/decisions/plan/clusterState";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { CommitReply, Transaction } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { encodeContent } from "@tanagerdeck/store/replica/storedValueCodec";
import { jobKey, LEADER_KEY } from "@tanagerdeck/store/replica/storeKeys";

/** A store transaction, with the versions of the jobs that it records. */
export interface RecordWrite {
    transaction: Transaction;
    versions: Map<string, number>;
}

/** Result of a record write. */
export type RecordResult = Either<Failure, CommitReply>;

/** The store takes 32 entries in a transaction: one for the leader and three for each job. */
const JOBS_PER_WRITE = 10;

/** Sets the final state of jobs whose groups imply one, and returns them; a cancelled job needs all its runs ended. */
export function setFinalStates(cluster: ClusterState, wallMs: number): JobEntry[] {
    const endedJobs: JobEntry[] = [];
    for (const entry of cluster.jobs.values()) {
        if (entry.progress.final !== undefined || entry.version === entry.recordedVersion) {
            continue;
        }
        const final = deriveFinalState(entry.index, entry.isCancelled);
        if (final === undefined || (final === "cancelled" && entry.runs.size > 0)) {
            continue;
        }
        entry.progress = { ...entry.progress, final, endedAtMs: wallMs };
        entry.version += 1;
        endedJobs.push(entry);
    }
    return endedJobs;
}

/** Creates writes for all jobs with unrecorded changes and no write in progress, and marks them as being written. */
export function createWrites(cluster: ClusterState, term: number, newWriteId: () => string): RecordWrite[] {
    const outdated: JobEntry[] = [];
    for (const entry of cluster.jobs.values()) {
        if (entry.version > entry.recordedVersion && !entry.isWriting && !entry.isUnreadable) {
            outdated.push(entry);
        }
    }
    const writes: RecordWrite[] = [];
    for (let start = 0; start < outdated.length; start += JOBS_PER_WRITE) {
        writes.push(createWrite(outdated.slice(start, start + JOBS_PER_WRITE), term, newWriteId));
    }
    return writes;
}

/**
 * Creates a transaction that commits only if this term is still current, nobody else has written the progress, and no
 * cancellation is stored for jobs that are not known to be cancelled.
 */
function createWrite(entries: JobEntry[], term: number, newWriteId: () => string): RecordWrite {
    const transaction: Transaction = {
        expected: [{ key: LEADER_KEY, revision: term }],
        puts: [],
        removes: [],
    };
    const versions = new Map<string, number>();
    for (const entry of entries) {
        const { id } = entry.job;
        const key = jobKey(id, "progress");
        entry.isWriting = true;
        versions.set(id, entry.version);
        transaction.expected.push({ key, revision: entry.progressRevision });
        if (!entry.isCancelled) {
            transaction.expected.push({ key: jobKey(id, "cancel"), revision: 0 });
        }
        transaction.puts.push({ key, value: encodeContent("progress", entry.progress, newWriteId()) });
    }
    return { transaction, versions };
}

/** Applies a committed write; the starts of the runs that it records may be ordered from now on. */
export function applyCommittedWrite(
    cluster: ClusterState,
    write: RecordWrite,
    revision: number,
    now: number,
): void {
    for (const [id, version] of write.versions) {
        const entry = cluster.jobs.get(id);
        if (!entry) {
            continue;
        }
        for (const run of entry.runs.values()) {
            if (run.version > entry.recordedVersion && run.version <= version) {
                run.openedAt = now;
            }
        }
        entry.isWriting = false;
        entry.recordedVersion = version;
        entry.progressRevision = revision;
    }
}
