import { timesFitting } from "../job/jobTypes.ts";
import { valueAt } from "./jobValue.ts";
import type { AvailableCapacity, PlaceSearch } from "./placementSearch.ts";
import { capacityOf, addFreedCapacity } from "./freedCapacity.ts";
import { shortestPrefix } from "./shortestPrefix.ts";
import type { PlacedGroup, TaskPlace, WaitingGroup, WorkerView } from "./scheduleTypes.ts";

/** A place for a group, the groups that have to give way and what that costs. */
export interface PreemptionPlan {
    places: TaskPlace[];
    victims: PlacedGroup[];
    /** Lost worth of the victims. */
    cost: number;
}

/** What a search for victims works on. */
export interface VictimSearchOptions {
    waiting: WaitingGroup;
    workers: WorkerView[];
    /** Groups that may give way. */
    candidates: PlacedGroup[];
    available: AvailableCapacity;
    search: PlaceSearch;
    nowMs: number;
    /** A plan that costs more is of no use; a group whose stop alone does is left out. */
    costLimit: number;
}

/** Worth of a core-second of work that is thrown away. */
const COST_PER_CORE_SECOND = 0.0025;

/** Least cost of a stop: worth of the stop and another start by themselves, against closing the same groups again and again. */
export const MIN_PREEMPTION_COST = 0.05;
/** Expected time until a stopped group finds another place. */
const RESTART_MS = 3_000;

/** What it costs to stop a group now and to run it again later. */
export function preemptionCost(group: PlacedGroup, nowMs: number): number {
    const inTime = valueAt(group.value, nowMs + group.remainingMs);
    const delayed = valueAt(group.value, nowMs + group.remainingMs + group.lostMs + RESTART_MS);
    return MIN_PREEMPTION_COST + group.lostCoreSeconds * COST_PER_CORE_SECOND + (inTime - delayed);
}

/**
 * Finds places for a group by closing others, the cheapest first. The capacity counted is what `available` gives
 * and what the victims would free.
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

/** Names of the workers that can take a task of the group if they are empty. */
function usableWorkers({ job, group }: WaitingGroup, workers: WorkerView[]): Set<string> {
    const names = new Set<string>();
    for (const worker of workers) {
        const isCandidate = worker.isSchedulable && worker.service === job.service;
        if (isCandidate && timesFitting(worker.capacity, group.step.resources) > 0) {
            names.add(worker.name);
        }
    }
    return names;
}

/** Spares the victims without which the places still fit, the most expensive ones first. */
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
        if (count > 0 && timesFitting(afterwards(worker), waiting.group.step.resources) < count) {
            return false;
        }
    }
    return true;
}
