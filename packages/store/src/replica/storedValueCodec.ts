import type { Job } from "@tanagerdeck/decisions/job/jobTypes";
import type { Progress } from "@tanagerdeck/decisions/job/progressTypes";
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

/** Types of the stored values, by the kind of content. */
export interface StoredContents {
    definition: Job;
    /** Wall-clock time at the entry that cancelled the job. */
    cancel: { atMs: number };
    progress: Progress;
    registration: Registration;
    leader: Registration;
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
    return JSON.stringify(stored);
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
