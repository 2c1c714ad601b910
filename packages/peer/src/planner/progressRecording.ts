import type { Either } from "purify-ts/Either";
import { deriveFinalState } from "@tanagerdeck/decisions/job/jobState";
import type { GroupProgress } from "@tanagerdeck/decisions/job/progressTypes";
import { markChanged, type JobEntry, type ClusterState } from "@tanagerdeck/decisions/plan/clusterState";
import { groupsOfPart, recordedUpTo, type ProgressSlot } from "@tanagerdeck/decisions/plan/progressSlots";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { CommitReply, Transaction } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { encodeContent } from "@tanagerdeck/store/replica/storedValueCodec";
import { jobKey, LEADER_KEY, progressPartKey } from "@tanagerdeck/store/replica/storeKeys";

/** What a write records of one job. */
export interface WrittenProgress {
    version: number;
    /** The written values, with the version of the first change that each of them records. */
    slots: Map<ProgressSlot, number>;
}

/** A store transaction, with what it records by job. */
export interface RecordWrite {
    transaction: Transaction;
    jobs: Map<string, WrittenProgress>;
}

/** Result of a record write. */
export type RecordResult = Either<Failure, CommitReply>;

/** Largest number of entries (expected revisions, puts and removes) that the store takes in a transaction. */
export const MAX_TRANSACTION_ENTRIES = 32;
/** Parts of one job in a write, which bounds its size. */
const MAX_PARTS_PER_WRITE = 8;

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
        markChanged(entry, "head");
        endedJobs.push(entry);
    }
    return endedJobs;
}

/** Creates writes for all jobs with unrecorded changes and no write in progress, and marks them as being written. */
export function createWrites(cluster: ClusterState, term: number, newWriteId: () => string): RecordWrite[] {
    const writes: RecordWrite[] = [];
    let current: RecordWrite | undefined;
    for (const entry of cluster.jobs.values()) {
        if (entry.version <= entry.recordedVersion || entry.isWriting || entry.isUnreadable) {
            continue;
        }
        const slots = takeUnrecorded(entry);
        if (!current || countEntries(current) + entriesFor(slots.size) > MAX_TRANSACTION_ENTRIES) {
            current = { transaction: { expected: [], puts: [], removes: [] }, jobs: new Map() };
            current.transaction.expected.push({ key: LEADER_KEY, revision: term });
            writes.push(current);
        }
        addToWrite(current, entry, slots, newWriteId);
    }
    return writes;
}

function countEntries({ transaction }: RecordWrite): number {
    return transaction.expected.length + transaction.puts.length;
}

/** Entries for a job: the expected revision and the put of each value, and the absence of a cancellation. */
function entriesFor(slots: number): number {
    return 2 * slots + 1;
}

/** Takes the values of a job that are written next: the one with the job's state before any part, then the oldest parts. */
function takeUnrecorded({ recording, version }: JobEntry): Map<ProgressSlot, number> {
    const { unrecorded, revisions } = recording;
    const taken = new Map<ProgressSlot, number>();
    if (unrecorded.has("head") || !revisions.has("head")) {
        taken.set("head", unrecorded.get("head") ?? version);
    }
    for (const [slot, since] of unrecorded) {
        if (taken.size > MAX_PARTS_PER_WRITE) {
            break;
        }
        taken.set(slot, since);
    }
    for (const slot of taken.keys()) {
        unrecorded.delete(slot);
    }
    return taken;
}

/**
 * Adds a job to a transaction that commits only if this term is still current, nobody else has written the values, and no
 * cancellation is stored for a job that is not known to be cancelled.
 */
function addToWrite(
    { transaction, jobs }: RecordWrite,
    entry: JobEntry,
    slots: Map<ProgressSlot, number>,
    newWriteId: () => string,
): void {
    const { id } = entry.job;
    entry.isWriting = true;
    jobs.set(id, { version: entry.version, slots });
    if (!entry.isCancelled) {
        transaction.expected.push({ key: jobKey(id, "cancel"), revision: 0 });
    }
    for (const slot of slots.keys()) {
        const key = slotKey(id, slot);
        transaction.expected.push({ key, revision: entry.recording.revisions.get(slot) ?? 0 });
        transaction.puts.push({ key, value: encodeSlot(entry, slot, newWriteId()) });
    }
}

/** Store key of one value of a job's progress. */
export function slotKey(id: string, slot: ProgressSlot): string {
    return slot === "head" ? jobKey(id, "progress") : progressPartKey(id, slot);
}

function encodeSlot({ progress, groups, recording }: JobEntry, slot: ProgressSlot, write: string): string {
    if (slot !== "head") {
        const recorded: Record<string, GroupProgress> = {};
        for (const { key } of groupsOfPart(groups, slot)) {
            const group = progress.groups[key];
            if (group) {
                recorded[key] = group;
            }
        }
        return encodeContent("progress-part", { groups: recorded }, write);
    }
    if (recording.layout === "whole") {
        return encodeContent("progress", progress, write);
    }
    return encodeContent("progress", { ...progress, groups: undefined, layout: "parts" }, write);
}

/** Applies a committed write; the starts of the runs that it records may be ordered from now on. */
export function applyCommittedWrite(
    cluster: ClusterState,
    write: RecordWrite,
    revision: number,
    now: number,
): void {
    for (const [id, { version, slots }] of write.jobs) {
        const entry = cluster.jobs.get(id);
        if (!entry) {
            continue;
        }
        const recorded = recordedUpTo(entry.recording, version);
        for (const run of entry.runs.values()) {
            if (run.version > entry.recordedVersion && run.version <= recorded) {
                run.openedAt = now;
            }
        }
        entry.isWriting = false;
        entry.recordedVersion = recorded;
        for (const slot of slots.keys()) {
            entry.recording.revisions.set(slot, revision);
        }
    }
}
