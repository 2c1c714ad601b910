import type { Weights } from "../document/documentTypes.ts";

/** Terms of the cost of a placement; each is between 0 and 1. */
export interface CostTerms {
    /** Fraction of the worker, rack or pair of racks that stays available after the placement. */
    leftover: number;
    /**
     * Free accelerators of the widest pair of racks that the gang would break up, relative to the widest free pair of
     * the fleet.
     */
    widestFreePair: number;
    /** Fraction of the gang's accelerators that their owners may reclaim while it runs. */
    reclaimRisk: number;
    /** Fraction of the gang's accelerators whose tasks must be stopped before it starts. */
    displaced: number;
}

/** Weighted cost of a placement; the lowest cost wins. */
export function placementCost(terms: CostTerms, weights: Weights): number {
    const fragmentation = terms.leftover + terms.widestFreePair;
    const completionTime = terms.reclaimRisk + terms.displaced;
    return weights.fragmentation * fragmentation + weights.completionTime * completionTime;
}
