import { subtractResources, timesFitting, type Resources } from "../job/jobTypes.ts";
import { stepKey, type TaskPlace, type WaitingGroup, type WorkerView } from "./scheduleTypes.ts";

/** Which capacity of a worker counts as available. */
export type AvailableCapacity = (worker: WorkerView) => Resources;

/** A search for places within some capacity. */
export type PlaceSearch = (
    waiting: WaitingGroup,
    workers: WorkerView[],
    available: AvailableCapacity,
) => TaskPlace[] | undefined;

/** A worker with the number of the group's tasks that it can take. */
interface Candidate {
    worker: WorkerView;
    slots: number;
    /** What would be left of the worker if it took as many tasks as possible; smaller is a tighter fit. */
    leftover: number;
}

/** Whether tasks of the group are slower on some workers than on others. */
export function isLocalitySensitive({ group }: Pick<WaitingGroup, "group">): boolean {
    return group.step.dataRack !== undefined || requiresSameRack(group);
}

/** Finds places near each other and near the data, where no task is slowed down. */
export function findNearPlaces(
    waiting: WaitingGroup,
    workers: WorkerView[],
    available: AvailableCapacity,
): TaskPlace[] | undefined {
    return nearPlaces(waiting, eligibleWorkers(waiting, workers), available);
}

/** Finds places anywhere. */
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

/** The open workers that the step admits; those on which the group has failed only if it does not fit elsewhere. */
function eligibleWorkers(waiting: WaitingGroup, workers: WorkerView[]): WorkerView[] {
    const { job, group, failedOn } = waiting;
    const { requiredLabel } = group.step;
    const allowed = workers.filter(
        worker =>
            worker.isSchedulable &&
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
            timesFitting(free, resources),
            slotsLeft(worker, waiting),
            group.indexes.length,
        );
        if (slots > 0) {
            candidates.push({ worker, slots, leftover: leftoverOf(worker, free, resources, slots) });
        }
    }
    return candidates.sort(compareCandidates);
}

/** Trusted workers first, then the tightest fit, so that whole workers stay free for large tasks. */
function compareCandidates(left: Candidate, right: Candidate): number {
    return (
        left.worker.recentFaults - right.worker.recentFaults ||
        left.leftover - right.leftover ||
        right.slots - left.slots ||
        (left.worker.name < right.worker.name ? -1 : 1)
    );
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

/** Fills the rack that has room for all tasks, with the least trust lost and the least room left. */
function assignWithinRack(candidates: Candidate[], indexes: number[]): TaskPlace[] | undefined {
    const racks = new Map<string, Candidate[]>();
    for (const candidate of candidates) {
        const rack = candidate.worker.rack ?? candidate.worker.name;
        racks.set(rack, [...(racks.get(rack) ?? []), candidate]);
    }
    let best: { places: TaskPlace[]; recentFaults: number; slots: number } | undefined;
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
        const isBetter =
            !best ||
            recentFaults < best.recentFaults ||
            (recentFaults === best.recentFaults && slots < best.slots);
        if (isBetter) {
            best = { places, recentFaults: recentFaults, slots };
        }
    }
    return best?.places;
}

/** Gives the tasks to the candidates in their order; undefined if not all fit. */
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
