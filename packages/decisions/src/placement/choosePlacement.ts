import type { Binding, Shape, TopologySpan } from "../document/documentTypes.ts";
import { type FleetSummary, summarizeFleet } from "./fleetSummary.ts";
import type { PlacementIndex } from "./placementIndex.ts";
import type { Demand, DisplacedAccelerator, Placement, Source, Stage, WorkerView } from "./placementTypes.ts";
import { bestWindow, workersInWindow } from "./spanWindows.ts";
import {
    countFleetSources,
    type FleetSources,
    indexesOfSource,
    type WorkerSources,
} from "./workerSources.ts";

/** Accelerators that a placement takes from one source on one worker. */
interface TakenAccelerators {
    sources: WorkerSources;
    source: Source;
    indexes: number[];
}

const SPANS_WIDEST_FIRST: TopologySpan[] = ["neighbouring-racks", "rack", "worker"];

const OWN_STAGE: Stage = ["own", "own-lent-out"];

/**
 * Default order in which a placement tries the stages. The client account's own bindings come after borrowing, so
 * that they stay whole for its guaranteed shapes.
 */
export const DEFAULT_PREFERENCE: Stage[] = [
    ["unbound"],
    ["unbound", "lent"],
    OWN_STAGE,
    ["unbound", "own", "lent"],
];

/**
 * Chooses adjacent accelerators for a demand; undefined if the demand does not fit now or exceeds the quota.
 * The quota does not limit the use of the account's own bindings, because these are guaranteed.
 */
export function choosePlacement(
    demand: Demand,
    workers: WorkerView[],
    index: PlacementIndex,
    preference = DEFAULT_PREFERENCE,
): Placement | undefined {
    return choosePlacementFromSummary(demand, summarizeFleet(workers, index), index, preference);
}

/** Like `choosePlacement`, with a fleet summary that a series of placements shares. */
export function choosePlacementFromSummary(
    demand: Demand,
    summary: FleetSummary,
    index: PlacementIndex,
    preference = DEFAULT_PREFERENCE,
): Placement | undefined {
    const fleet = countFleetSources(demand.clientAccount, summary);
    const quota = index.quotas.get(demand.clientAccount) ?? 0;
    const isWithinQuota = fleet.inUse + demand.shape.accelerators <= quota;
    for (const stage of preference) {
        const isOwnOnly = stage.every(source => source === "own" || source === "own-lent-out");
        if (!isOwnOnly && !isWithinQuota) {
            continue;
        }
        const taken =
            (isOwnOnly && takeFromBestBinding(demand, fleet, index)) ||
            takeFromWindow(demand, stage, fleet, index);
        if (taken) {
            return toPlacement(taken);
        }
    }
    return undefined;
}

function takeFromWindow(
    demand: Demand,
    stage: Stage,
    fleet: FleetSources,
    index: PlacementIndex,
): TakenAccelerators[] | undefined {
    const window = bestWindow(demand, stage, fleet, index);
    return window && takeAccelerators(demand, stage, workersInWindow(window, fleet), index);
}

/** Takes from the account's binding that fits the demand best, so that its other bindings stay whole. */
function takeFromBestBinding(
    demand: Demand,
    fleet: FleetSources,
    index: PlacementIndex,
): TakenAccelerators[] | undefined {
    let best: TakenAccelerators[] | undefined;
    let bestBinding: Binding | undefined;
    for (const [position, binding] of index.bindings.entries()) {
        const isBetter = !bestBinding || compareBindings(binding, bestBinding) < 0;
        if (binding.clientAccount !== demand.clientAccount || !isBetter) {
            continue;
        }
        const taken = takeAccelerators(
            demand,
            OWN_STAGE,
            workersOfBinding(binding, fleet, index),
            index,
            position,
        );
        if (taken && isWithinSpan(demand.shape, taken)) {
            best = taken;
            bestBinding = binding;
        }
    }
    return best;
}

/** Sorts the smallest binding first, then the widest span, because it can serve the fewest other shapes. */
function compareBindings(left: Binding, right: Binding): number {
    return (
        left.shape.accelerators - right.shape.accelerators ||
        SPANS_WIDEST_FIRST.indexOf(left.shape.span) - SPANS_WIDEST_FIRST.indexOf(right.shape.span)
    );
}

/** Whether accelerators of one binding satisfy the span of the shape; the binding's own span may be wider. */
function isWithinSpan({ span }: Shape, taken: TakenAccelerators[]): boolean {
    const workers = new Set(taken.map(({ sources }) => sources));
    const racks = new Set(taken.map(({ sources }) => sources.rack));
    return span === "worker" ? workers.size === 1 : span === "neighbouring-racks" || racks.size === 1;
}

function workersOfBinding(binding: Binding, fleet: FleetSources, index: PlacementIndex): WorkerSources[] {
    const workers = new Set<WorkerSources>();
    for (const { rack, slot } of binding.accelerators) {
        const sources = fleet.racks[index.rackPositions.get(rack) ?? -1]?.[slot];
        if (sources) {
            workers.add(sources);
        }
    }
    return [...workers];
}

/** Uses up the sources of a stage in order; within a source, best fit: whole workers, then the tightest worker. */
function takeAccelerators(
    demand: Demand,
    stage: Stage,
    workers: WorkerSources[],
    index: PlacementIndex,
    binding?: number,
): TakenAccelerators[] | undefined {
    const taken: TakenAccelerators[] = [];
    let missing = demand.shape.accelerators;
    for (const source of stage) {
        const available = workers
            .map(sources => ({
                sources,
                indexes: indexesOfSource(demand.clientAccount, sources, source, index, binding),
            }))
            .filter(({ indexes }) => indexes.length > 0);
        while (missing > 0 && available.length > 0) {
            const [{ sources, indexes }] = available.splice(tightestFit(available, missing), 1) as [
                TakenAccelerators,
            ];
            taken.push({ sources, source, indexes: indexes.slice(0, missing) });
            missing -= Math.min(missing, indexes.length);
        }
    }
    return missing === 0 ? taken : undefined;
}

/** Position of the worker with the fewest accelerators that are enough, or of the one with the most if none is. */
function tightestFit(available: { indexes: number[] }[], missing: number): number {
    let best = 0;
    for (const [position, { indexes }] of available.entries()) {
        const current = available[best]!.indexes.length;
        const holdsAll = indexes.length >= missing;
        if (holdsAll ? current < missing || indexes.length < current : indexes.length > current) {
            best = position;
        }
    }
    return best;
}

function toPlacement(taken: TakenAccelerators[]): Placement {
    const members = new Map<string, Placement["members"][number]>();
    const displaced: DisplacedAccelerator[] = [];
    for (const { sources, source, indexes } of taken) {
        const { agent, address, rack, slot, accelerators } = sources.worker;
        const member = members.get(agent) ?? { agent, address, rack, slot, indexes: [] };
        member.indexes = [...member.indexes, ...indexes].sort((left, right) => left - right);
        members.set(agent, member);
        for (const index of source === "own-lent-out" ? indexes : []) {
            const state = accelerators[index]!;
            displaced.push({ agent, index, clientAccount: state.kind === "free" ? "" : state.clientAccount });
        }
    }
    const isOwned = taken.every(({ source }) => source === "own" || source === "own-lent-out");
    return {
        members: [...members.values()].sort((left, right) => (left.agent < right.agent ? -1 : 1)),
        tenure: isOwned ? "owned" : "borrowed",
        reclaims: displaced.length > 0,
        displaced,
    };
}
