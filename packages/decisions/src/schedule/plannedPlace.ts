import { addResources, type Resources } from "../job/jobTypes.ts";
import type { AvailableCapacity } from "./placementSearch.ts";
import type { PlacedGroup, TaskPlace, WaitingGroup, WorkerView } from "./scheduleTypes.ts";

/** A search for places within some capacity. */
export type PlaceSearch = (
    waiting: WaitingGroup,
    workers: WorkerView[],
    available: AvailableCapacity,
) => TaskPlace[] | undefined;

/** Where and when a group is expected to fit. */
export interface PlannedPlace {
    places: TaskPlace[];
    /** Expected time until the places are free, in milliseconds. */
    afterMs: number;
    /** What running groups are expected to free until then, by worker. */
    freed: Map<string, Resources>;
}

/** Ends within this time of each other are looked at together. */
const SAME_END_MS = 200;

/** Finds the earliest time at which a group fits, if running groups end as expected. */
export function findPlannedPlace(
    waiting: WaitingGroup,
    workers: WorkerView[],
    placed: PlacedGroup[],
    available: AvailableCapacity,
    search: PlaceSearch,
): PlannedPlace | undefined {
    const freed = new Map<string, Resources>();
    const later: AvailableCapacity = worker => {
        const extra = freed.get(worker.name);
        return extra ? addResources(available(worker), extra) : available(worker);
    };
    const ending = [...placed].sort((left, right) => left.remainingMs - right.remainingMs);
    for (const [position, group] of ending.entries()) {
        releaseGroup(freed, group);
        const next = ending[position + 1];
        if (next && next.remainingMs - group.remainingMs < SAME_END_MS) {
            continue;
        }
        const places = search(waiting, workers, later);
        if (places) {
            return { places, afterMs: group.remainingMs, freed };
        }
    }
    return undefined;
}

/** Adds what a group occupies to the freed capacity. */
export function releaseGroup(freed: Map<string, Resources>, group: PlacedGroup): void {
    for (const worker of group.workers) {
        const before = freed.get(worker);
        const { resources } = group.group.step;
        freed.set(worker, before ? addResources(before, resources) : resources);
    }
}
