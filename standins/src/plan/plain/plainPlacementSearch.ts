import { subtractResources, countFitting, type Resources } from "@tanagerdeck/decisions/job/jobTypes";
import {
    stepKey,
    type TaskPlace,
    type WaitingGroup,
    type WorkerView,
} from "@tanagerdeck/decisions/schedule/scheduleTypes";

/** Returns the capacity of a worker that a search may use. */
export type AvailableCapacity = (worker: WorkerView) => Resources;

/** Finds workers for all tasks of a group within the available capacity; undefined if they do not fit. */
export type PlaceSearch = (
    waiting: WaitingGroup,
    workers: WorkerView[],
    available: AvailableCapacity,
) => TaskPlace[] | undefined;

/** A worker with the number of the group's tasks that it can take. */
interface Candidate {
    worker: WorkerView;
    slots: number;
    /** 0 if the worker is fast enough; otherwise greater for slower workers. */
    shortfall: number;
    /** Sum of the unused fractions of each resource if the worker took `slots` tasks; smaller is a tighter fit. */
    leftover: number;
}

/** Whether the speed of the group's tasks depends on the racks they run on. */
export function isLocalitySensitive({ group }: Pick<WaitingGroup, "group">): boolean {
    return group.step.dataRack !== undefined || requiresSameRack(group);
}

/** Finds places that satisfy the group's rack constraints, so that no task is slowed down. */
export function findNearPlaces(
    waiting: WaitingGroup,
    workers: WorkerView[],
    available: AvailableCapacity,
): TaskPlace[] | undefined {
    return nearPlaces(waiting, eligibleWorkers(waiting, workers), available);
}

/** Finds places regardless of racks. */
export function findAnyPlaces(
    waiting: WaitingGroup,
    workers: WorkerView[],
    available: AvailableCapacity,
): TaskPlace[] | undefined {
    const allowed = eligibleWorkers(waiting, workers);
    return assignTasks(findCandidates(waiting, allowed, available), waiting.group.indexes);
}

function nearPlaces(
    waiting: WaitingGroup,
    allowed: WorkerView[],
    available: AvailableCapacity,
): TaskPlace[] | undefined {
    const { step, indexes } = waiting.group;
    const candidates = findCandidates(waiting, allowed, available);
    const nearCandidates = step.dataRack
        ? candidates.filter(candidate => candidate.worker.rack === step.dataRack)
        : candidates;
    return requiresSameRack(waiting.group)
        ? assignWithinRack(nearCandidates, indexes)
        : assignTasks(nearCandidates, indexes);
}

/** Schedulable workers that match the step; without those where the group has failed, if it can fit on the others. */
function eligibleWorkers(waiting: WaitingGroup, workers: WorkerView[]): WorkerView[] {
    const { job, group, failedOn } = waiting;
    const { requiredLabel, longRunning } = group.step;
    const allowed = workers.filter(
        worker =>
            worker.isSchedulable &&
            (longRunning || !worker.isQuarantined) &&
            worker.service === job.service &&
            (requiredLabel === undefined || worker.labels.includes(requiredLabel)),
    );
    if (failedOn.size === 0) {
        return allowed;
    }
    const others = allowed.filter(worker => !failedOn.has(worker.name));
    return nearPlaces(waiting, others, worker => worker.capacity) ? others : allowed;
}

function requiresSameRack({ step, indexes }: WaitingGroup["group"]): boolean {
    return step.sameRack && indexes.length > 1;
}

/** The workers that can take at least one task of the group. */
function findCandidates(
    waiting: WaitingGroup,
    allowed: WorkerView[],
    available: AvailableCapacity,
): Candidate[] {
    const { group } = waiting;
    const { resources } = group.step;
    const candidates: Candidate[] = [];
    for (const worker of allowed) {
        const free = available(worker);
        const slots = Math.min(
            countFitting(free, resources),
            slotsLeft(worker, waiting),
            group.indexes.length,
        );
        if (slots > 0) {
            const shortfall = shortfallOf(worker, waiting);
            const leftover = leftoverOf(worker, free, resources, slots);
            candidates.push({ worker, slots, shortfall, leftover });
        }
    }
    return candidates.sort(compareCandidates);
}

/**
 * Orders by fast enough before too slow and faster before slower among the latter, then by fewest recent faults, then warm
 * before cold, then by tightest fit, so that whole workers stay free for large tasks.
 */
function compareCandidates(left: Candidate, right: Candidate): number {
    return (
        left.shortfall - right.shortfall ||
        left.worker.recentFaults - right.worker.recentFaults ||
        Number(left.worker.isCold ?? false) - Number(right.worker.isCold ?? false) ||
        left.leftover - right.leftover ||
        right.slots - left.slots ||
        (left.worker.name < right.worker.name ? -1 : 1)
    );
}

/** Slower workers fall shorter; those of unknown speed come first for two tasks of each step outside of gangs. */
function shortfallOf({ speed = 1, isSpeedUnknown, tasksByStep }: WorkerView, waiting: WaitingGroup): number {
    if (speed < (waiting.neededSpeed ?? 0)) {
        return 1 / speed;
    }
    const { step } = waiting.group;
    const started = tasksByStep.get(stepKey(waiting.job.id, waiting.group)) ?? 0;
    return isSpeedUnknown && !step.gang && !step.longRunning && started < 2 ? -1 : 0;
}

function slotsLeft(worker: WorkerView, { job, group }: WaitingGroup): number {
    const { maxPerWorker } = group.step;
    if (maxPerWorker === undefined) {
        return Number.MAX_SAFE_INTEGER;
    }
    return maxPerWorker - (worker.tasksByStep.get(stepKey(job.id, group)) ?? 0);
}

function leftoverOf(worker: WorkerView, free: Resources, needed: Resources, slots: number): number {
    const left = subtractResources(free, {
        cpuMillis: needed.cpuMillis * slots,
        memoryMb: needed.memoryMb * slots,
        gpus: needed.gpus * slots,
    });
    return (
        fraction(left.gpus, worker.capacity.gpus) +
        fraction(left.cpuMillis, worker.capacity.cpuMillis) +
        fraction(left.memoryMb, worker.capacity.memoryMb)
    );
}

function fraction(part: number, whole: number): number {
    return whole > 0 ? part / whole : 0;
}

/**
 * Assigns all tasks to one rack: the one with the fewest tasks on workers that are too slow, then the fewest recent faults
 * on the used workers, then the fewest cold ones among them, then the fewest slots.
 */
function assignWithinRack(candidates: Candidate[], indexes: number[]): TaskPlace[] | undefined {
    const racks = new Map<string, Candidate[]>();
    for (const candidate of candidates) {
        const rack = candidate.worker.rack ?? candidate.worker.name;
        racks.set(rack, [...(racks.get(rack) ?? []), candidate]);
    }
    let best: { places: TaskPlace[]; rank: number[] } | undefined;
    for (const members of racks.values()) {
        const places = assignTasks(members, indexes);
        if (!places) {
            continue;
        }
        const used = new Set(places.map(place => place.worker));
        let recentFaults = 0;
        let slots = 0;
        for (const { worker, slots: workerSlots } of members) {
            recentFaults += used.has(worker.name) ? worker.recentFaults : 0;
            slots += workerSlots;
        }
        const cold = members.filter(({ worker }) => worker.isCold && used.has(worker.name)).length;
        const slowNames = new Set(
            members.filter(({ shortfall }) => shortfall > 0).map(({ worker }) => worker.name),
        );
        const slow = places.filter(({ worker }) => slowNames.has(worker)).length;
        const rank = [slow, recentFaults, cold, slots];
        const differing = rank.findIndex((number, position) => number !== best?.rank[position]);
        if (!best || (differing >= 0 && rank[differing]! < best.rank[differing]!)) {
            best = { places, rank };
        }
    }
    return best?.places;
}

/** Assigns the tasks to the candidates in order; undefined if not all fit. */
function assignTasks(candidates: Candidate[], indexes: number[]): TaskPlace[] | undefined {
    const places: TaskPlace[] = [];
    for (const { worker, slots } of candidates) {
        for (let slot = 0; slot < slots; slot++) {
            const index = indexes[places.length];
            if (index === undefined) {
                return places;
            }
            places.push({ index, worker: worker.name });
        }
    }
    return places.length === indexes.length ? places : undefined;
}
