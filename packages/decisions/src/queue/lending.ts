import type { JobStart, OwnStarts, RunTimes, WaitingJob } from "./queueTypes.ts";
import { expectedRunMs } from "./runTimes.ts";

/** Notes which client accounts have started jobs on their own bindings. */
export function recordOwnStarts(ownStarts: OwnStarts, starts: JobStart[], nowMs: number): OwnStarts {
    const recorded = { ...ownStarts };
    for (const { job, placement } of starts) {
        if (placement.tenure === "owned") {
            recorded[job.clientAccount] = nowMs;
        }
    }
    return recorded;
}

/**
 * Earliest time at which a job should borrow from each client account that has used its own bindings lately.
 * An owner that has not needed its bindings for as long as the job is expected to run will probably not
 * reclaim them during the run.
 */
export function borrowFromMs(job: WaitingJob, ownStarts: OwnStarts, runTimes: RunTimes): Map<string, number> {
    const run = expectedRunMs(runTimes, job);
    return new Map(Object.entries(ownStarts).map(([account, lastMs]) => [account, lastMs + run]));
}
