import { countFitting, subtractResources, type Resources } from "../job/jobTypes.ts";
import { speedShortfall } from "../speed/sufficientSpeed.ts";
import {
    addAt,
    copyColumns,
    countFittingAt,
    resourcesAt,
    schedulableWorkers,
    type FleetTable,
    type ResourceColumns,
} from "./fleetTable.ts";
import { stepKey, type TaskPlace, type WaitingGroup, type WorkerView } from "./scheduleTypes.ts";

/**
 * Which workers a search may use.
 * - `near`: those that satisfy the group's rack constraints, so that no task is slowed down.
 * - `any`: all that the step allows.
 */
export type SearchScope = "near" | "any";

/** What a search looks for: room for all tasks of a group. */
export interface PlaceRequest {
    waiting: WaitingGroup;
    scope: SearchScope;
    /** Positions of the workers that may take tasks of the group. */
    allowed: number[];
    needed: Resources;
    count: number;
    /** Whether all tasks must be placed within one rack. */
    isWithinRack: boolean;
}

/** A worker with the number of the group's tasks that it can take. */
interface Candidate {
    position: number;
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

/** Creates the request of a waiting group for one scope. */
export function createRequest(fleet: FleetTable, waiting: WaitingGroup, scope: SearchScope): PlaceRequest {
    const { job, group, failedOn } = waiting;
    const { resources, requiredLabel, dataRack, longRunning } = group.step;
    const requestFor = (positions: number[], requestScope: SearchScope): PlaceRequest => ({
        waiting,
        scope: requestScope,
        allowed: requestScope === "near" ? nearWorkers(fleet, positions, dataRack) : positions,
        needed: resources,
        count: group.indexes.length,
        isWithinRack: requestScope === "near" && requiresSameRack(group),
    });
    const filter = { requiredLabel, includesQuarantined: longRunning };
    const schedulable = schedulableWorkers(fleet, job.service, filter);
    if (failedOn.size > 0) {
        // A retry avoids the workers on which the group has failed, unless it can never fit on the others.
        const others = schedulable.filter(position => !failedOn.has(fleet.workers[position]!.name));
        if (fits(fleet, requestFor(others, "near"), fleet.capacity)) {
            return requestFor(others, scope);
        }
    }
    return requestFor(schedulable, scope);
}

function nearWorkers(fleet: FleetTable, positions: number[], dataRack: string | undefined): number[] {
    return dataRack === undefined
        ? positions
        : positions.filter(position => fleet.workers[position]!.rack === dataRack);
}

function requiresSameRack({ step, indexes }: WaitingGroup["group"]): boolean {
    return step.sameRack && indexes.length > 1;
}

/** Whether all tasks of the request fit into the room. */
export function fits(fleet: FleetTable, request: PlaceRequest, room: ResourceColumns): boolean {
    const { allowed, needed, count, isWithinRack } = request;
    const slotsByRack = isWithinRack ? new Int32Array(fleet.rackCount) : undefined;
    let total = 0;
    for (const position of allowed) {
        const slots = countFittingAt(room, position, needed, slotLimit(fleet, request, position));
        total += slots;
        if (!slotsByRack) {
            if (total >= count) {
                return true;
            }
            continue;
        }
        const rack = fleet.racks[position]!;
        slotsByRack[rack]! += slots;
        if (slotsByRack[rack]! >= count) {
            return true;
        }
    }
    return count === 0;
}

/** Finds workers for all tasks of the request within the room; undefined if they do not fit. */
export function findPlaces(
    fleet: FleetTable,
    request: PlaceRequest,
    room: ResourceColumns,
): TaskPlace[] | undefined {
    if (!fits(fleet, request, room)) {
        return undefined;
    }
    const candidates = findCandidates(fleet, request, room);
    const { indexes } = request.waiting.group;
    return request.isWithinRack
        ? assignWithinRack(fleet, candidates, indexes)
        : assignTasks(candidates, indexes);
}

/** Follows whether a request fits while room is added worker by worker. */
export interface GrowingRoom {
    room: ResourceColumns;
    /** Adds an amount at one position. */
    add(position: number, amount: Resources): void;
    /** Number of tasks that fit: on all workers, or on those of the best rack if the request needs one rack. */
    slots(): number;
}

/** Starts with a copy of `initial`; each addition costs the same for any number of workers. */
export function createGrowingRoom(
    fleet: FleetTable,
    request: PlaceRequest,
    initial: ResourceColumns,
): GrowingRoom {
    const { allowed, needed, isWithinRack } = request;
    const room = copyColumns(initial);
    const isAllowed = new Uint8Array(fleet.workers.length);
    const slots = new Int32Array(fleet.workers.length);
    const slotsByRack = new Int32Array(fleet.rackCount);
    let total = 0;
    let largestRack = 0;
    const countSlots = (position: number) => {
        const now = countFittingAt(room, position, needed, workerLimit(fleet, request, position));
        const gained = now - slots[position]!;
        slots[position] = now;
        total += gained;
        const rack = fleet.racks[position]!;
        slotsByRack[rack]! += gained;
        largestRack = Math.max(largestRack, slotsByRack[rack]!);
    };
    for (const position of allowed) {
        isAllowed[position] = 1;
        countSlots(position);
    }
    return {
        room,
        add(position, amount) {
            addAt(room, position, amount);
            if (isAllowed[position] === 1) {
                countSlots(position);
            }
        },
        slots: () => (isWithinRack ? largestRack : total),
    };
}

/** Largest number of the group's tasks that a search may put on a worker. */
function slotLimit(fleet: FleetTable, request: PlaceRequest, position: number): number {
    return Math.min(request.count, workerLimit(fleet, request, position));
}

/** Largest number of tasks that the step allows on a worker, whatever the group's size. */
function workerLimit(fleet: FleetTable, { waiting }: PlaceRequest, position: number): number {
    const { maxPerWorker } = waiting.group.step;
    if (maxPerWorker === undefined) {
        return MAX_SLOTS;
    }
    const { tasksByStep } = fleet.workers[position]!;
    return maxPerWorker - (tasksByStep.get(stepKey(waiting.job.id, waiting.group)) ?? 0);
}

/** Limit for tasks that need no resources. */
const MAX_SLOTS = 1_000_000;

/** The workers that can take at least one task of the group, best first. */
function findCandidates(fleet: FleetTable, request: PlaceRequest, room: ResourceColumns): Candidate[] {
    const { allowed, needed } = request;
    const candidates: Candidate[] = [];
    for (const position of allowed) {
        const free = resourcesAt(room, position);
        const slots = Math.min(countFitting(free, needed), slotLimit(fleet, request, position));
        if (slots > 0) {
            const worker = fleet.workers[position]!;
            const shortfall = speedShortfall(worker, request.waiting);
            const leftover = leftoverOf(worker, free, needed, slots);
            candidates.push({ position, worker, slots, shortfall, leftover });
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
function assignWithinRack(
    fleet: FleetTable,
    candidates: Candidate[],
    indexes: number[],
): TaskPlace[] | undefined {
    const membersByRack = new Map<number, Candidate[]>();
    for (const candidate of candidates) {
        const rack = fleet.racks[candidate.position]!;
        const members = membersByRack.get(rack);
        if (members) {
            members.push(candidate);
        } else {
            membersByRack.set(rack, [candidate]);
        }
    }
    let best: { places: TaskPlace[]; rank: number[] } | undefined;
    for (const members of membersByRack.values()) {
        const places = assignTasks(members, indexes);
        if (!places) {
            continue;
        }
        const used = new Set(places.map(place => place.worker));
        const slowTasks = countSlowTasks(members, indexes.length);
        let recentFaults = 0;
        let coldWorkers = 0;
        let slots = 0;
        for (const { worker, slots: workerSlots } of members) {
            if (used.has(worker.name)) {
                recentFaults += worker.recentFaults;
                coldWorkers += worker.isCold ? 1 : 0;
            }
            slots += workerSlots;
        }
        const rank = [slowTasks, recentFaults, coldWorkers, slots];
        if (!best || compareRanks(rank, best.rank) < 0) {
            best = { places, rank };
        }
    }
    return best?.places;
}

/** Number of tasks that are assigned to workers that are too slow; these come last among the candidates. */
function countSlowTasks(members: Candidate[], count: number): number {
    let fastSlots = 0;
    for (const { shortfall, slots } of members) {
        fastSlots += shortfall <= 0 ? slots : 0;
    }
    return Math.max(0, count - fastSlots);
}

/** Compares ranks by their first numbers, and those with equal ones by the next. */
function compareRanks(left: number[], right: number[]): number {
    for (const [position, number] of left.entries()) {
        if (number !== right[position]) {
            return number - right[position]!;
        }
    }
    return 0;
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
