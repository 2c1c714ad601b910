import { addResources, type Resources } from "../job/jobTypes.ts";
import type { AvailableCapacity } from "./placementSearch.ts";
import type { PlacedGroup } from "./scheduleTypes.ts";

/** Capacity that groups free when they end, by worker. */
export type FreedCapacity = Map<string, Resources>;

/** What the groups occupy. */
export function capacityOf(groups: PlacedGroup[]): FreedCapacity {
    const freed: FreedCapacity = new Map();
    for (const { workers, group } of groups) {
        for (const worker of workers) {
            const before = freed.get(worker);
            const { resources } = group.step;
            freed.set(worker, before ? addResources(before, resources) : resources);
        }
    }
    return freed;
}

/** What is available once the freed capacity is added. */
export function addFreedCapacity(available: AvailableCapacity, freed: FreedCapacity): AvailableCapacity {
    return worker => {
        const extra = freed.get(worker.name);
        return extra ? addResources(available(worker), extra) : available(worker);
    };
}
