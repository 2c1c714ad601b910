import type { Shape } from "../document/documentTypes.ts";
import type { AcceleratorState } from "../fleet/reportTypes.ts";

/** State of a worker as an entry knows it; `accelerators` are ordered by index. */
export interface WorkerView {
    agent: string;
    address: string;
    availabilityZone: string;
    rack: string;
    slot: number;
    accelerators: AcceleratorState[];
    /** False for a draining, suspect, quarantined or gone worker. */
    usable: boolean;
}

/** The accelerators that a gang job requests. */
export interface Demand {
    clientAccount: string;
    shape: Shape;
}

/** The accelerators that a gang uses on one worker. */
export interface PlacementMember {
    agent: string;
    address: string;
    rack: string;
    slot: number;
    indexes: number[];
}

/** The accelerators chosen for a gang. Members are sorted by agent name; the first is the anchor. */
export interface Placement {
    members: PlacementMember[];
    /** `owned`: all accelerators are bound to the job's client account; `borrowed`: others may reclaim some of them. */
    tenure: "owned" | "borrowed";
    /** Whether tasks of borrowers must be stopped before the gang starts. */
    reclaims: boolean;
    /** The accelerators that must be reclaimed, with the client accounts that borrow them. */
    displaced?: DisplacedAccelerator[];
}

/** A borrowed accelerator that its owner reclaims. */
export interface DisplacedAccelerator {
    agent: string;
    index: number;
    clientAccount: string;
}

/**
 * Availability of an accelerator to the client account of a demand:
 * - `unbound`: free and not bound to any client account.
 * - `lent`: free and bound to another client account.
 * - `own`: free and bound to the demand's client account.
 * - `own-lent-out`: bound to the demand's client account and borrowed by another one.
 */
export type Source = "unbound" | "lent" | "own" | "own-lent-out";

/** Sources that a placement may combine, in the order in which it uses them up. */
export type Stage = Source[];
