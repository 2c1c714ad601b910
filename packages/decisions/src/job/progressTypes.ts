import type { JobState } from "./jobTypes.ts";

/**
 * Where a group stands.
 * - `waiting`: no run is open.
 * - `placed`: a run is open; its tasks may be running at their placements.
 * - `closing`: the run has to end everywhere before the group can be placed again.
 * - `done`, `failed`: final; placements that are left still occupy their workers.
 */
export type GroupPhase = "waiting" | "placed" | "closing" | "done" | "failed";

/** One life of a worker's process; everything that ran in an earlier life is gone. */
export interface Boot {
    /** Name that the worker gives itself; it may be the same in a later life. */
    id: string;
    /** Start of this life in Unix milliseconds. */
    bornMs: number;
}

/** A task that may be running on a worker. */
export interface TaskPlacement {
    index: number;
    /** Name of the agent beside the worker. */
    worker: string;
    boot: Boot;
}

/** Recorded progress of one group. */
export interface GroupProgress {
    phase: GroupPhase;
    /** Number of the latest run; 0 before the first. */
    run: number;
    placements: TaskPlacement[];
    /** Runs that ended as failed. */
    failures: number;
    /** The latest run counted in `failures`, so that a repeated report is not counted again. */
    failedRun: number;
    /** The latest checkpoint. */
    saved?: string | undefined;
}

/** Recorded progress of a job; groups that were never placed are absent. */
export interface Progress {
    /** Whether any task was reported as started. */
    begun: boolean;
    /** The final state, once reached. */
    final?: Extract<JobState, "completed" | "failed" | "cancelled"> | undefined;
    /** Wall clock at which the final state was reached. */
    endedAtMs?: number | undefined;
    groups: Record<string, GroupProgress>;
}

/** How a run of a task ended. */
export type TaskEnd =
    | "done"
    /** Through the task's own fault or the worker's. */
    | "failed"
    | "stopped"
    /** The worker's lease ran out. */
    | "lapsed"
    /** Another task of the gang ended. */
    | "broken"
    /** The other tasks of the gang did not come in time. */
    | "alone"
    /** The worker is gone or can no longer be running it. */
    | "lost";

/** Progress of a job of which nothing has been placed. */
export function emptyProgress(): Progress {
    return { begun: false, groups: {} };
}

/** Progress of a group that has never been placed. */
export function emptyGroupProgress(): GroupProgress {
    return { phase: "waiting", run: 0, placements: [], failures: 0, failedRun: 0 };
}

/** Whether two boots are the same life of a worker. */
export function sameBoot(left: Boot, right: Boot): boolean {
    return left.id === right.id && left.bornMs === right.bornMs;
}
