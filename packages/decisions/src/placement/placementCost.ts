import type { Weights } from "../document/documentTypes.ts";

/** What a place costs; each term is between 0 and 1. */
export interface CostTerms {
    /** Share of the worker, rack or pair that stays free beside the gang. */
    leftover: number;
    /** Largest free pair of racks that the gang cuts into, relative to the largest of the fleet. */
    widestFreePair: number;
    /** Share of accelerators that their owners may reclaim while the gang runs. */
    reclaimRisk: number;
    /** Share of accelerators whose tasks must be stopped first. */
    displaced: number;
}

/** Cost of a place; the lowest wins. */
export function placementCost(terms: CostTerms, weights: Weights): number {
    const fragmentation = terms.leftover + terms.widestFreePair;
    const completionTime = terms.reclaimRisk + terms.displaced;
    return weights.fragmentation * fragmentation + weights.completionTime * completionTime;
}
