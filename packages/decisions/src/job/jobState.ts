import type { Job, JobState } from "./jobTypes.ts";
import type { Progress } from "./progressTypes.ts";
import { groupProgress } from "./progressChange.ts";
import { occurrenceCount, taskGroupsOf } from "./taskGroups.ts";

/** A job as the store holds it: the accepted job, its progress and whether it was cancelled. */
export interface JobRecord {
    job: Job;
    progress: Progress;
    /** Whether the submitter has cancelled the job. */
    cancelled: boolean;
}

/** The state reported to the submitter. A final state takes precedence over a later cancellation. */
export function visibleState(record: JobRecord): JobState {
    const { progress, cancelled } = record;
    if (progress.final) {
        return progress.final;
    }
    if (cancelled) {
        return "cancelled";
    }
    return progress.begun ? "running" : "queued";
}

/** Derives the final state from the phases of the task groups; undefined while the job is not over. */
export function deriveFinalState(record: JobRecord): Progress["final"] {
    const { job, progress, cancelled } = record;
    let allDone = true;
    for (let occurrence = 0; occurrence < occurrenceCount(job); occurrence++) {
        for (const group of taskGroupsOf(job, occurrence)) {
            const { phase } = groupProgress(progress, group.key);
            if (phase === "failed") {
                return cancelled ? "cancelled" : "failed";
            }
            allDone &&= phase === "done";
        }
    }
    if (allDone) {
        return "completed";
    }
    return cancelled ? "cancelled" : undefined;
}

/** Whether the job is waiting in its queue: accepted, but neither started nor ended. */
export function isWaiting(record: JobRecord): boolean {
    return visibleState(record) === "queued";
}
