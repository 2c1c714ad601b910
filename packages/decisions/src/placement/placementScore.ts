import type { Weights } from "../document/documentTypes.ts";

/** What a place costs; each term is between 0 and 1. */
export interface ScoreTerms {
    /** Share of the worker, rack or pair that stays free beside the gang. */
    leftover: number;
    /** Largest free pair of racks that the gang cuts into, relative to the largest of the fleet. */
    widestFree: number;
    /** Share of accelerators that their owners may reclaim while the gang runs. */
    reclaimRisk: number;
    /** Share of accelerators whose tasks must be stopped first. */
    displaced: number;
}

/** Cost of a place; the lowest wins. */
export function placementScore(terms: ScoreTerms, weights: Weights): number {
    const fragmentation = terms.leftover + terms.widestFree;
    const completionTime = terms.reclaimRisk + terms.displaced;
    return weights.fragmentation * fragmentation + weights.completionTime * completionTime;
}
