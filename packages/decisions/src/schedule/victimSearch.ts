import {
    addAt,
    countFittingAt,
    positionsOf,
    schedulableWorkers,
    subtractAt,
    type FleetTable,
    type ResourceColumns,
} from "./fleetTable.ts";
import { valueAt } from "./jobValue.ts";
import { createGrowingRoom, findPlaces, type PlaceRequest } from "./placementSearch.ts";
import type { PlacedGroup, TaskPlace } from "./scheduleTypes.ts";

/** Places for a group, the groups to preempt for it, and the cost of the preemption. */
export interface PreemptionPlan {
    places: TaskPlace[];
    victims: PlacedGroup[];
    /** Total preemption cost of the victims. */
    cost: number;
}

/** A placed group with what its preemption costs. */
export interface RankedGroup {
    group: PlacedGroup;
    /** Positions of its workers in the fleet, one for each task. */
    positions: number[];
    cost: number;
    costPerGpu: number;
}

/** Inputs of a search for victims. */
export interface VictimSearchOptions {
    request: PlaceRequest;
    /** The groups that may be preempted, in the order in which they are considered. */
    ranked: RankedGroup[];
    /** Groups whose preemption costs more than this are not considered; the caller discards plans of a higher cost. */
    costLimit: number;
}

/** Cost of a core-second of lost work. */
const COST_PER_CORE_SECOND = 0.0025;

/** Fixed cost of a stop and a restart, which keeps the same groups from being preempted again and again. */
export const FIXED_PREEMPTION_COST = 0.05;
/** Expected time until a preempted group is placed again; groups are preempted only when there is no room. */
const EXPECTED_RESTART_DELAY_MS = 10_000;

/** Cost of stopping a group now and running it again later: fixed cost, lost work and lost value. */
export function preemptionCost(group: PlacedGroup, nowMs: number): number {
    const keptValue = valueAt(group.value, nowMs + group.remainingMs);
    const delayedValue = valueAt(
        group.value,
        nowMs + group.remainingMs + group.lostMs + EXPECTED_RESTART_DELAY_MS,
    );
    return FIXED_PREEMPTION_COST + group.lostCoreSeconds * COST_PER_CORE_SECOND + (keptValue - delayedValue);
}

/** Ranks the placed groups by the cost of their preemption for each accelerator that it frees, lowest first. */
export function rankByPreemptionCost(fleet: FleetTable, placed: PlacedGroup[], nowMs: number): RankedGroup[] {
    const ranked: RankedGroup[] = [];
    for (const group of placed) {
        const cost = preemptionCost(group, nowMs);
        const positions = positionsOf(fleet, group.workers);
        ranked.push({ group, positions, cost, costPerGpu: cost / Math.max(1, groupGpus(group)) });
    }
    return ranked.sort((left, right) => left.costPerGpu - right.costPerGpu);
}

/**
 * Finds places for a group by preempting others, those with the lowest cost per GPU first. The search uses the
 * capacity that is free once all closing runs have ended, and the capacity that the victims would free.
 */
export function findVictims(fleet: FleetTable, options: VictimSearchOptions): PreemptionPlan | undefined {
    const { request, ranked, costLimit } = options;
    const isUsable = usableWorkers(fleet, request);
    const growing = createGrowingRoom(fleet, request, fleet.freeAfterClosing);
    const chosen: RankedGroup[] = [];
    for (const candidate of ranked) {
        const { group, positions, cost } = candidate;
        if (cost > costLimit || !positions.some(position => isUsable[position] === 1)) {
            continue;
        }
        chosen.push(candidate);
        for (const position of positions) {
            growing.add(position, group.group.step.resources);
        }
        const places =
            growing.slots() >= request.count ? findPlaces(fleet, request, growing.room) : undefined;
        if (places) {
            const victims = dropUnneededVictims(fleet, request, { chosen, places, room: growing.room });
            let total = 0;
            for (const victim of victims) {
                total += victim.cost;
            }
            return { places, victims: victims.map(victim => victim.group), cost: total };
        }
    }
    return undefined;
}

function groupGpus(placedGroup: PlacedGroup): number {
    return placedGroup.workers.length * Math.max(1, placedGroup.group.step.resources.gpus);
}

/** Marks the job's schedulable workers whose total capacity, free or not, is enough for a task of the group. */
function usableWorkers(fleet: FleetTable, { waiting, needed }: PlaceRequest): Uint8Array {
    const isUsable = new Uint8Array(fleet.workers.length);
    const filter = { includesQuarantined: waiting.group.step.longRunning };
    for (const position of schedulableWorkers(fleet, waiting.job.service, filter)) {
        isUsable[position] = countFittingAt(fleet.capacity, position, needed, 1);
    }
    return isUsable;
}

/** Drops victims without which the places still fit, trying those with the highest cost per GPU first. */
function dropUnneededVictims(
    fleet: FleetTable,
    { needed }: PlaceRequest,
    { chosen, places, room }: { chosen: RankedGroup[]; places: TaskPlace[]; room: ResourceColumns },
): RankedGroup[] {
    const tasksAt = new Int32Array(fleet.workers.length);
    for (const { worker } of places) {
        tasksAt[fleet.positions.get(worker)!]! += 1;
    }
    const kept: RankedGroup[] = [];
    for (const candidate of [...chosen].reverse()) {
        const { resources } = candidate.group.group.step;
        for (const position of candidate.positions) {
            subtractAt(room, position, resources);
        }
        const isNeeded = candidate.positions.some(position => {
            const tasks = tasksAt[position]!;
            return countFittingAt(room, position, needed, tasks) < tasks;
        });
        if (isNeeded) {
            kept.push(candidate);
            for (const position of candidate.positions) {
                addAt(room, position, resources);
            }
        }
    }
    return kept.reverse();
}
