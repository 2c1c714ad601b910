import type { Resources } from "../job/jobTypes.ts";
import { addAt, copyColumns, positionsOf, type FleetTable, type ResourceColumns } from "./fleetTable.ts";
import { createGrowingRoom, findPlaces, type PlaceRequest } from "./placementSearch.ts";
import type { PlacedGroup, TaskPlace } from "./scheduleTypes.ts";

/** Workers on which a waiting group is expected to fit, and when. */
export interface PlannedPlace {
    places: TaskPlace[];
    /** Expected time until the places are free, in milliseconds. */
    afterMs: number;
    /** Room of all workers at that time. */
    roomThen: ResourceColumns;
}

/** Running groups whose expected ends are close together. */
export interface EndBatch {
    /** Expected time until the last group of the batch ends, in milliseconds. */
    afterMs: number;
    groups: { resources: Resources; positions: number[] }[];
}

/** Expected ends less than this time apart are treated as one batch. */
export const SAME_END_MS = 200;

/** Groups the placed groups by their expected end, earliest first; long-running ones that stay have none. */
export function batchesByEnd(fleet: FleetTable, placed: PlacedGroup[]): EndBatch[] {
    const ending = placed.filter(({ group, isClosing }) => isClosing || !group.step.longRunning);
    ending.sort((left, right) => left.remainingMs - right.remainingMs);
    const batches: EndBatch[] = [];
    for (const { remainingMs, workers, group } of ending) {
        const ends = { resources: group.step.resources, positions: positionsOf(fleet, workers) };
        const batch = batches.at(-1);
        if (batch && remainingMs - batch.afterMs < SAME_END_MS) {
            batch.groups.push(ends);
            batch.afterMs = remainingMs;
        } else {
            batches.push({ afterMs: remainingMs, groups: [ends] });
        }
    }
    return batches;
}

/** Number of tasks of one shape for which there is room after each batch of expected ends. */
export interface EndForecast {
    /** The earliest time at which `count` tasks fit, and the number of batches that have ended by then. */
    earliestFor(count: number): { afterMs: number; batches: number } | undefined;
}

/**
 * Forecasts the room for tasks like those of the request, from the capacity that is free now. The forecast holds for any
 * number of tasks until a decision takes capacity.
 */
export function createEndForecast(
    fleet: FleetTable,
    request: PlaceRequest,
    batches: EndBatch[],
): EndForecast {
    const growing = createGrowingRoom(fleet, request, fleet.free);
    const slotsAfter = new Float64Array(batches.length);
    for (const [number, batch] of batches.entries()) {
        addEnds(batch, growing.add);
        slotsAfter[number] = growing.slots();
    }
    return {
        earliestFor(count) {
            const number = slotsAfter.findIndex(slots => slots >= count);
            const batch = batches[number];
            return batch && { afterMs: batch.afterMs, batches: number + 1 };
        },
    };
}

/** Finds the places of a group and the room of all workers after the given number of batches of expected ends. */
export function findPlannedPlace(
    fleet: FleetTable,
    request: PlaceRequest,
    endedBatches: EndBatch[],
): PlannedPlace | undefined {
    const roomThen = copyColumns(fleet.free);
    for (const batch of endedBatches) {
        addEnds(batch, (position, amount) => addAt(roomThen, position, amount));
    }
    const places = findPlaces(fleet, request, roomThen);
    return places && { places, afterMs: endedBatches.at(-1)?.afterMs ?? 0, roomThen };
}

function addEnds({ groups }: EndBatch, add: (position: number, amount: Resources) => void): void {
    for (const { resources, positions } of groups) {
        for (const position of positions) {
            add(position, resources);
        }
    }
}
