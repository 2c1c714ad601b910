import type { Shape } from "../document/documentTypes.ts";
import type { AcceleratorState } from "../fleet/reportTypes.ts";

/** A worker as an entry sees it; `accelerators` are ordered by index. */
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

/** What a gang job asks for. */
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

/** Where a gang goes. Members are ordered by agent name; the first is the anchor. */
export interface Placement {
    members: PlacementMember[];
    /** `owned`: on the account's own binding; `borrowed`: reclaimable by others. */
    tenure: "owned" | "borrowed";
    /** True if borrowed tasks of others must be stopped first. */
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
 * Where an accelerator that a demand may use stands:
 * - `unbound`: free and bound to nobody.
 * - `lent`: free and bound to another client account.
 * - `own`: free and bound to the demand's client account.
 * - `own-lent-out`: bound to the demand's client account and borrowed by another one.
 */
export type Source = "unbound" | "lent" | "own" | "own-lent-out";

/** The sources that a placement may combine, in the order in which it uses them up. */
export type Stage = Source[];
