import type { Job, JobState } from "./jobTypes.ts";
import type { Progress, ProgressSummary } from "./progressTypes.ts";

/** A job as the store holds it: the accepted job, its progress and whether it was cancelled. */
export interface JobRecord {
    job: Job;
    progress: ProgressSummary;
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

/** Numbers of a job's task groups that decide whether the job is over. */
export interface GroupCounts {
    /** Groups that are not done. */
    unfinished: number;
    failed: number;
}

/** Derives the final state from the phases of the task groups; undefined while the job is not over. */
export function deriveFinalState(
    { unfinished, failed }: GroupCounts,
    isCancelled: boolean,
): Progress["final"] {
    if (failed > 0) {
        return isCancelled ? "cancelled" : "failed";
    }
    if (unfinished === 0) {
        return "completed";
    }
    return isCancelled ? "cancelled" : undefined;
}

/** Whether the job is waiting in its queue: accepted, but neither started nor ended. */
export function isWaiting(record: JobRecord): boolean {
    return visibleState(record) === "queued";
}
