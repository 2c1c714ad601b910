import type { Demand, Placement, PlacementMember, WorkerView } from "./placementTypes.ts";

/** First-fit placement: takes free accelerators in the order of the workers, regardless of adjacency and bindings. */
export function firstFitPlacement(demand: Demand, workers: WorkerView[]): Placement | undefined {
    const members: PlacementMember[] = [];
    let missing = demand.shape.accelerators;
    for (const worker of workers) {
        if (!worker.usable) {
            continue;
        }
        const indexes = freeIndexes(worker).slice(0, missing);
        if (indexes.length === 0) {
            continue;
        }
        const { agent, address, rack, slot } = worker;
        members.push({ agent, address, rack, slot, indexes });
        missing -= indexes.length;
        if (missing === 0) {
            return { members, tenure: "borrowed", reclaims: false };
        }
    }
    return undefined;
}

/** Indexes of a worker's free accelerators, in ascending order. */
export function freeIndexes(worker: WorkerView): number[] {
    const indexes: number[] = [];
    for (const [index, state] of worker.accelerators.entries()) {
        if (state.kind === "free") {
            indexes.push(index);
        }
    }
    return indexes;
}
