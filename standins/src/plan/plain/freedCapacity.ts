import { addResources, type Resources } from "@tanagerdeck/decisions/job/jobTypes";
import type { AvailableCapacity } from "./plainPlacementSearch.ts";
import type { PlacedGroup } from "@tanagerdeck/decisions/schedule/scheduleTypes";

/** Capacity that ending groups free, by worker name. */
export type FreedCapacity = Map<string, Resources>;

/** Capacity that the groups occupy, by worker name. */
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

/** Adds the freed capacity to the available capacity. */
export function addFreedCapacity(available: AvailableCapacity, freed: FreedCapacity): AvailableCapacity {
    return worker => {
        const extra = freed.get(worker.name);
        return extra ? addResources(available(worker), extra) : available(worker);
    };
}
