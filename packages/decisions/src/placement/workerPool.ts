import type { FleetSummary, WorkerSummary } from "./fleetSummary.ts";
import type { PlacementIndex } from "./placementIndex.ts";
import type { Source, Stage, WorkerView } from "./placementTypes.ts";

/** A usable worker with the number of accelerators of each source. */
export interface WorkerPool {
    worker: WorkerView;
    rack: number;
    counts: SourceCounts;
}

/** Number of accelerators by source. */
export type SourceCounts = Record<Source, number>;

/** The fleet as one client account may use it. */
export interface FleetPool {
    /** Usable workers by rack and slot. */
    racks: (WorkerPool | undefined)[][];
    /** Sums by rack. */
    rackCounts: SourceCounts[];
    /** Accelerators that the client account uses or holds anywhere. */
    inUse: number;
}

/** Sorts the accelerators of the fleet by source for one client account. */
export function poolWorkers(account: string, { racks, inUse }: FleetSummary): FleetPool {
    const pools = racks.map(slots => slots.map(summary => summary && poolOf(account, summary)));
    return { racks: pools, rackCounts: pools.map(sumCounts), inUse: inUse.get(account) ?? 0 };
}

function sumCounts(pools: (WorkerPool | undefined)[]): SourceCounts {
    const sum = { unbound: 0, lent: 0, own: 0, "own-lent-out": 0 };
    for (const pool of pools) {
        if (pool) {
            sum.unbound += pool.counts.unbound;
            sum.lent += pool.counts.lent;
            sum.own += pool.counts.own;
            sum["own-lent-out"] += pool.counts["own-lent-out"];
        }
    }
    return sum;
}

function poolOf(account: string, { worker, rack, unbound, owners }: WorkerSummary): WorkerPool {
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

/** Number of accelerators that a stage may use. */
export function countOf(counts: SourceCounts, stage: Stage): number {
    let count = 0;
    for (const source of stage) {
        count += counts[source];
    }
    return count;
}

/** Indexes of a worker's accelerators of one source, ascending; `binding` restricts them to one binding. */
export function indexesOf(
    account: string,
    pool: WorkerPool,
    source: Source,
    index: PlacementIndex,
    binding?: number,
): number[] {
    const { bound } = index.racks[pool.rack]!;
    const indexes: number[] = [];
    for (const position of pool.worker.accelerators.keys()) {
        const isInBinding = binding === undefined || bound[pool.worker.slot]?.[position] === binding;
        if (isInBinding && sourceOf(account, pool.worker, position, bound, index) === source) {
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
