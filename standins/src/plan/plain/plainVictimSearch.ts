import { countFitting } from "@tanagerdeck/decisions/job/jobTypes";
import { preemptionCost } from "@tanagerdeck/decisions/schedule/victimSearch";
import type { AvailableCapacity, PlaceSearch } from "./plainPlacementSearch.ts";
import { capacityOf, addFreedCapacity } from "./freedCapacity.ts";
import { shortestPrefix } from "./shortestPrefix.ts";
import type {
    PlacedGroup,
    TaskPlace,
    WaitingGroup,
    WorkerView,
} from "@tanagerdeck/decisions/schedule/scheduleTypes";

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
    /** Groups whose preemption costs more than this are not considered; the caller discards plans of a higher cost. */
    costLimit: number;
}

/**
 * Finds places for a group by preempting others, those with the lowest cost per GPU first. The search uses the
 * available capacity and the capacity that the victims would free.
 */
export function findVictims(options: VictimSearchOptions): PreemptionPlan | undefined {
    const { waiting, workers, available, search, nowMs, costLimit } = options;
    const eligibleWorkers = usableWorkers(waiting, workers);
    const ranked: { group: PlacedGroup; costPerGpu: number }[] = [];
    for (const group of options.candidates) {
        const cost = preemptionCost(group, nowMs);
        if (cost <= costLimit && group.workers.some(worker => eligibleWorkers.has(worker))) {
            ranked.push({ group, costPerGpu: cost / Math.max(1, groupGpus(group)) });
        }
    }
    ranked.sort((left, right) => left.costPerGpu - right.costPerGpu);
    const candidatesByCost = ranked.map(({ group }) => group);
    const shortestSufficient = shortestPrefix(candidatesByCost.length, length => {
        const freed = capacityOf(candidatesByCost.slice(0, length));
        return search(waiting, workers, addFreedCapacity(available, freed));
    });
    if (!shortestSufficient) {
        return undefined;
    }
    const places = shortestSufficient.found;
    const victims = dropUnneededVictims(
        candidatesByCost.slice(0, shortestSufficient.length),
        places,
        options,
    );
    let cost = 0;
    for (const victim of victims) {
        cost += preemptionCost(victim, nowMs);
    }
    return { places, victims, cost };
}

function groupGpus(placedGroup: PlacedGroup): number {
    return placedGroup.workers.length * Math.max(1, placedGroup.group.step.resources.gpus);
}

/** Names of the job's schedulable workers whose total capacity, free or not, is enough for a task of the group. */
function usableWorkers({ job, group }: WaitingGroup, workers: WorkerView[]): Set<string> {
    const names = new Set<string>();
    for (const worker of workers) {
        const isUsable = worker.isSchedulable && (group.step.longRunning || !worker.isQuarantined);
        const isEligible = isUsable && worker.service === job.service;
        if (isEligible && countFitting(worker.capacity, group.step.resources) > 0) {
            names.add(worker.name);
        }
    }
    return names;
}

/** Drops victims without which the places still fit, trying those with the highest cost per GPU first. */
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
    const capacityAfter = addFreedCapacity(available, capacityOf(victims));
    const counts = new Map<string, number>();
    for (const { worker } of places) {
        counts.set(worker, (counts.get(worker) ?? 0) + 1);
    }
    for (const worker of workers) {
        const count = counts.get(worker.name) ?? 0;
        if (count > 0 && countFitting(capacityAfter(worker), waiting.group.step.resources) < count) {
            return false;
        }
    }
    return true;
}
