import { addResources, timesFitting, type Resources } from "../job/jobTypes.ts";
import { worthAt } from "./jobValue.ts";
import type { AvailableCapacity } from "./placementSearch.ts";
import { releaseGroup, type PlaceSearch } from "./plannedPlace.ts";
import type { PlacedGroup, TaskPlace, WaitingGroup, WorkerView } from "./scheduleTypes.ts";

/** A place for a group, the groups that have to give way and what that costs. */
export interface VictimPlan {
    places: TaskPlace[];
    victims: PlacedGroup[];
    /** Lost worth of the victims. */
    cost: number;
}

/** What a search for victims works on. */
export interface VictimOptions {
    waiting: WaitingGroup;
    workers: WorkerView[];
    /** Groups that may give way. */
    candidates: PlacedGroup[];
    available: AvailableCapacity;
    search: PlaceSearch;
    nowMs: number;
}

/** Worth of a core-second of work that is thrown away. */
const WORTH_PER_CORE_SECOND = 0.0025;

/** Worth of a stop and another start by themselves, against closing the same groups again and again. */
const STOP_WORTH = 0.05;
/** Expected time until a stopped group finds another place. */
const RESTART_MS = 3_000;

/** What it costs to stop a group now and to run it again later. */
export function costOfStop(group: PlacedGroup, nowMs: number): number {
    const inTime = worthAt(group.value, nowMs + group.remainingMs);
    const delayed = worthAt(group.value, nowMs + group.remainingMs + group.lostMs + RESTART_MS);
    return STOP_WORTH + group.lostCoreSeconds * WORTH_PER_CORE_SECOND + (inTime - delayed);
}

/**
 * Finds places for a group by closing others, the cheapest first. The capacity counted is what `available` gives
 * and what the victims would free.
 */
export function findVictims(options: VictimOptions): VictimPlan | undefined {
    const { waiting, workers, available, search, nowMs } = options;
    const useful = options.candidates.filter(group => helps(group, waiting, workers));
    const byCost = useful.map(group => ({
        group,
        cost: costOfStop(group, nowMs) / Math.max(1, sizeOf(group)),
    }));
    byCost.sort((left, right) => left.cost - right.cost);
    const chosen: PlacedGroup[] = [];
    const freed = new Map<string, Resources>();
    const withFreed: AvailableCapacity = worker => {
        const extra = freed.get(worker.name);
        return extra ? addResources(available(worker), extra) : available(worker);
    };
    for (const { group } of byCost) {
        chosen.push(group);
        releaseGroup(freed, group);
        const places = search(waiting, workers, withFreed);
        if (places) {
            const victims = dropSpared(chosen, places, options);
            let cost = 0;
            for (const victim of victims) {
                cost += costOfStop(victim, nowMs);
            }
            return { places, victims, cost };
        }
    }
    return undefined;
}

function sizeOf(group: PlacedGroup): number {
    return group.workers.length * Math.max(1, group.group.step.resources.gpus);
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

/** Spares the victims without which the places still fit, the most expensive ones first. */
function dropSpared(chosen: PlacedGroup[], places: TaskPlace[], options: VictimOptions): PlacedGroup[] {
    let needed = chosen;
    for (const candidate of [...chosen].reverse()) {
        const rest = needed.filter(victim => victim !== candidate);
        if (fits(places, rest, options)) {
            needed = rest;
        }
    }
    return needed;
}

function fits(places: TaskPlace[], victims: PlacedGroup[], options: VictimOptions): boolean {
    const { workers, waiting, available } = options;
    const freed = new Map<string, Resources>();
    for (const victim of victims) {
        releaseGroup(freed, victim);
    }
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
