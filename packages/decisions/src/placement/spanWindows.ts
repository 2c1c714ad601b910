import type { TopologySpan, Weights } from "../document/documentTypes.ts";
import type { IndexedRack, PlacementIndex } from "./placementIndex.ts";
import { placementCost } from "./placementCost.ts";
import type { Demand, Stage } from "./placementTypes.ts";
import { countOfStage, type FleetSources, type WorkerSources } from "./workerSources.ts";

/** Accelerators that a span may cover: a worker (`slot` is set), a rack or two neighbouring racks. */
export interface SpanWindow {
    racks: number[];
    slot?: number;
}

/** Accelerator counts by rack, summed over its usable workers. */
interface RackSums {
    /** Accelerators of the sources in the stage. */
    stage: number[];
    /** Free accelerators of any source. */
    free: number[];
    lent: number[];
    displaced: number[];
    /** Free accelerators of the larger pair of neighbouring racks that the rack is part of. */
    widestFreePairs: number[];
    /** Maximum of `widestFreePairs`. */
    widestFreePairOfFleet: number;
}

/** A window with the accelerators that the stage offers in it. */
interface Candidate {
    window: SpanWindow;
    available: number;
    size: number;
    /** Number of `lent` accelerators, if the stage includes them. */
    lent: number;
    /** Number of `own-lent-out` accelerators, if the stage includes them. */
    displaced: number;
}

const FREE: Stage = ["unbound", "lent", "own"];

/** The window with the lowest cost in which the demand fits; the first one if costs are equal. */
export function bestWindow(
    demand: Demand,
    stage: Stage,
    fleet: FleetSources,
    index: PlacementIndex,
): SpanWindow | undefined {
    const sums = sumRacks(fleet, stage, index.racks);
    const wanted = demand.shape.accelerators;
    let best: SpanWindow | undefined;
    let lowest = Number.POSITIVE_INFINITY;
    for (const candidate of candidatesOf(demand.shape.span, stage, fleet, index.racks, sums)) {
        if (candidate.available < wanted) {
            continue;
        }
        const cost = costOf(candidate, wanted, sums, index.weights);
        if (cost < lowest) {
            lowest = cost;
            best = candidate.window;
        }
    }
    return best;
}

/** The usable workers of a window. */
export function workersInWindow(window: SpanWindow, fleet: FleetSources): WorkerSources[] {
    const workers: WorkerSources[] = [];
    for (const rack of window.racks) {
        for (const sources of fleet.racks[rack]!) {
            if (sources && (window.slot === undefined || sources.worker.slot === window.slot)) {
                workers.push(sources);
            }
        }
    }
    return workers;
}

function costOf(candidate: Candidate, wanted: number, sums: RackSums, weights: Weights): number {
    const { window, available, size, lent, displaced } = candidate;
    const unrestricted = available - lent - displaced;
    let freeInWidestPair = 0;
    for (const rack of window.racks) {
        freeInWidestPair = Math.max(freeInWidestPair, sums.widestFreePairs[rack]!);
    }
    const terms = {
        leftover: (available - wanted) / size,
        widestFreePair: freeInWidestPair / Math.max(1, sums.widestFreePairOfFleet),
        reclaimRisk: Math.min(lent, Math.max(0, wanted - unrestricted)) / wanted,
        displaced: Math.min(displaced, Math.max(0, wanted - unrestricted - lent)) / wanted,
    };
    return placementCost(terms, weights);
}

function* candidatesOf(
    span: TopologySpan,
    stage: Stage,
    fleet: FleetSources,
    racks: IndexedRack[],
    sums: RackSums,
): Generator<Candidate> {
    for (const [rack, { next, accelerators }] of racks.entries()) {
        if (span === "worker") {
            yield* workerCandidates(rack, stage, fleet);
            continue;
        }
        const single = rackCandidate([rack], accelerators, sums);
        yield single;
        if (span === "neighbouring-racks" && next !== undefined) {
            yield rackCandidate([rack, next], accelerators + racks[next]!.accelerators, sums);
        }
    }
}

function* workerCandidates(rack: number, stage: Stage, fleet: FleetSources): Generator<Candidate> {
    for (const sources of fleet.racks[rack]!) {
        if (sources) {
            const { counts, worker } = sources;
            yield {
                window: { racks: [rack], slot: worker.slot },
                available: countOfStage(counts, stage),
                size: worker.accelerators.length,
                lent: stage.includes("lent") ? counts.lent : 0,
                displaced: stage.includes("own-lent-out") ? counts["own-lent-out"] : 0,
            };
        }
    }
}

function rackCandidate(racks: number[], size: number, sums: RackSums): Candidate {
    const candidate = { window: { racks }, available: 0, size, lent: 0, displaced: 0 };
    for (const rack of racks) {
        candidate.available += sums.stage[rack]!;
        candidate.lent += sums.lent[rack]!;
        candidate.displaced += sums.displaced[rack]!;
    }
    return candidate;
}

function sumRacks(fleet: FleetSources, stage: Stage, racks: IndexedRack[]): RackSums {
    const sum = (sources: Stage) => fleet.rackCounts.map(counts => countOfStage(counts, sources));
    const free = sum(FREE);
    const pair = (left: number | undefined, right: number | undefined) =>
        (free[left ?? -1] ?? 0) + (free[right ?? -1] ?? 0);
    const widestFreePairs = racks.map(({ next, previous }, rack) =>
        Math.max(pair(rack, next), pair(previous, rack)),
    );
    const lent = sum(stage.includes("lent") ? ["lent"] : []);
    const displaced = sum(stage.includes("own-lent-out") ? ["own-lent-out"] : []);
    const widestFreePairOfFleet = widestFreePairs.reduce((left, right) => Math.max(left, right), 0);
    return {
        stage: sum(stage),
        free,
        lent,
        displaced,
        widestFreePairs,
        widestFreePairOfFleet,
    };
}
