import type { Accelerator, Priority, Shape } from "../document/documentTypes.ts";
import type { Placement, PlacementMember } from "../placement/placementTypes.ts";

/** A gang job that waits for accelerators. Times are in milliseconds on the caller's clock. */
export interface WaitingJob {
    id: string;
    clientAccount: string;
    kind: string;
    priority: Priority;
    shape: Shape;
    acceptedAtMs: number;
    /** Run time limit of the job's kind; a run that reaches it is stopped. */
    limitMs: number;
    /** Agents whose workers this job must not use. */
    avoidedAgents?: Set<string>;
}

/** A running gang with its accelerators and its run time limit. */
export interface RunningGang {
    id: string;
    kind: string;
    members: Pick<PlacementMember, "rack" | "slot" | "indexes">[];
    startedAtMs: number;
    limitMs: number;
}

/** The accelerators reserved for the first waiting gang that does not fit yet. */
export interface PlannedPlacement {
    job: string;
    accelerators: Accelerator[];
    plannedAtMs: number;
    /**
     * Expected time at which all accelerators are free. It is not updated, so that wrong run time estimates cannot
     * postpone it.
     */
    startMs: number;
}

/** A job that starts now, with its placement. */
export interface JobStart {
    job: WaitingJob;
    placement: Placement;
}

/** Durations of finished runs by kind, in milliseconds, oldest first. Never mutated; the caller keeps the value. */
export type RunTimes = Record<string, number[]>;
