import type { PlacementIndex } from "./placementIndex.ts";
import type { Source, Stage, WorkerView } from "./placementTypes.ts";

/** A usable worker with the number of accelerators of each source. */
export interface WorkerPool {
    worker: WorkerView;
    rack: number;
    counts: Record<Source, number>;
}

/** The fleet as one client account may use it. */
export interface FleetPool {
    /** Usable workers by rack and slot. */
    racks: (WorkerPool | undefined)[][];
    /** Accelerators that the client account uses or holds anywhere. */
    inUse: number;
}

/** Sorts every accelerator of the fleet by source. */
export function poolWorkers(account: string, workers: WorkerView[], index: PlacementIndex): FleetPool {
    const racks: (WorkerPool | undefined)[][] = index.racks.map(() => []);
    let inUse = 0;
    for (const worker of workers) {
        inUse += usedBy(account, worker);
        const rack = index.rackPositions.get(worker.rack);
        if (!worker.usable || rack === undefined) {
            continue;
        }
        const counts = { unbound: 0, lent: 0, own: 0, "own-lent-out": 0 };
        for (let position = 0; position < worker.accelerators.length; position++) {
            const source = sourceOf(account, worker, position, index.racks[rack]!.bound, index);
            if (source) {
                counts[source] += 1;
            }
        }
        racks[rack]![worker.slot] = { worker, rack, counts };
    }
    return { racks, inUse };
}

/** Number of accelerators of a worker that a stage may use. */
export function countOf(pool: WorkerPool | undefined, stage: Stage): number {
    let count = 0;
    if (pool) {
        for (const source of stage) {
            count += pool.counts[source];
        }
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

function usedBy(account: string, worker: WorkerView): number {
    let used = 0;
    for (const state of worker.accelerators) {
        if (state.kind !== "free" && state.clientAccount === account) {
            used += 1;
        }
    }
    return used;
}
