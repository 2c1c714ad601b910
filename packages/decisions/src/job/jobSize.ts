import type { JobRequest } from "./jobTypes.ts";

/** Largest number of tasks of a job, over all its occurrences: the leader keeps each of them in memory. */
export const MAX_TASKS = 50_000;

/** Number of tasks of a job over all its occurrences. */
export function countTasks({ steps, schedule }: Pick<JobRequest, "steps" | "schedule">): number {
    let tasks = 0;
    for (const { count } of steps) {
        tasks += count;
    }
    return tasks * Math.max(1, schedule?.occurrences ?? 1);
}
