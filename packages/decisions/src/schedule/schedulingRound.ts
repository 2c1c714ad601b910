import { moveDepartingGroups } from "../departure/departureMoves.ts";
import type { Resources } from "../job/jobTypes.ts";
import {
    addAt,
    copyColumns,
    createFleetTable,
    positionsOf,
    resourcesAt,
    setResources,
    subtractAt,
    type FleetTable,
    type ResourceColumns,
} from "./fleetTable.ts";
import { estimateOf, urgencyOf, valueAt } from "./jobValue.ts";
import {
    createRequest,
    findPlaces,
    isLocalitySensitive,
    type PlaceRequest,
    type SearchScope,
} from "./placementSearch.ts";
import type { PlannedPlace } from "./plannedPlace.ts";
import { createRoundSearches, type RoundSearches } from "./roundSearches.ts";
import {
    stepKey,
    type Decision,
    type PlacedGroup,
    type TaskPlace,
    type WaitingGroup,
    type WorkerView,
} from "./scheduleTypes.ts";
import { FIXED_PREEMPTION_COST, type PreemptionPlan } from "./victimSearch.ts";

/** Input of a scheduling round. */
export interface RoundInput {
    /** The leader's wall clock. */
    nowMs: number;
    workers: WorkerView[];
    waiting: WaitingGroup[];
    /** Number of further groups that are ready but not in `waiting`, by job, as too many of their step are starting. */
    withheld?: ReadonlyMap<string, number> | undefined;
    placed: PlacedGroup[];
    /** How many times slower tasks run far from their data or from each other. */
    farFactor: number;
}

/** State of a scheduling round in progress. */
interface Round {
    input: RoundInput;
    fleet: FleetTable;
    searches: RoundSearches;
    decisions: Decision[];
    /** Capacity that tasks outlasting `afterMs` may use without delaying a planned place, by worker position. */
    besidePlanned: Map<number, { left: Resources; afterMs: number }>;
    plannedGroups: number;
    /** Number of waiting groups by job; a job has no value until all are done, so a gain is divided among them. */
    waitingOfJob: Map<string, number>;
    /** Steps with a task that did not fit; free capacity only shrinks in a round, so the others do not fit either. */
    blockedSteps: Set<string>;
}

/** Number of blocked groups that get planned places, so that shorter work does not starve them. */
export const MAX_PLANNED_GROUPS = 2;
/** The gain of a preemption must exceed its cost by this factor, as estimates are rough. */
export const GAIN_FACTOR = 2;
/** Expected time until a preempted group has freed its capacity. */
export const EXPECTED_STOP_MS = 1_000;

/** Decides which waiting groups start where, and which placed groups are moved or preempted. */
export function scheduleRound(input: RoundInput): Decision[] {
    const fleet = createFleetTable(input.workers);
    const round: Round = {
        input,
        fleet,
        searches: createRoundSearches(fleet, input),
        decisions: [],
        besidePlanned: new Map(),
        plannedGroups: 0,
        waitingOfJob: new Map(input.withheld),
        blockedSteps: new Set(),
    };
    for (const { job } of input.waiting) {
        round.waitingOfJob.set(job.id, (round.waitingOfJob.get(job.id) ?? 0) + 1);
    }
    moveDepartingGroups(round, {
        allocate: (candidate, places) => allocate(round, candidate, places),
        preempt: (candidate, plan) => preempt(round, candidate, plan),
    });
    for (const candidate of sortWaiting(input)) {
        scheduleGroup(round, candidate);
    }
    return round.decisions;
}

/** Sorts waiting groups: guaranteed ones first, then by urgency. */
export function sortWaiting({ waiting, nowMs }: Pick<RoundInput, "waiting" | "nowMs">): WaitingGroup[] {
    const ranked = waiting.map(group => ({ group, urgency: urgencyOf(group.value, nowMs) }));
    ranked.sort(
        (left, right) =>
            Number(right.group.isGuaranteed) - Number(left.group.isGuaranteed) ||
            right.urgency - left.urgency ||
            left.group.value.objectiveAtMs - right.group.value.objectiveAtMs ||
            compareIds(left.group.job.id, right.group.job.id),
    );
    return ranked.map(({ group }) => group);
}

function compareIds(left: string, right: string): number {
    return left < right ? -1 : Number(left > right);
}

function scheduleGroup(round: Round, candidate: WaitingGroup): void {
    const step = stepKey(candidate.job.id, candidate.group);
    const isInterchangeable = !candidate.group.step.gang && candidate.failedOn.size === 0;
    if (isInterchangeable && round.blockedSteps.has(step)) {
        return;
    }
    const { fleet } = round;
    const room = candidate.takesAnyRoom ? fleet.free : freeFor(round, estimateOf(candidate.group.step));
    const request = createRequest(fleet, candidate, "near");
    const near = round.searches.findNear(request, room);
    if (near) {
        place(round, candidate, near, false);
        return;
    }
    const far =
        candidate.takesAnyRoom && isLocalitySensitive(candidate)
            ? findPlaces(fleet, createRequest(fleet, candidate, "any"), room)
            : undefined;
    if (far) {
        place(round, candidate, far, true);
        return;
    }
    if (candidate.isGuaranteed) {
        scheduleGuaranteed(round, candidate);
        return;
    }
    if (!scheduleBlocked(round, candidate, request) && isInterchangeable) {
        round.blockedSteps.add(step);
    }
}

/** Places a guaranteed group, preempting groups without a guarantee if necessary. */
function scheduleGuaranteed(round: Round, candidate: WaitingGroup): void {
    const { fleet } = round;
    const scopes: SearchScope[] = isLocalitySensitive(candidate) ? ["near", "any"] : ["near"];
    for (const scope of scopes) {
        const request = createRequest(fleet, candidate, scope);
        const now = findPlaces(fleet, request, fleet.free);
        if (now) {
            place(round, candidate, now, scope !== "near");
            return;
        }
        const soon = findPlaces(fleet, request, fleet.freeAfterClosing);
        if (soon) {
            allocate(round, candidate, soon);
            return;
        }
        const plan = round.searches.planVictims(request, Infinity);
        if (plan) {
            preempt(round, candidate, plan);
            return;
        }
    }
}

/**
 * Handles a group without a near place: it runs far from its data, preempts less urgent groups or waits for a planned
 * place. Returns whether it is placed now or will be as soon as its victims have stopped.
 */
function scheduleBlocked(round: Round, candidate: WaitingGroup, request: PlaceRequest): boolean {
    const { fleet, searches } = round;
    const durationMs = estimateOf(candidate.group.step);
    // Keeps the capacity of stopping groups for the group that has preempted them until the last one has stopped.
    const soon = findPlaces(fleet, request, freeFor(round, durationMs, fleet.freeAfterClosing));
    if (soon) {
        allocate(round, candidate, soon);
        return true;
    }
    // The forecast is costly and is made only where it can change the decision.
    const lookUpEarliest = once(() => searches.forecast(request).earliestFor(request.count));
    if (isLocalitySensitive(candidate)) {
        const farMs = durationMs * round.input.farFactor;
        const far = findPlaces(fleet, createRequest(fleet, candidate, "any"), freeFor(round, farMs));
        const earliest = far && lookUpEarliest();
        if (far && (!earliest || farMs < earliest.afterMs + durationMs)) {
            place(round, candidate, far, true);
            return true;
        }
    }
    const minGain = FIXED_PREEMPTION_COST * GAIN_FACTOR;
    if (gainOfStartingNow(round, candidate, undefined) > minGain) {
        const gain = gainOfStartingNow(round, candidate, lookUpEarliest()?.afterMs);
        const costLimit = gain / GAIN_FACTOR;
        const plan = gain > minGain ? searches.planVictims(request, costLimit) : undefined;
        if (plan && plan.cost < costLimit) {
            preempt(round, candidate, plan);
            return true;
        }
    }
    const earliest = round.plannedGroups < MAX_PLANNED_GROUPS ? lookUpEarliest() : undefined;
    const planned = earliest && searches.findPlanned(request, earliest.batches);
    if (planned) {
        round.plannedGroups += 1;
        reservePlanned(round, candidate, planned);
    }
    return false;
}

/** Returns a function that computes a value on the first call and returns it on each further one. */
function once<T>(compute: () => T): () => T {
    let known: { value: T } | undefined;
    return () => {
        known ??= { value: compute() };
        return known.value;
    };
}

/**
 * Value gained by starting the group now instead of after `laterMs`, divided by the job's waiting groups. Without a later
 * start the gain is the largest possible one.
 */
function gainOfStartingNow(round: Round, { job, value }: WaitingGroup, laterMs: number | undefined): number {
    const { nowMs } = round.input;
    const soon = valueAt(value, nowMs + EXPECTED_STOP_MS + value.runMs);
    const later = laterMs === undefined ? 0 : valueAt(value, nowMs + laterMs + value.runMs);
    return (soon - later) / (round.waitingOfJob.get(job.id) ?? 1);
}

function preempt(round: Round, candidate: WaitingGroup, plan: PreemptionPlan): void {
    const { fleet } = round;
    round.searches.preempted(plan.victims);
    for (const victim of plan.victims) {
        const { job, group } = victim;
        for (const position of positionsOf(fleet, victim.workers)) {
            addAt(fleet.freeAfterClosing, position, group.step.resources);
        }
        round.decisions.push({ kind: "preempt", job: job.id, group: group.key, for: candidate.job.id });
    }
    allocate(round, candidate, plan.places);
}

function place(round: Round, candidate: WaitingGroup, places: TaskPlace[], isFar: boolean): void {
    allocate(round, candidate, places);
    round.decisions.push({ kind: "place", job: candidate.job.id, group: candidate.group.key, places, isFar });
}

/** Allocates the places, so that later groups of the round do not use them. */
function allocate(round: Round, { group, job }: WaitingGroup, places: TaskPlace[]): void {
    const { fleet } = round;
    round.searches.capacityTaken();
    const key = stepKey(job.id, group);
    for (const { worker } of places) {
        const position = fleet.positions.get(worker)!;
        subtractAt(fleet.free, position, group.step.resources);
        subtractAt(fleet.freeAfterClosing, position, group.step.resources);
        const { tasksByStep } = fleet.workers[position]!;
        tasksByStep.set(key, (tasksByStep.get(key) ?? 0) + 1);
    }
}

/** Reserves the planned places against tasks that would still run when they are needed, as in backfilling. */
function reservePlanned(round: Round, { group }: WaitingGroup, planned: PlannedPlace): void {
    const { fleet } = round;
    round.searches.reserved();
    const left = planned.roomThen;
    for (const { worker } of planned.places) {
        subtractAt(left, fleet.positions.get(worker)!, group.step.resources);
    }
    for (const { worker } of planned.places) {
        const position = fleet.positions.get(worker)!;
        round.besidePlanned.set(position, { left: resourcesAt(left, position), afterMs: planned.afterMs });
    }
}

/** Free capacity for tasks of the given duration; tasks that outlast the wait must not delay planned places. */
function freeFor(
    { fleet, besidePlanned }: Round,
    durationMs: number,
    available: ResourceColumns = fleet.free,
): ResourceColumns {
    if (besidePlanned.size === 0) {
        return available;
    }
    const room = copyColumns(available);
    for (const [position, { left, afterMs }] of besidePlanned) {
        if (durationMs > afterMs) {
            const free = resourcesAt(room, position);
            setResources(room, position, {
                cpuMillis: Math.min(free.cpuMillis, left.cpuMillis),
                memoryMb: Math.min(free.memoryMb, left.memoryMb),
                gpus: Math.min(free.gpus, left.gpus),
            });
        }
    }
    return room;
}
