import type { JobState } from "./jobTypes.ts";

/**
 * Lifecycle phase of a task group.
 * - `waiting`: no run is open.
 * - `placed`: a run is open; its tasks may be running at their placements.
 * - `closing`: all tasks of the run must end before the group can be placed again.
 * - `done`, `failed`: final; remaining placements still occupy their workers.
 */
export type GroupPhase = "waiting" | "placed" | "closing" | "done" | "failed";

/** One start of a worker process; nothing that ran before this start is still running. */
export interface Boot {
    /** Id that the worker reports; not necessarily different after a restart. */
    id: string;
    /** Time of the start, in milliseconds since 1970. */
    bornMs: number;
}

/** A task that may be running on a worker. */
export interface TaskPlacement {
    index: number;
    /** Name of the agent that runs next to the worker. */
    worker: string;
    boot: Boot;
}

/** Crashes of the workers that ran a task. */
export interface TaskCrashes {
    total: number;
    /** Crashes right after the start of the task. */
    atStart: number;
}

/** Recorded progress of one group. */
export interface GroupProgress {
    phase: GroupPhase;
    /** Number of the latest run; 0 before the first. */
    run: number;
    placements: TaskPlacement[];
    /** Number of failed runs. */
    failures: number;
    /** The latest run counted in `failures`, so that a repeated report is not counted again. */
    failedRun: number;
    /** Crashes by task index, of the tasks under which a worker has crashed. */
    crashes?: Record<string, TaskCrashes> | undefined;
    /** The latest checkpoint. */
    saved?: string | undefined;
}

/** State of a job as a whole. */
export interface ProgressSummary {
    /** Whether any task has been reported as started. */
    begun: boolean;
    /** The final state; undefined until the job is over. */
    final?: Extract<JobState, "completed" | "failed" | "cancelled"> | undefined;
    /** Wall-clock time at which the final state was reached, in milliseconds since 1970. */
    endedAtMs?: number | undefined;
}

/** Recorded progress of a job; groups that were never placed are absent. */
export interface Progress extends ProgressSummary {
    groups: Record<string, GroupProgress>;
}

/** How a run of a task ended. */
export type TaskEnd =
    | "done"
    /** The task or its worker caused the failure. */
    | "failed"
    | "stopped"
    /** The worker's lease ran out. */
    | "lapsed"
    /** Another task of the gang ended, so this one was ended too. */
    | "broken"
    /** The other tasks of the gang did not start in time. */
    | "alone"
    /** The worker crashed right after it had started the task. */
    | "crashed-at-start"
    /** The worker crashed while it ran the task. */
    | "crashed"
    /** The worker is gone for another reason, or the task can no longer be running on it. */
    | "lost";

/** Progress of a job of which no group has been placed. */
export function emptyProgress(): Progress {
    return { begun: false, groups: {} };
}

/** Progress of a group that has never been placed. */
export function emptyGroupProgress(): GroupProgress {
    return { phase: "waiting", run: 0, placements: [], failures: 0, failedRun: 0 };
}

/** Whether both values identify the same start of a worker process. */
export function sameBoot(left: Boot, right: Boot): boolean {
    return left.id === right.id && left.bornMs === right.bornMs;
}
