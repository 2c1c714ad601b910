import { addResources, subtractResources, type Resources } from "@tanagerdeck/decisions/job/jobTypes";
import { estimateOf, valueAt } from "@tanagerdeck/decisions/schedule/jobValue";
import { plainMoveDepartingGroups } from "./plainDeparture.ts";
import {
    isLocalitySensitive,
    findAnyPlaces,
    findNearPlaces,
    type AvailableCapacity,
    type PlaceSearch,
} from "./plainPlacementSearch.ts";
import { findPlannedPlace, type PlannedPlace } from "./plainPlannedPlace.ts";
import {
    stepKey,
    type Decision,
    type PlacedGroup,
    type TaskPlace,
    type WaitingGroup,
    type WorkerView,
} from "@tanagerdeck/decisions/schedule/scheduleTypes";
import { FIXED_PREEMPTION_COST } from "@tanagerdeck/decisions/schedule/victimSearch";
import {
    EXPECTED_STOP_MS,
    GAIN_FACTOR,
    MAX_PLANNED_GROUPS,
    sortWaiting,
    type RoundInput,
} from "@tanagerdeck/decisions/schedule/schedulingRound";
import { findVictims, type VictimSearchOptions, type PreemptionPlan } from "./plainVictimSearch.ts";

/** State of a scheduling round in progress. */
interface Round {
    input: RoundInput;
    decisions: Decision[];
    /** Capacity that the round has allocated, by worker. */
    allocated: Map<string, Resources>;
    /** Capacity that tasks outlasting `afterMs` may use without delaying a planned place, by worker. */
    besidePlanned: Map<string, { left: Resources; afterMs: number }>;
    plannedGroups: number;
    victims: Set<PlacedGroup>;
    /** Number of waiting groups by job; a job has no value until all are done, so a gain is divided among them. */
    waitingOfJob: Map<string, number>;
    /** Steps with a task that did not fit; free capacity only shrinks in a round, so the others do not fit either. */
    blockedSteps: Set<string>;
}

/**
 * Decides like `scheduleRound`, by searches that look at every worker anew. Tests compare the decisions of both, and the
 * bench their cost.
 */
export function plainScheduleRound(input: RoundInput): Decision[] {
    const round: Round = {
        input,
        decisions: [],
        allocated: new Map(),
        besidePlanned: new Map(),
        plannedGroups: 0,
        victims: new Set(),
        waitingOfJob: new Map(input.withheld),
        blockedSteps: new Set(),
    };
    for (const { job } of input.waiting) {
        round.waitingOfJob.set(job.id, (round.waitingOfJob.get(job.id) ?? 0) + 1);
    }
    plainMoveDepartingGroups({
        input,
        decisions: round.decisions,
        victims: round.victims,
        freeOf: worker => freeOf(round, worker),
        allocate: (candidate, places) => allocate(round, candidate, places),
        preempt: (candidate, plan) => preempt(round, candidate, plan),
    });
    for (const candidate of sortWaiting(input)) {
        scheduleGroup(round, candidate);
    }
    return round.decisions;
}

function scheduleGroup(round: Round, candidate: WaitingGroup): void {
    const { workers } = round.input;
    const step = stepKey(candidate.job.id, candidate.group);
    const isInterchangeable = !candidate.group.step.gang && candidate.failedOn.size === 0;
    if (isInterchangeable && round.blockedSteps.has(step)) {
        return;
    }
    const { takesAnyRoom } = candidate;
    const room = takesAnyRoom ? freeNow(round) : freeFor(round, estimateOf(candidate.group.step));
    const near = findNearPlaces(candidate, workers, room);
    if (near) {
        place(round, candidate, near, false);
        return;
    }
    const far =
        takesAnyRoom && isLocalitySensitive(candidate) ? findAnyPlaces(candidate, workers, room) : undefined;
    if (far) {
        place(round, candidate, far, true);
        return;
    }
    if (candidate.isGuaranteed) {
        scheduleGuaranteed(round, candidate);
        return;
    }
    if (!scheduleBlocked(round, candidate) && isInterchangeable) {
        round.blockedSteps.add(step);
    }
}

/** Places a guaranteed group, preempting groups without a guarantee if necessary. */
function scheduleGuaranteed(round: Round, candidate: WaitingGroup): void {
    const { workers } = round.input;
    const searches: PlaceSearch[] = isLocalitySensitive(candidate)
        ? [findNearPlaces, findAnyPlaces]
        : [findNearPlaces];
    for (const search of searches) {
        const now = search(candidate, workers, freeNow(round));
        if (now) {
            place(round, candidate, now, search !== findNearPlaces);
            return;
        }
        const soon = search(candidate, workers, freeAfterClosing(round));
        if (soon) {
            allocate(round, candidate, soon);
            return;
        }
        const plan = planVictims(round, candidate, {
            search,
            isPreemptible: group => !group.isGuaranteed,
            costLimit: Infinity,
        });
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
function scheduleBlocked(round: Round, candidate: WaitingGroup): boolean {
    const { workers, placed, farFactor } = round.input;
    const durationMs = estimateOf(candidate.group.step);
    const soon = findNearPlaces(candidate, workers, freeFor(round, durationMs, freeAfterClosing(round)));
    if (soon) {
        allocate(round, candidate, soon);
        return true;
    }
    const planned = findPlannedPlace(candidate, workers, placed, freeNow(round), findNearPlaces);
    if (isLocalitySensitive(candidate)) {
        const farMs = durationMs * farFactor;
        const isFarSooner = !planned || farMs < planned.afterMs + durationMs;
        const far = isFarSooner ? findAnyPlaces(candidate, workers, freeFor(round, farMs)) : undefined;
        if (far) {
            place(round, candidate, far, true);
            return true;
        }
    }
    const gain = gainOfStartingNow(round, candidate, planned);
    // The search for victims is the most expensive part of a round.
    if (gain > FIXED_PREEMPTION_COST * GAIN_FACTOR) {
        const isLessUrgent = (group: PlacedGroup) =>
            !group.isGuaranteed && group.priority > candidate.priority;
        const costLimit = gain / GAIN_FACTOR;
        const plan = planVictims(round, candidate, {
            search: findNearPlaces,
            isPreemptible: isLessUrgent,
            costLimit,
        });
        if (plan && plan.cost < costLimit) {
            preempt(round, candidate, plan);
            return true;
        }
    }
    if (planned && round.plannedGroups < MAX_PLANNED_GROUPS) {
        round.plannedGroups += 1;
        reservePlanned(round, candidate, planned);
    }
    return false;
}

/** Value gained by starting the group now instead of at its planned place, divided by the job's waiting groups. */
function gainOfStartingNow(
    round: Round,
    { job, value }: WaitingGroup,
    planned: PlannedPlace | undefined,
): number {
    const { nowMs } = round.input;
    const soon = valueAt(value, nowMs + EXPECTED_STOP_MS + value.runMs);
    const later = planned ? valueAt(value, nowMs + planned.afterMs + value.runMs) : 0;
    return (soon - later) / (round.waitingOfJob.get(job.id) ?? 1);
}

function planVictims(
    round: Round,
    waiting: WaitingGroup,
    {
        isPreemptible,
        ...terms
    }: Pick<VictimSearchOptions, "search" | "costLimit"> & {
        isPreemptible: (group: PlacedGroup) => boolean;
    },
): PreemptionPlan | undefined {
    const { workers, placed, nowMs } = round.input;
    const candidates = placed.filter(
        group => !group.isClosing && !round.victims.has(group) && isPreemptible(group),
    );
    return findVictims({ waiting, workers, candidates, available: freeAfterClosing(round), nowMs, ...terms });
}

function preempt(round: Round, candidate: WaitingGroup, plan: PreemptionPlan): void {
    const views = new Map(round.input.workers.map(worker => [worker.name, worker]));
    for (const victim of plan.victims) {
        round.victims.add(victim);
        for (const name of victim.workers) {
            const view = views.get(name);
            if (view) {
                view.closing = addResources(view.closing, victim.group.step.resources);
            }
        }
        const { job, group } = victim;
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
    const views = new Map(round.input.workers.map(worker => [worker.name, worker]));
    const key = stepKey(job.id, group);
    for (const { worker } of places) {
        const before = round.allocated.get(worker);
        const { resources } = group.step;
        round.allocated.set(worker, before ? addResources(before, resources) : resources);
        const view = views.get(worker);
        view?.tasksByStep.set(key, (view.tasksByStep.get(key) ?? 0) + 1);
    }
}

/** Reserves the planned places against tasks that would still run when they are needed, as in backfilling. */
function reservePlanned(round: Round, { group }: WaitingGroup, planned: PlannedPlace): void {
    const needed = new Map<string, Resources>();
    for (const { worker } of planned.places) {
        const before = needed.get(worker);
        const { resources } = group.step;
        needed.set(worker, before ? addResources(before, resources) : resources);
    }
    for (const worker of round.input.workers) {
        const wanted = needed.get(worker.name);
        if (wanted) {
            const freeThen = addResources(freeOf(round, worker), planned.freed.get(worker.name) ?? NOTHING);
            round.besidePlanned.set(worker.name, {
                left: subtractResources(freeThen, wanted),
                afterMs: planned.afterMs,
            });
        }
    }
}

const NOTHING: Resources = { cpuMillis: 0, memoryMb: 0, gpus: 0 };

function freeOf(round: Round, worker: WorkerView): Resources {
    const allocated = round.allocated.get(worker.name);
    return allocated ? subtractResources(worker.free, allocated) : worker.free;
}

function freeNow(round: Round): AvailableCapacity {
    return worker => freeOf(round, worker);
}

/** Free capacity for tasks of the given duration; tasks that outlast the wait must not delay planned places. */
function freeFor(
    round: Round,
    durationMs: number,
    available: AvailableCapacity = worker => freeOf(round, worker),
): AvailableCapacity {
    return worker => {
        const free = available(worker);
        const planned = round.besidePlanned.get(worker.name);
        if (!planned || durationMs <= planned.afterMs) {
            return free;
        }
        return {
            cpuMillis: Math.min(free.cpuMillis, planned.left.cpuMillis),
            memoryMb: Math.min(free.memoryMb, planned.left.memoryMb),
            gpus: Math.min(free.gpus, planned.left.gpus),
        };
    };
}

/** Free capacity once all closing runs have ended. */
function freeAfterClosing(round: Round): AvailableCapacity {
    return worker => addResources(freeOf(round, worker), worker.closing);
}
