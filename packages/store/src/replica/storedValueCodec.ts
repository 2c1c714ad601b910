import type { Job } from "@tanagerdeck/decisions/job/jobTypes";
import type { Progress } from "@tanagerdeck/decisions/job/progressTypes";

/** Where a process of the system serves its peers. */
export interface Registration {
    name: string;
    /** `ip:port`. */
    address: string;
    availabilityZone: string;
    /** Distinguishes the starts of a process. */
    incarnation: string;
}

/**
 * Stored values carry the name of the write that made them. It is unique, so that a writer recognizes its own
 * value after a reply was lost.
 */
interface StoredEnvelope<T> {
    write: string;
    content: T;
}

/** Values of the keys, by what they hold. */
export interface StoredContents {
    definition: Job;
    /** Wall clock of the cancelling entry. */
    cancel: { atMs: number };
    progress: Progress;
    registration: Registration;
    leader: Registration;
}

/** The text of a stored value; `write` must be unique among all writers. */
export function encodeContent<K extends keyof StoredContents>(
    _kind: K,
    content: StoredContents[K],
    write: string,
): string {
    const stored: StoredEnvelope<StoredContents[K]> = { write, content };
    return JSON.stringify(stored);
}

/** Reads a stored value; undefined if it is not one of tanagerdeck's. */
export function decodeContent<K extends keyof StoredContents>(
    _kind: K,
    value: string,
): StoredContents[K] | undefined {
    try {
        const stored = JSON.parse(value) as Partial<StoredEnvelope<StoredContents[K]>>;
        return typeof stored.content === "object" ? stored.content : undefined;
    } catch {
        return undefined;
    }
}
