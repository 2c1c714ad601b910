import type { Job, JobState } from "./jobTypes.ts";
import type { Progress } from "./progressTypes.ts";
import { groupProgress } from "./progressChange.ts";
import { occurrenceCount, taskGroupsOf } from "./taskGroups.ts";

/** What is stored of one job. */
export interface JobRecord {
    job: Job;
    progress: Progress;
    /** Whether its caller has cancelled it. */
    cancelled: boolean;
}

/** The state shown to the job's caller. */
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

/** The final state that the groups imply; undefined while the job goes on. */
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

/** Whether the job counts as waiting in its queue: accepted, not begun and not ended. */
export function isWaiting(record: JobRecord): boolean {
    return visibleState(record) === "queued";
}
