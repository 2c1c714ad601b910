import type { Accelerator, Priority, Shape } from "../document/documentTypes.ts";
import type { Placement, PlacementMember } from "../placement/placementTypes.ts";

/** A gang job that waits for accelerators. Times are milliseconds on the caller's clock. */
export interface WaitingJob {
    id: string;
    clientAccount: string;
    kind: string;
    priority: Priority;
    shape: Shape;
    acceptedAtMs: number;
    /** Upper limit of the run time that the kind sets; a run is stopped there. */
    limitMs: number;
    /** Agents that this job must not use. */
    avoidedAgents?: Set<string>;
}

/** A gang that runs. */
export interface RunningGang {
    id: string;
    kind: string;
    members: Pick<PlacementMember, "rack" | "slot" | "indexes">[];
    startedAtMs: number;
    limitMs: number;
}

/** The accelerators kept for the waiting gang that comes first and does not fit yet. */
export interface PlannedPlacement {
    job: string;
    accelerators: Accelerator[];
    plannedAtMs: number;
    /** Expected time at which all accelerators are free; fixed, so that wrong expectations cannot move it. */
    startMs: number;
}

/** A job that starts now. */
export interface JobStart {
    job: WaitingJob;
    placement: Placement;
}

/** Finished run times by kind, oldest first. A plain value that the caller owns. */
export type RunTimes = Record<string, number[]>;
