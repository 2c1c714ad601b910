import type { FleetSummary, WorkerSummary } from "./fleetSummary.ts";
import type { PlacementIndex } from "./placementIndex.ts";
import type { Source, Stage, WorkerView } from "./placementTypes.ts";

/** A usable worker with the number of accelerators of each source, from the view of one client account. */
export interface WorkerSources {
    worker: WorkerView;
    rack: number;
    counts: SourceCounts;
}

/** Number of accelerators by source. */
export type SourceCounts = Record<Source, number>;

/** The usable workers with the accelerators that one client account may use. */
export interface FleetSources {
    /** Usable workers by rack and slot. */
    racks: (WorkerSources | undefined)[][];
    /** Number of accelerators of each source by rack. */
    rackCounts: SourceCounts[];
    /** Accelerators that the client account uses or holds anywhere. */
    inUse: number;
}

/** Counts the accelerators of the fleet by source for one client account. */
export function countFleetSources(account: string, { racks, inUse }: FleetSummary): FleetSources {
    const workers = racks.map(slots => slots.map(summary => summary && countWorkerSources(account, summary)));
    return { racks: workers, rackCounts: workers.map(sumCounts), inUse: inUse.get(account) ?? 0 };
}

function sumCounts(workers: (WorkerSources | undefined)[]): SourceCounts {
    const sum = { unbound: 0, lent: 0, own: 0, "own-lent-out": 0 };
    for (const sources of workers) {
        if (sources) {
            sum.unbound += sources.counts.unbound;
            sum.lent += sources.counts.lent;
            sum.own += sources.counts.own;
            sum["own-lent-out"] += sources.counts["own-lent-out"];
        }
    }
    return sum;
}

function countWorkerSources(
    account: string,
    { worker, rack, unbound, owners }: WorkerSummary,
): WorkerSources {
    const counts = { unbound, lent: 0, own: 0, "own-lent-out": 0 };
    for (const { owner, free, lentOut } of owners) {
        if (owner === account) {
            counts.own += free;
            counts["own-lent-out"] += lentOut;
        } else {
            counts.lent += free;
        }
    }
    return { worker, rack, counts };
}

/** Number of accelerators that the sources of a stage offer together. */
export function countOfStage(counts: SourceCounts, stage: Stage): number {
    let count = 0;
    for (const source of stage) {
        count += counts[source];
    }
    return count;
}

/**
 * Indexes of a worker's accelerators of one source, in ascending order. `binding`, a position in `bindings`, restricts
 * them to that binding.
 */
export function indexesOfSource(
    account: string,
    sources: WorkerSources,
    source: Source,
    index: PlacementIndex,
    binding?: number,
): number[] {
    const { bound } = index.racks[sources.rack]!;
    const indexes: number[] = [];
    for (const position of sources.worker.accelerators.keys()) {
        const isInBinding = binding === undefined || bound[sources.worker.slot]?.[position] === binding;
        if (isInBinding && sourceOf(account, sources.worker, position, bound, index) === source) {
            indexes.push(position);
        }
    }
    return indexes;
}

function sourceOf(
    account: string,
    worker: WorkerView,
    position: number,
    bound: (number | undefined)[][],
    index: PlacementIndex,
): Source | undefined {
    const state = worker.accelerators[position]!;
    const binding = bound[worker.slot]?.[position];
    const owner = binding === undefined ? undefined : index.bindings[binding]!.clientAccount;
    if (state.kind === "free") {
        return owner === undefined ? "unbound" : owner === account ? "own" : "lent";
    }
    const isBorrowed = state.clientAccount !== account && (state.kind === "held" || state.reclaimable);
    return owner === account && isBorrowed ? "own-lent-out" : undefined;
}
