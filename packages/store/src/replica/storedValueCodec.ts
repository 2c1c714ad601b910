import type { Job } from "@tanagerdeck/decisions/job/jobTypes";
import {
    sameBoot,
    type Boot,
    type GroupProgress,
    type ProgressSummary,
    type TaskPlacement,
} from "@tanagerdeck/decisions/job/progressTypes";
import { isNestedDeeperThan } from "./nestingDepth.ts";
import { STORED_CONTENT_SCHEMAS } from "./storedContentSchema.ts";

/** Address and identity that a process publishes so that its peers can call it. */
export interface Registration {
    name: string;
    /** `ip:port`. */
    address: string;
    availabilityZone: string;
    /** Unique for each start of the process. */
    incarnation: string;
}

/**
 * Wraps a stored value together with the id of the write that stored it. The id is unique, so that a writer
 * recognizes its own value after the reply to a write was lost.
 */
interface StoredEnvelope<T> {
    write: string;
    content: T;
}

/** State of a job, with the progress of its groups or the note that they are stored in parts. */
export type StoredProgress = ProgressSummary &
    ({ groups: Record<string, GroupProgress>; layout?: undefined } | { groups?: undefined; layout: "parts" });

/** Types of the stored values, by the kind of content. */
export interface StoredContents {
    definition: Job;
    /** Wall-clock time at the entry that cancelled the job. */
    cancel: { atMs: number };
    progress: StoredProgress;
    "progress-part": { groups: Record<string, GroupProgress> };
    registration: Registration;
    leader: Registration;
    /**
     * Agents that have not reported to the leader, each with the time in ms for which it had not when this was written. No
     * leader grants a lease to a listed agent.
     */
    absences: { agents: Record<string, number> };
    /** Learned speeds by worker. */
    speeds: { workers: Record<string, StoredSpeed> };
}

/** Learned speed of a worker in one boot. */
export interface StoredSpeed {
    boot: Boot;
    /** 1: normal, 0.5: tasks take twice as long. */
    factor: number;
    observations: number;
}

/** Levels of nesting above which a stored value is not decoded; those written here have less than ten. */
const MAX_NESTING = 500;

/** Encodes a stored value as JSON; the write id `write` must be unique among all writers. */
export function encodeContent<K extends keyof StoredContents>(
    _kind: K,
    content: StoredContents[K],
    write: string,
): string {
    const stored: StoredEnvelope<StoredContents[K]> = { write, content };
    return JSON.stringify(stored, (key, value) => (key === "placements" ? packPlacements(value) : value));
}

/** Placements above this number are stored as ranges of consecutive tasks. */
const MAX_SINGLE_PLACEMENTS = 64;

/** Joins the placements of consecutive tasks on one worker; the schema of the stored contents expands them. */
function packPlacements(placements: TaskPlacement[]): unknown[] {
    if (placements.length <= MAX_SINGLE_PLACEMENTS) {
        return placements;
    }
    const ranges: { from: number; to: number; worker: string; boot: Boot }[] = [];
    for (const { index, worker, boot } of placements) {
        const last = ranges.at(-1);
        if (last && last.to === index - 1 && last.worker === worker && sameBoot(last.boot, boot)) {
            last.to = index;
        } else {
            ranges.push({ from: index, to: index, worker, boot });
        }
    }
    return ranges;
}

/** Decodes a stored value; returns undefined if `encodeContent` cannot have written it as this kind of content. */
export function decodeContent<K extends keyof StoredContents>(
    kind: K,
    value: string,
): StoredContents[K] | undefined {
    if (isNestedDeeperThan(value, MAX_NESTING)) {
        return undefined;
    }
    try {
        const stored = JSON.parse(value) as Partial<StoredEnvelope<unknown>> | null;
        const parsed = STORED_CONTENT_SCHEMAS[kind].safeParse(stored?.content);
        return parsed.success ? (parsed.data as StoredContents[K]) : undefined;
    } catch {
        return undefined;
    }
}

/** Decodes the registration of the process `name`; undefined if another writer left something else under its key. */
export function decodeRegistration(name: string, value: string): Registration | undefined {
    const registration = decodeContent("registration", value);
    return registration?.name === name ? registration : undefined;
}
