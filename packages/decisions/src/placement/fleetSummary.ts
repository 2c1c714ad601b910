import type { PlacementIndex } from "./placementIndex.ts";
import type { WorkerView } from "./placementTypes.ts";

/** Accelerators of one worker that are bound to one client account. */
export interface OwnerCount {
    owner: string;
    free: number;
    /** Borrowed by others and reclaimable. */
    lentOut: number;
}

/** A usable worker with its counts, which do not depend on the client account that asks. */
export interface WorkerSummary {
    worker: WorkerView;
    rack: number;
    unbound: number;
    owners: OwnerCount[];
}

/** Counts of the whole fleet. A plain value; it lets a series of placements read each accelerator only once. */
export interface FleetSummary {
    /** Usable workers by rack and slot. */
    racks: (WorkerSummary | undefined)[][];
    /** Accelerators that a client account uses or holds, by client account. */
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

/** The summary with some usable workers in a new state. */
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

/** The summary without some agents' workers; what their client accounts use still counts. */
export function withoutAgents({ racks, inUse }: FleetSummary, agents: Set<string>): FleetSummary {
    const without = racks.map(slots =>
        slots.map(summary => (summary && agents.has(summary.worker.agent) ? undefined : summary)),
    );
    return { racks: without, inUse };
}

/** A usable worker by position. */
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
