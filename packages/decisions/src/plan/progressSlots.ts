import type { TaskGroup } from "../job/taskGroups.ts";

/** Groups whose progress one stored value holds; the value of a larger job would outgrow the store's limit. */
export const GROUPS_PER_PART = 256;

/**
 * How the progress of a job is stored.
 * - `whole`: one value holds the job's state and all groups.
 * - `parts`: one value holds the job's state, and others the groups, so that a change does not write them all again.
 */
export type ProgressLayout = "whole" | "parts";

/** One stored value of a job's progress: the one with the job's state, or the number of a part. */
export type ProgressSlot = "head" | number;

/** What is recorded of a job's progress, and what is not. */
export interface ProgressRecording {
    layout: ProgressLayout;
    /** Store revisions of the recorded values; values that do not exist are absent. */
    revisions: Map<ProgressSlot, number>;
    /** For each value that has changed since it was last written or put into a write: the version of its first change. */
    unrecorded: Map<ProgressSlot, number>;
}

/** The layout of a job whose progress has not been stored. */
export function layoutFor(groups: number): ProgressLayout {
    return groups > GROUPS_PER_PART ? "parts" : "whole";
}

/** The stored value that holds a group. */
export function slotOf(layout: ProgressLayout, { position }: TaskGroup): ProgressSlot {
    return layout === "whole" ? "head" : Math.floor(position / GROUPS_PER_PART);
}

/** The groups of a part. */
export function groupsOfPart(groups: TaskGroup[], part: number): TaskGroup[] {
    return groups.slice(part * GROUPS_PER_PART, (part + 1) * GROUPS_PER_PART);
}

/** The version up to which all changes are recorded, once `version` is the last that was put into a write. */
export function recordedUpTo({ unrecorded }: ProgressRecording, version: number): number {
    let recorded = version;
    for (const since of unrecorded.values()) {
        recorded = Math.min(recorded, since - 1);
    }
    return recorded;
}
