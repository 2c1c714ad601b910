import {
    addResources,
    countFitting,
    NO_RESOURCES,
    subtractResources,
} from "@tanagerdeck/decisions/job/jobTypes";
import { taskGroupsOf, type TaskGroup } from "@tanagerdeck/decisions/job/taskGroups";
import { IDLE_FRACTION, MAX_IDLE_MS } from "@tanagerdeck/decisions/plan/idleness";
import {
    coreEquivalents,
    estimateOf,
    valueOf,
    expectedCoreSeconds,
} from "@tanagerdeck/decisions/schedule/jobValue";
import {
    stepKey,
    type Decision,
    type PlacedGroup,
    type TaskPlace,
    type WaitingGroup,
    type WorkerView,
} from "@tanagerdeck/decisions/schedule/scheduleTypes";
import { createSpeedRecord, type SpeedRecord } from "@tanagerdeck/decisions/speed/speedTypes";
import { neededSpeedOf } from "@tanagerdeck/decisions/speed/sufficientSpeed";
import type { RoundInput } from "@tanagerdeck/decisions/schedule/schedulingRound";
import { groupLeavesInMs, simulateDepartures, type DepartureSimulation } from "./planDepartures.ts";
import { knownSpeed, observeGroups, type SpeedKnowledge } from "./planSpeeds.ts";
import type { Deployment, PlanJob } from "./planWorkload.ts";

/** Decides which waiting groups start and which placed groups are preempted. */
export type PlanPolicy = (input: RoundInput) => Decision[];

/** Measurements of one simulation. */
export interface PlanResult {
    /** Earned value divided by the value of all jobs. */
    earnedValueRatio: number;
    /** The same for the jobs of each queue. */
    valueRatioByQueue: Record<string, number>;
    /** Work lost by stops and departures divided by the work of all jobs. */
    wastedWorkRatio: number;
    stops: number;
    /** Jobs that had nothing running for `STARVED_MS` although there was room for a waiting group twice over. */
    starvedJobs: number;
    /** Duration of the longest call of the policy, in milliseconds. */
    longestRoundMs: number;
    moves: number;
    /** Mean time from the notice of a worker that leaves until the end of the groups that ran there. */
    affectedEndMs: number;
}

/** A task group of a job with its state in the simulation. */
export interface SimulatedGroup {
    owner: PlanJob;
    group: TaskGroup;
    places: TaskPlace[];
    /** Remaining work, as run time near the data. */
    leftMs: number;
    startedAtMs: number;
    /** Factor by which the tasks run slower at their places than near the data on workers of normal speed. */
    factor: number;
    phase: "waiting" | "running" | "stopping" | "done";
    endsAtMs: number;
    movedAtMs: number;
    /** Whether it is being stopped because a worker of it leaves. */
    isMoving: boolean;
}

const FAR_FACTOR = 3;
/** Time for which a preempted group still occupies its resources. */
const STOP_MS = 600;
/** Interval of the scheduling rounds while groups wait. */
const ROUND_MS = 250;
/** Time for which a job with room for it, in a service of which little is in use, may have nothing running. */
const STARVED_MS = 3_000;
/** A late job still earns its late value up to this many times its objective. */
const LATE_VALUE_OBJECTIVES = 3;
/** Share of the run after which the observed pace shows the true duration. */
const KNOWN_PACE_SHARE = 0.1;

/**
 * Simulates jobs under a policy until all have ended. Only arrivals, ends and stops are simulated. `record` holds what is
 * known of the speeds at the start.
 */
export function simulatePlan(
    deployment: Deployment,
    jobs: PlanJob[],
    policy: PlanPolicy,
    knowledge: SpeedKnowledge = "learned",
    record: SpeedRecord = createSpeedRecord(),
): PlanResult {
    const workers = workersOf(deployment);
    const speeds = new Map(workers.map(({ name, speed }) => [name, speed ?? 1]));
    // The times of a simulation begin at 0, also after an earlier one that has filled the record.
    record.estimatedAt = -Infinity;
    const groups: SimulatedGroup[] = [];
    const result: PlanResult = {
        earnedValueRatio: 0,
        valueRatioByQueue: {},
        wastedWorkRatio: 0,
        stops: 0,
        starvedJobs: 0,
        longestRoundMs: 0,
        moves: 0,
        affectedEndMs: 0,
    };
    const departures = simulateDepartures(deployment.departures, deployment.workers, STOP_MS);
    const waits: Waits = { idleSince: new Map(), roomSince: new Map(), starved: new Set() };
    let offeredValue = 0;
    const offeredByQueue = new Map<string, number>();
    let offeredWork = 0;
    let arrived = 0;
    let nowMs = 0;
    const open = new Map<PlanJob, number>();
    while (arrived < jobs.length || open.size > 0) {
        for (; arrived < jobs.length && jobs[arrived]!.job.acceptedAtMs <= nowMs; arrived++) {
            const owner = jobs[arrived]!;
            const added = simulatedGroupsOf(owner);
            groups.push(...added);
            open.set(owner, added.length);
            offeredValue += owner.value;
            const { queue } = owner.job;
            offeredByQueue.set(queue, (offeredByQueue.get(queue) ?? 0) + owner.value);
            offeredWork += expectedCoreSeconds(owner.job.steps);
        }
        if (deployment.speeds) {
            observeGroups(record, groups, nowMs);
        }
        finishDueGroups(groups, nowMs, owner => {
            const groupsLeft = open.get(owner)! - 1;
            open.set(owner, groupsLeft);
            if (groupsLeft === 0) {
                open.delete(owner);
                const earned = earnedValue(owner, nowMs);
                result.earnedValueRatio += earned;
                const { queue } = owner.job;
                result.valueRatioByQueue[queue] = (result.valueRatioByQueue[queue] ?? 0) + earned;
            }
        });
        result.wastedWorkRatio += departures.advance(groups, nowMs);
        const input = inputOf({
            workers,
            groups,
            arrivedJobs: jobs.slice(0, arrived),
            deployment,
            departures,
            nowMs,
        });
        noteWaits(waits, input, groups);
        if (deployment.speeds) {
            input.workers = input.workers.map(view => ({ ...view, ...knownSpeed(record, view, knowledge) }));
        }
        const startedAt = performance.now();
        const decisions = policy(input);
        result.longestRoundMs = Math.max(result.longestRoundMs, performance.now() - startedAt);
        for (const decision of decisions) {
            result.wastedWorkRatio += applyDecision(groups, decision, speeds, nowMs);
            result.stops += decision.kind === "preempt" ? 1 : 0;
            result.moves += decision.kind === "move" ? 1 : 0;
        }
        nowMs = nextTime({ groups, arrivalMs: jobs[arrived]?.job.acceptedAtMs, departures, nowMs });
    }
    for (const [queue, offered] of offeredByQueue) {
        result.valueRatioByQueue[queue] = (result.valueRatioByQueue[queue] ?? 0) / offered;
    }
    return {
        ...result,
        starvedJobs: waits.starved.size,
        affectedEndMs: departures.meanEndMs(nowMs),
        earnedValueRatio: result.earnedValueRatio / offeredValue,
        wastedWorkRatio: result.wastedWorkRatio / offeredWork,
    };
}

/** Since when jobs have waiting groups and nothing at work, by job id. */
interface Waits {
    idleSince: Map<string, number>;
    /** The same, while little of the service is in use and a waiting group fits twice over. */
    roomSince: Map<string, number>;
    starved: Set<string>;
}

/** Notes which jobs wait, and lets those that have done so for long in an idle service take any room, as the planner does. */
function noteWaits(
    { idleSince, roomSince, starved }: Waits,
    input: RoundInput,
    groups: SimulatedGroup[],
): void {
    const { nowMs, workers, waiting } = input;
    const atWork = new Set<string>();
    for (const { phase, owner } of groups) {
        if (phase === "running" || phase === "stopping") {
            atWork.add(owner.job.id);
        }
    }
    const isIdle = isServiceIdle(workers);
    const idle = new Set<string>();
    const withRoom = new Set<string>();
    for (const candidate of waiting) {
        const { id } = candidate.job;
        if (atWork.has(id)) {
            continue;
        }
        idle.add(id);
        idleSince.set(id, idleSince.get(id) ?? nowMs);
        candidate.takesAnyRoom = isIdle && nowMs - idleSince.get(id)! >= MAX_IDLE_MS;
        if (isIdle && fitsTwice(workers, candidate)) {
            withRoom.add(id);
            roomSince.set(id, roomSince.get(id) ?? nowMs);
            if (nowMs - roomSince.get(id)! >= STARVED_MS) {
                starved.add(id);
            }
        }
    }
    keepOnly(idleSince, idle);
    keepOnly(roomSince, withRoom);
}

function keepOnly(times: Map<string, number>, ids: Set<string>): void {
    for (const id of times.keys()) {
        if (!ids.has(id)) {
            times.delete(id);
        }
    }
}

function isServiceIdle(workers: WorkerView[]): boolean {
    return (["cpuMillis", "memoryMb", "gpus"] as const).every(name => {
        let used = 0;
        let total = 0;
        for (const { capacity, free } of workers) {
            used += capacity[name] - free[name];
            total += capacity[name];
        }
        return used < total * IDLE_FRACTION;
    });
}

function fitsTwice(workers: WorkerView[], { group }: WaitingGroup): boolean {
    let slots = 0;
    for (const { free } of workers) {
        slots += countFitting(free, group.step.resources);
    }
    return slots >= 2 * group.indexes.length;
}

function workersOf({ workers, workersPerRack, capacity, speeds }: Deployment): WorkerView[] {
    return Array.from({ length: workers }, (_, number) => ({
        name: `w${number}`,
        service: "desk",
        rack: `r${Math.floor(number / workersPerRack)}`,
        labels: [],
        capacity,
        free: capacity,
        closing: NO_RESOURCES,
        isSchedulable: true,
        isQuarantined: false,
        recentFaults: 0,
        speed: speeds?.[number % speeds.length],
        tasksByStep: new Map(),
    }));
}

function simulatedGroupsOf(owner: PlanJob): SimulatedGroup[] {
    return taskGroupsOf(owner.job, 0).map(group => ({
        owner,
        group,
        places: [],
        leftMs: owner.taskMs[group.stepIndex]![group.indexes[0]!]!,
        startedAtMs: 0,
        factor: 1,
        phase: "waiting",
        endsAtMs: Infinity,
        movedAtMs: -Infinity,
        isMoving: false,
    }));
}

function finishDueGroups(groups: SimulatedGroup[], nowMs: number, done: (owner: PlanJob) => void): void {
    for (const simulated of groups) {
        if (simulated.endsAtMs > nowMs) {
            continue;
        }
        const isDone = simulated.phase === "running";
        simulated.phase = isDone ? "done" : "waiting";
        simulated.places = [];
        simulated.endsAtMs = Infinity;
        if (isDone) {
            done(simulated.owner);
        }
    }
}

function earnedValue({ job, objectiveMs, value, lateValue }: PlanJob, nowMs: number): number {
    const tookMs = nowMs - job.acceptedAtMs;
    if (tookMs <= objectiveMs) {
        return value;
    }
    return tookMs <= LATE_VALUE_OBJECTIVES * objectiveMs ? lateValue : 0;
}

function nextTime({
    groups,
    arrivalMs = Infinity,
    departures,
    nowMs,
}: {
    groups: SimulatedGroup[];
    arrivalMs: number | undefined;
    departures: DepartureSimulation;
    nowMs: number;
}): number {
    let next = Math.min(arrivalMs, departures.nextEventMs());
    for (const { endsAtMs, phase, places } of groups) {
        const isLeaving = places.some(({ worker }) => departures.leavesInMs(worker, nowMs) !== undefined);
        next = Math.min(next, phase === "waiting" || isLeaving ? nowMs + ROUND_MS : endsAtMs, endsAtMs);
    }
    return next;
}

/** Applies a decision and returns the core-seconds of work that it loses. */
function applyDecision(
    groups: SimulatedGroup[],
    decision: Decision,
    speeds: ReadonlyMap<string, number>,
    nowMs: number,
): number {
    const simulated = groups.find(
        ({ owner, group }) => owner.job.id === decision.job && group.key === decision.group,
    )!;
    if (decision.kind === "place") {
        simulated.places = decision.places;
        const slowest = Math.min(...decision.places.map(({ worker }) => speeds.get(worker) ?? 1));
        simulated.factor = (decision.isFar ? FAR_FACTOR : 1) / slowest;
        simulated.phase = "running";
        simulated.isMoving = false;
        simulated.startedAtMs = nowMs;
        simulated.endsAtMs = nowMs + simulated.leftMs * simulated.factor;
        return 0;
    }
    const workedMs = nowMs - simulated.startedAtMs;
    simulated.isMoving = decision.kind === "move";
    simulated.movedAtMs = simulated.isMoving ? nowMs : simulated.movedAtMs;
    simulated.phase = "stopping";
    simulated.endsAtMs = nowMs + STOP_MS;
    if (simulated.group.step.checkpointing) {
        simulated.leftMs -= workedMs / simulated.factor;
        return 0;
    }
    return (coreEquivalents(simulated.group.step.resources) * simulated.places.length * workedMs) / 1_000;
}

function inputOf({
    workers,
    groups,
    arrivedJobs,
    deployment: { workers: count, capacity },
    departures,
    nowMs,
}: {
    workers: WorkerView[];
    groups: SimulatedGroup[];
    arrivedJobs: PlanJob[];
    deployment: Deployment;
    departures: DepartureSimulation;
    nowMs: number;
}): RoundInput {
    const viewOf = (view: WorkerView): WorkerView => ({
        ...view,
        isSchedulable: !departures.isUnavailable(view.name),
        tasksByStep: new Map(),
    });
    const views = new Map(workers.map(view => [view.name, viewOf(view)]));
    const workByQueue = new Map<string, { sum: number; count: number }>();
    for (const { job } of arrivedJobs) {
        const { sum, count: earlier } = workByQueue.get(job.queue) ?? { sum: 0, count: 0 };
        workByQueue.set(job.queue, { sum: sum + expectedCoreSeconds(job.steps), count: earlier + 1 });
    }
    const room = {
        cpuMillis: capacity.cpuMillis * count,
        memoryMb: capacity.memoryMb * count,
        gpus: capacity.gpus * count,
    };
    const waiting: WaitingGroup[] = [];
    const placed: PlacedGroup[] = [];
    for (const simulated of groups) {
        const { job } = simulated.owner;
        if (simulated.phase === "done") {
            continue;
        }
        const queue = workByQueue.get(job.queue)!;
        const scale = { meanCoreSeconds: queue.sum / queue.count, room };
        const { priority } = job.terms;
        const value = valueOf(job, job.terms, scale, job.acceptedAtMs);
        const { isGuaranteed } = simulated.owner;
        const shared = { job, group: simulated.group, isGuaranteed, priority, value };
        if (simulated.phase === "waiting") {
            const neededSpeed = neededSpeedOf(simulated.group.step, value, nowMs);
            waiting.push({ ...shared, failedOn: new Set(), takesAnyRoom: false, neededSpeed });
            continue;
        }
        const isClosing = simulated.phase === "stopping";
        occupyResources(views, simulated, isClosing);
        const leavesInMs = groupLeavesInMs(departures, simulated, nowMs);
        placed.push({ ...shared, isClosing, leavesInMs, ...progressOf(simulated, nowMs) });
    }
    return { nowMs, workers: [...views.values()], waiting, placed, farFactor: FAR_FACTOR };
}

function occupyResources(
    views: Map<string, WorkerView>,
    { group, owner, places }: SimulatedGroup,
    isClosing: boolean,
): void {
    const key = stepKey(owner.job.id, group);
    for (const { worker } of places) {
        const view = views.get(worker)!;
        view.free = subtractResources(view.free, group.step.resources);
        view.tasksByStep.set(key, (view.tasksByStep.get(key) ?? 0) + 1);
        if (isClosing) {
            view.closing = addResources(view.closing, group.step.resources);
        }
    }
}

/** Progress of a run as the planner sees it: from the estimate at first, later from the observed pace. */
function progressOf(
    simulated: SimulatedGroup,
    nowMs: number,
): Pick<PlacedGroup, "workers" | "remainingMs" | "lostCoreSeconds" | "lostMs"> {
    const { step } = simulated.group;
    const elapsedMs = nowMs - simulated.startedAtMs;
    const isPaceKnown = elapsedMs >= (simulated.endsAtMs - simulated.startedAtMs) * KNOWN_PACE_SHARE;
    const lostMs = step.checkpointing ? 0 : elapsedMs;
    return {
        workers: simulated.places.map(({ worker }) => worker),
        remainingMs: isPaceKnown ? simulated.endsAtMs - nowMs : Math.max(500, estimateOf(step) - elapsedMs),
        lostCoreSeconds: (coreEquivalents(step.resources) * simulated.places.length * lostMs) / 1_000,
        lostMs,
    };
}
