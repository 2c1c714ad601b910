import type { FleetTable, ResourceColumns } from "./fleetTable.ts";
import { estimateOf } from "./jobValue.ts";
import { findPlaces, type PlaceRequest } from "./placementSearch.ts";
import {
    batchesByEnd,
    createEndForecast,
    findPlannedPlace,
    type EndBatch,
    type EndForecast,
    type PlannedPlace,
} from "./plannedPlace.ts";
import type { PlacedGroup, TaskPlace, WaitingGroup } from "./scheduleTypes.ts";
import { findVictims, rankByPreemptionCost, type PreemptionPlan, type RankedGroup } from "./victimSearch.ts";

/**
 * The searches of one scheduling round. Under high load most groups of a shape find no room, so each search reuses what
 * earlier ones of the round have found for the same shape.
 */
export interface RoundSearches {
    /** Finds places near the group's data within `room`, which must not grow while the reservations are the same. */
    findNear(request: PlaceRequest, room: ResourceColumns): TaskPlace[] | undefined;
    /** Forecasts the room for tasks like those of the request. */
    forecast(request: PlaceRequest): EndForecast;
    /** Finds the places of a group after the given number of batches of expected ends. */
    findPlanned(request: PlaceRequest, batches: number): PlannedPlace | undefined;
    /** Plans a preemption for the group: guaranteed ones may preempt all others, the rest those of a lower priority. */
    planVictims(request: PlaceRequest, costLimit: number): PreemptionPlan | undefined;
    /** To be called when a decision has taken capacity. */
    capacityTaken(): void;
    /** To be called when groups are preempted. */
    preempted(groups: PlacedGroup[]): void;
    /** To be called when capacity is reserved; a reservation may replace an earlier one, which frees capacity. */
    reserved(): void;
}

/** Creates the searches of a round on the fleet, with the groups that are placed at its start. */
export function createRoundSearches(
    fleet: FleetTable,
    { placed, nowMs }: { placed: PlacedGroup[]; nowMs: number },
): RoundSearches {
    const victims = new Set<PlacedGroup>();
    /** The smallest group of each shape that found no near place; larger ones of the shape find none either. */
    const blockedShapes = new Map<string, { count: number; durationMs: number }>();
    const forecasts = new Map<string, EndForecast>();
    /** Searches for victims that found none, by shape and kind of the group. */
    const vainSearches = new Map<string, { count: number; costLimit: number }>();
    /** What groups of each kind may preempt, in the order of the cost. */
    const preemptible = new Map<string, RankedGroup[]>();
    let endBatches: EndBatch[] | undefined;
    let ranked: RankedGroup[] | undefined;

    function batchesOfRound(): EndBatch[] {
        endBatches ??= batchesByEnd(fleet, placed);
        return endBatches;
    }

    function preemptibleFor(waiting: WaitingGroup, kind: string): RankedGroup[] {
        const known = preemptible.get(kind);
        if (known) {
            return known;
        }
        ranked ??= rankByPreemptionCost(fleet, placed, nowMs);
        const groups = ranked.filter(
            ({ group }) =>
                !group.isClosing &&
                !group.isGuaranteed &&
                !victims.has(group) &&
                (waiting.isGuaranteed || group.priority > waiting.priority),
        );
        preemptible.set(kind, groups);
        return groups;
    }

    return {
        findNear(request, room) {
            const { waiting, count } = request;
            const durationMs = estimateOf(waiting.group.step);
            const key = shapeKey(waiting);
            const blocked = key === undefined ? undefined : blockedShapes.get(key);
            if (blocked && count >= blocked.count && durationMs >= blocked.durationMs) {
                return undefined;
            }
            const places = findPlaces(fleet, request, room);
            const isSmaller = !blocked || (count <= blocked.count && durationMs <= blocked.durationMs);
            if (!places && key !== undefined && isSmaller) {
                blockedShapes.set(key, { count, durationMs });
            }
            return places;
        },
        forecast(request) {
            const key = shapeKey(request.waiting);
            const known = key === undefined ? undefined : forecasts.get(key);
            const forecast = known ?? createEndForecast(fleet, request, batchesOfRound());
            if (key !== undefined) {
                forecasts.set(key, forecast);
            }
            return forecast;
        },
        findPlanned: (request, batches) =>
            findPlannedPlace(fleet, request, batchesOfRound().slice(0, batches)),
        planVictims(request, costLimit) {
            const { waiting, scope, count } = request;
            const kind = waiting.isGuaranteed ? "guaranteed" : String(waiting.priority);
            const shape = shapeKey(waiting);
            const key = shape === undefined ? undefined : `${kind} ${scope} ${shape}`;
            const vain = key === undefined ? undefined : vainSearches.get(key);
            if (vain && count >= vain.count && costLimit <= vain.costLimit) {
                return undefined;
            }
            const plan = findVictims(fleet, { request, ranked: preemptibleFor(waiting, kind), costLimit });
            const isWider = !vain || (count <= vain.count && costLimit >= vain.costLimit);
            if (!plan && key !== undefined && isWider) {
                vainSearches.set(key, { count, costLimit });
            }
            return plan;
        },
        capacityTaken() {
            forecasts.clear();
            vainSearches.clear();
        },
        preempted(groups) {
            preemptible.clear();
            for (const group of groups) {
                victims.add(group);
            }
        },
        reserved: () => blockedShapes.clear(),
    };
}

/**
 * Key of all that decides where a group's tasks fit, except for their number and duration; undefined if it depends on
 * the group's history or on the other tasks of its job, too.
 */
function shapeKey({ job, group, failedOn, takesAnyRoom }: WaitingGroup): string | undefined {
    const { resources, requiredLabel, dataRack, sameRack, maxPerWorker, longRunning } = group.step;
    if (failedOn.size > 0 || maxPerWorker !== undefined) {
        return undefined;
    }
    const { cpuMillis, memoryMb, gpus } = resources;
    const places = [job.service, requiredLabel, dataRack, sameRack, longRunning, takesAnyRoom];
    return JSON.stringify([...places, cpuMillis, memoryMb, gpus]);
}
