import { countFitting } from "../job/jobTypes.ts";
import { valueAt } from "./jobValue.ts";
import type { AvailableCapacity, PlaceSearch } from "./placementSearch.ts";
import { capacityOf, addFreedCapacity } from "./freedCapacity.ts";
import { shortestPrefix } from "./shortestPrefix.ts";
import type { PlacedGroup, TaskPlace, WaitingGroup, WorkerView } from "./scheduleTypes.ts";

/** Places for a group, the groups to preempt for it, and the cost of the preemption. */
export interface PreemptionPlan {
    places: TaskPlace[];
    victims: PlacedGroup[];
    /** Total preemption cost of the victims. */
    cost: number;
}

/** Inputs of a search for victims. */
export interface VictimSearchOptions {
    waiting: WaitingGroup;
    workers: WorkerView[];
    /** Groups that may be preempted. */
    candidates: PlacedGroup[];
    available: AvailableCapacity;
    search: PlaceSearch;
    nowMs: number;
    /** Groups whose preemption alone costs more are not considered; the caller discards plans that cost more. */
    costLimit: number;
}

/** Cost of a core-second of lost work. */
const COST_PER_CORE_SECOND = 0.0025;

/** Fixed cost of a stop and a restart, which keeps the same groups from being preempted again and again. */
export const MIN_PREEMPTION_COST = 0.05;
/** Expected time until a preempted group is placed again. */
const RESTART_MS = 3_000;

/** Cost of stopping a group now and running it again later: fixed cost, lost work and lost value. */
export function preemptionCost(group: PlacedGroup, nowMs: number): number {
    const inTime = valueAt(group.value, nowMs + group.remainingMs);
    const delayed = valueAt(group.value, nowMs + group.remainingMs + group.lostMs + RESTART_MS);
    return MIN_PREEMPTION_COST + group.lostCoreSeconds * COST_PER_CORE_SECOND + (inTime - delayed);
}

/**
 * Finds places for a group by preempting others, the cheapest for their size first. The search uses the available
 * capacity and what the victims would free.
 */
export function findVictims(options: VictimSearchOptions): PreemptionPlan | undefined {
    const { waiting, workers, available, search, nowMs, costLimit } = options;
    const usable = usableWorkers(waiting, workers);
    const byCost: { group: PlacedGroup; cost: number }[] = [];
    for (const group of options.candidates) {
        const cost = preemptionCost(group, nowMs);
        if (cost <= costLimit && group.workers.some(worker => usable.has(worker))) {
            byCost.push({ group, cost: cost / Math.max(1, groupSize(group)) });
        }
    }
    byCost.sort((left, right) => left.cost - right.cost);
    const cheapest = byCost.map(({ group }) => group);
    const shortest = shortestPrefix(cheapest.length, length => {
        const freed = capacityOf(cheapest.slice(0, length));
        return search(waiting, workers, addFreedCapacity(available, freed));
    });
    if (!shortest) {
        return undefined;
    }
    const places = shortest.found;
    const victims = dropUnneededVictims(cheapest.slice(0, shortest.length), places, options);
    let cost = 0;
    for (const victim of victims) {
        cost += preemptionCost(victim, nowMs);
    }
    return { places, victims, cost };
}

function groupSize(group: PlacedGroup): number {
    return group.workers.length * Math.max(1, group.group.step.resources.gpus);
}

/** Names of the schedulable workers whose total capacity fits at least one task of the group. */
function usableWorkers({ job, group }: WaitingGroup, workers: WorkerView[]): Set<string> {
    const names = new Set<string>();
    for (const worker of workers) {
        const isCandidate = worker.isSchedulable && worker.service === job.service;
        if (isCandidate && countFitting(worker.capacity, group.step.resources) > 0) {
            names.add(worker.name);
        }
    }
    return names;
}

/** Drops victims that the places do not need, the most expensive first. */
function dropUnneededVictims(
    chosen: PlacedGroup[],
    places: TaskPlace[],
    options: VictimSearchOptions,
): PlacedGroup[] {
    let needed = chosen;
    for (const candidate of [...chosen].reverse()) {
        const rest = needed.filter(victim => victim !== candidate);
        if (placesFit(places, rest, options)) {
            needed = rest;
        }
    }
    return needed;
}

function placesFit(places: TaskPlace[], victims: PlacedGroup[], options: VictimSearchOptions): boolean {
    const { workers, waiting, available } = options;
    const afterwards = addFreedCapacity(available, capacityOf(victims));
    const counts = new Map<string, number>();
    for (const { worker } of places) {
        counts.set(worker, (counts.get(worker) ?? 0) + 1);
    }
    for (const worker of workers) {
        const count = counts.get(worker.name) ?? 0;
        if (count > 0 && countFitting(afterwards(worker), waiting.group.step.resources) < count) {
            return false;
        }
    }
    return true;
}
