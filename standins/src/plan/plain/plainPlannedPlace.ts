import { SAME_END_MS } from "@tanagerdeck/decisions/schedule/plannedPlace";
import { capacityOf, addFreedCapacity, type FreedCapacity } from "./freedCapacity.ts";
import type { AvailableCapacity, PlaceSearch } from "./plainPlacementSearch.ts";
import type {
    PlacedGroup,
    TaskPlace,
    WaitingGroup,
    WorkerView,
} from "@tanagerdeck/decisions/schedule/scheduleTypes";
import { shortestPrefix } from "./shortestPrefix.ts";

/** Workers on which a waiting group is expected to fit, and when. */
export interface PlannedPlace {
    places: TaskPlace[];
    /** Expected time until the places are free, in milliseconds. */
    afterMs: number;
    /** What running groups are expected to free until then, by worker. */
    freed: FreedCapacity;
}

/** Finds the earliest time at which a group fits, if running groups end as expected. */
export function findPlannedPlace(
    waiting: WaitingGroup,
    workers: WorkerView[],
    placed: PlacedGroup[],
    available: AvailableCapacity,
    search: PlaceSearch,
): PlannedPlace | undefined {
    const ending = placed.filter(({ group, isClosing }) => isClosing || !group.step.longRunning);
    ending.sort((left, right) => left.remainingMs - right.remainingMs);
    const batches = countsByEnd(ending);
    const earliest = shortestPrefix(batches.length, length => {
        const freed = capacityOf(ending.slice(0, batches[length - 1]));
        const places = search(waiting, workers, addFreedCapacity(available, freed));
        return places && { places, freed };
    });
    if (!earliest) {
        return undefined;
    }
    const lastEnding = ending[batches[earliest.length - 1]! - 1]!;
    return { ...earliest.found, afterMs: lastEnding.remainingMs };
}

/** Cumulative number of ended groups after each batch of ends that are close together. */
function countsByEnd(ending: PlacedGroup[]): number[] {
    const counts: number[] = [];
    for (const [position, group] of ending.entries()) {
        const next = ending[position + 1];
        if (!next || next.remainingMs - group.remainingMs >= SAME_END_MS) {
            counts.push(position + 1);
        }
    }
    return counts;
}
