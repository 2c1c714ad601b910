/** Prefix of all keys that tanagerdeck owns. */
export const ROOT_PREFIX = "tanagerdeck/";

/**
 * Prefix of the progress of large jobs, in parts. Only the leader reads them, so they lie outside of `ROOT_PREFIX`, which
 * every entry watches.
 */
export const PROGRESS_PARTS_PREFIX = "tanagerdeck-progress/";

/** Prefix of what a leader hands over to the next one. Only leaders read it, so it lies outside of `ROOT_PREFIX`. */
export const HANDOVER_PREFIX = "tanagerdeck-handover/";

/** Key of the agents that have not reported to the leader for some time. */
export const ABSENCES_KEY = `${HANDOVER_PREFIX}absences`;

/** Key of the learned speeds of the workers. */
export const SPEEDS_KEY = `${HANDOVER_PREFIX}speeds`;

/** Parts of a stored job; each part has its own key. */
export type JobPart = "definition" | "cancel" | "progress";

/** A parsed key below `ROOT_PREFIX`, `PROGRESS_PARTS_PREFIX` or `HANDOVER_PREFIX`. */
export type StoreKey =
    | { kind: "job"; id: string; part: JobPart }
    | { kind: "progress-part"; id: string; number: number }
    | { kind: "entry"; name: string }
    | { kind: "agent"; name: string }
    | { kind: "leader" }
    | { kind: "absences" }
    | { kind: "speeds" };

/** Key of the leader, the only process that plans. It is bound to the leader's lease. */
export const LEADER_KEY = `${ROOT_PREFIX}leader`;

/** Key of one part of a job. */
export function jobKey(id: string, part: JobPart): string {
    return `${jobPrefix(id)}${part}`;
}

/** Prefix of all parts of a job. */
export function jobPrefix(id: string): string {
    return `${ROOT_PREFIX}job/${id}/`;
}

/** Key of one part of a large job's progress. */
export function progressPartKey(id: string, number: number): string {
    return `${PROGRESS_PARTS_PREFIX}${id}/${number}`;
}

/** Key of an entry's registration. */
export function entryKey(name: string): string {
    return `${ROOT_PREFIX}entry/${name}`;
}

/** Key of an agent's registration. */
export function agentKey(name: string): string {
    return `${ROOT_PREFIX}agent/${name}`;
}

const PROGRESS_PART_KEY = new RegExp(`^${PROGRESS_PARTS_PREFIX}([^/]+)/(\\d{1,9})$`);

/** Parses a key; returns undefined if it has none of these forms. */
export function parseStoreKey(key: string): StoreKey | undefined {
    if (key === LEADER_KEY) {
        return { kind: "leader" };
    }
    if (key === ABSENCES_KEY) {
        return { kind: "absences" };
    }
    if (key === SPEEDS_KEY) {
        return { kind: "speeds" };
    }
    const [, id, number] = PROGRESS_PART_KEY.exec(key) ?? [];
    if (id !== undefined) {
        return { kind: "progress-part", id, number: Number(number) };
    }
    if (!key.startsWith(ROOT_PREFIX)) {
        return undefined;
    }
    const [kind, name, part] = key.slice(ROOT_PREFIX.length).split("/");
    if (name === undefined || name === "") {
        return undefined;
    }
    if (kind === "job" && (part === "definition" || part === "cancel" || part === "progress")) {
        return { kind, id: name, part };
    }
    if ((kind === "entry" || kind === "agent") && part === undefined) {
        return { kind, name };
    }
    return undefined;
}
