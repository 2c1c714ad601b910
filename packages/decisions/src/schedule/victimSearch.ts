import { addResources, timesFitting, type Resources } from "../job/jobTypes.ts";
import { findPlaces, type AvailableCapacity } from "./placementSearch.ts";
import type { PlacedGroup, TaskPlace, WaitingGroup, WorkerView } from "./scheduleTypes.ts";

/** A place for a group and the groups that have to give way. */
export interface VictimPlan {
    places: TaskPlace[];
    victims: PlacedGroup[];
}

/** The order in which groups give way: the least urgent first, then the least loss. */
export function compareVictims(left: PlacedGroup, right: PlacedGroup): number {
    return right.priority - left.priority || left.lossMs - right.lossMs;
}

/**
 * Finds places for a guaranteed group by closing groups that no guarantee covers. The capacity counted is what is
 * free, what is being closed and what the victims would free.
 */
export function findVictims(
    waiting: WaitingGroup,
    workers: WorkerView[],
    placed: PlacedGroup[],
    available: AvailableCapacity,
): VictimPlan | undefined {
    const preemptible = placed.filter(group => !group.isClosing && !group.isGuaranteed).sort(compareVictims);
    const chosen: PlacedGroup[] = [];
    const freed = new Map<string, Resources>();
    const withFreed: AvailableCapacity = worker => {
        const extra = freed.get(worker.name);
        return extra ? addResources(available(worker), extra) : available(worker);
    };
    const useful = preemptible.filter(group => group.group.step.resources.gpus >= 0);
    for (const victim of useful) {
        if (!helps(victim, waiting, workers)) {
            continue;
        }
        chosen.push(victim);
        addFreed(freed, victim);
        const plan = findPlaces(waiting, workers, withFreed);
        if (plan) {
            return {
                places: plan.places,
                victims: neededVictims(chosen, plan.places, workers, waiting, available),
            };
        }
    }
    return undefined;
}

/** Whether a victim occupies a worker that could take a task of the group. */
function helps(victim: PlacedGroup, waiting: WaitingGroup, workers: WorkerView[]): boolean {
    const names = new Set(victim.workers);
    for (const worker of workers) {
        if (!names.has(worker.name) || !worker.isOpen || worker.service !== waiting.job.service) {
            continue;
        }
        if (timesFitting(worker.capacity, waiting.group.step.resources) > 0) {
            return true;
        }
    }
    return false;
}

function addFreed(freed: Map<string, Resources>, victim: PlacedGroup): void {
    for (const worker of victim.workers) {
        const before = freed.get(worker);
        const { resources } = victim.group.step;
        freed.set(worker, before ? addResources(before, resources) : resources);
    }
}

/** Drops victims without which the places still fit, the most valuable ones first. */
function neededVictims(
    chosen: PlacedGroup[],
    places: TaskPlace[],
    workers: WorkerView[],
    waiting: WaitingGroup,
    available: AvailableCapacity,
): PlacedGroup[] {
    let needed = chosen;
    for (const candidate of [...chosen].reverse()) {
        const rest = needed.filter(victim => victim !== candidate);
        const freed = new Map<string, Resources>();
        for (const victim of rest) {
            addFreed(freed, victim);
        }
        if (fits(places, workers, waiting, freed, available)) {
            needed = rest;
        }
    }
    return needed;
}

function fits(
    places: TaskPlace[],
    workers: WorkerView[],
    waiting: WaitingGroup,
    freed: Map<string, Resources>,
    available: AvailableCapacity,
): boolean {
    const counts = new Map<string, number>();
    for (const { worker } of places) {
        counts.set(worker, (counts.get(worker) ?? 0) + 1);
    }
    for (const worker of workers) {
        const count = counts.get(worker.name) ?? 0;
        const extra = freed.get(worker.name);
        const free = extra ? addResources(available(worker), extra) : available(worker);
        if (count > 0 && timesFitting(free, waiting.group.step.resources) < count) {
            return false;
        }
    }
    return true;
}
