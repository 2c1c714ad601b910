import type { PlacementIndex } from "./placementIndex.ts";
import type { WorkerView } from "./placementTypes.ts";

/** Number of accelerators of one worker that are bound to one client account, by state. */
export interface OwnerCount {
    owner: string;
    free: number;
    /** Held by other accounts, or used by them and reclaimable. */
    lentOut: number;
}

/** A usable worker with accelerator counts that are the same for every client account that places a job. */
export interface WorkerSummary {
    worker: WorkerView;
    rack: number;
    unbound: number;
    owners: OwnerCount[];
}

/** Accelerator counts of the whole fleet. Lets a series of placements read each accelerator only once. Immutable. */
export interface FleetSummary {
    /** Usable workers by rack and slot. */
    racks: (WorkerSummary | undefined)[][];
    /** Number of used or held accelerators by client account. */
    inUse: Map<string, number>;
}

/** Counts the accelerators of all workers. */
export function summarizeFleet(workers: WorkerView[], index: PlacementIndex): FleetSummary {
    const summary: FleetSummary = { racks: index.racks.map(() => []), inUse: new Map() };
    for (const worker of workers) {
        addUse(summary.inUse, worker, 1);
        const rack = index.rackPositions.get(worker.rack);
        if (worker.usable && rack !== undefined) {
            summary.racks[rack]![worker.slot] = summarizeWorker(worker, rack, index);
        }
    }
    return summary;
}

/** A copy of the summary in which the given workers, which must be usable, replace their earlier states. */
export function replaceWorkers(
    { racks, inUse }: FleetSummary,
    workers: WorkerView[],
    index: PlacementIndex,
): FleetSummary {
    const replaced: FleetSummary = { racks: [...racks], inUse: new Map(inUse) };
    for (const worker of workers) {
        const rack = index.rackPositions.get(worker.rack)!;
        const before = replaced.racks[rack]![worker.slot]?.worker;
        if (before) {
            addUse(replaced.inUse, before, -1);
        }
        addUse(replaced.inUse, worker, 1);
        const slots = [...replaced.racks[rack]!];
        slots[worker.slot] = summarizeWorker(worker, rack, index);
        replaced.racks[rack] = slots;
    }
    return replaced;
}

/** A copy of the summary without the workers of the given agents; their accelerators still count as in use. */
export function withoutAgents({ racks, inUse }: FleetSummary, agents: Set<string>): FleetSummary {
    const without = racks.map(slots =>
        slots.map(summary => (summary && agents.has(summary.worker.agent) ? undefined : summary)),
    );
    return { racks: without, inUse };
}

/** The usable worker in a slot of a rack. */
export function workerAt(
    { racks }: FleetSummary,
    index: PlacementIndex,
    rack: string,
    slot: number,
): WorkerView | undefined {
    return racks[index.rackPositions.get(rack) ?? -1]?.[slot]?.worker;
}

/** All usable workers. */
export function usableWorkers({ racks }: FleetSummary): WorkerView[] {
    const workers: WorkerView[] = [];
    for (const slots of racks) {
        for (const summary of slots) {
            if (summary) {
                workers.push(summary.worker);
            }
        }
    }
    return workers;
}

function summarizeWorker(worker: WorkerView, rack: number, index: PlacementIndex): WorkerSummary {
    const summary: WorkerSummary = { worker, rack, unbound: 0, owners: [] };
    const bound = index.racks[rack]!.bound[worker.slot];
    for (let position = 0; position < worker.accelerators.length; position++) {
        const state = worker.accelerators[position]!;
        const binding = bound?.[position];
        if (binding === undefined) {
            summary.unbound += state.kind === "free" ? 1 : 0;
            continue;
        }
        const count = findOrAddOwner(summary.owners, index.bindings[binding]!.clientAccount);
        if (state.kind === "free") {
            count.free += 1;
        } else if (state.clientAccount !== count.owner && (state.kind === "held" || state.reclaimable)) {
            count.lentOut += 1;
        }
    }
    return summary;
}

function findOrAddOwner(owners: OwnerCount[], owner: string): OwnerCount {
    let count = owners.find(candidate => candidate.owner === owner);
    if (!count) {
        count = { owner, free: 0, lentOut: 0 };
        owners.push(count);
    }
    return count;
}

function addUse(inUse: Map<string, number>, { accelerators }: WorkerView, sign: 1 | -1): void {
    for (const state of accelerators) {
        if (state.kind !== "free") {
            inUse.set(state.clientAccount, (inUse.get(state.clientAccount) ?? 0) + sign);
        }
    }
}
