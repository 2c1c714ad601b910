import { addResources, NO_RESOURCES, subtractResources } from "@tanagerdeck/decisions/job/jobTypes";
import { taskGroupsOf, type TaskGroup } from "@tanagerdeck/decisions/job/taskGroups";
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
import type { RoundInput } from "@tanagerdeck/decisions/schedule/schedulingRound";
import type { Deployment, PlanJob } from "./planWorkload.ts";

/** Decides which waiting groups start and which placed ones give way. */
export type PlanPolicy = (input: RoundInput) => Decision[];

/** What one run of the loop measured. */
export interface PlanResult {
    /** Worth earned by worth owed. */
    worth: number;
    /** Work that stops threw away, by work owed. */
    wasted: number;
    stops: number;
    /** Processor time of the longest round, in milliseconds. */
    longestRoundMs: number;
}

interface LoopGroup {
    owner: PlanJob;
    group: TaskGroup;
    places: TaskPlace[];
    /** Work that is left, as time near the data. */
    leftMs: number;
    startedAtMs: number;
    factor: number;
    phase: "waiting" | "running" | "stopping" | "done";
    endsAtMs: number;
}

const FAR_FACTOR = 3;
const STOP_MS = 600;
const ROUND_MS = 250;
/** Late completions are worth something up to this many objectives. */
const LATE_OBJECTIVES = 3;
/** Part of the work from which on the pace shows the true duration. */
const TELLING_PART = 0.1;

/** Runs the jobs to their end under a policy. Nothing is simulated but arrivals, ends and stops. */
export function runPlan(deployment: Deployment, jobs: PlanJob[], policy: PlanPolicy): PlanResult {
    const workers = workersOf(deployment);
    const groups: LoopGroup[] = [];
    const result: PlanResult = { worth: 0, wasted: 0, stops: 0, longestRoundMs: 0 };
    let owed = 0;
    let owedWork = 0;
    let arrived = 0;
    let nowMs = 0;
    const open = new Map<PlanJob, number>();
    while (arrived < jobs.length || open.size > 0) {
        for (; arrived < jobs.length && jobs[arrived]!.job.acceptedAtMs <= nowMs; arrived++) {
            const owner = jobs[arrived]!;
            const added = groupsOf(owner);
            groups.push(...added);
            open.set(owner, added.length);
            owed += owner.worth;
            owedWork += expectedCoreSeconds(owner.job.steps);
        }
        settle(groups, nowMs, owner => {
            const left = open.get(owner)! - 1;
            open.set(owner, left);
            if (left === 0) {
                open.delete(owner);
                result.worth += earnedBy(owner, nowMs);
            }
        });
        const input = inputOf(workers, groups, jobs.slice(0, arrived), deployment, nowMs);
        const startedAt = performance.now();
        const decisions = policy(input);
        result.longestRoundMs = Math.max(result.longestRoundMs, performance.now() - startedAt);
        for (const decision of decisions) {
            result.wasted += apply(groups, decision, nowMs);
            result.stops += decision.kind === "preempt" ? 1 : 0;
        }
        nowMs = nextTime(groups, jobs[arrived]?.job.acceptedAtMs, nowMs);
    }
    return { ...result, worth: result.worth / owed, wasted: result.wasted / owedWork };
}

function workersOf({ workers, workersPerRack, capacity }: Deployment): WorkerView[] {
    return Array.from({ length: workers }, (_, number) => ({
        name: `w${number}`,
        service: "desk",
        rack: `r${Math.floor(number / workersPerRack)}`,
        labels: [],
        capacity,
        free: capacity,
        closing: NO_RESOURCES,
        isSchedulable: true,
        recentFaults: 0,
        tasksByStep: new Map(),
    }));
}

function groupsOf(owner: PlanJob): LoopGroup[] {
    return taskGroupsOf(owner.job, 0).map(group => ({
        owner,
        group,
        places: [],
        leftMs: owner.taskMs[group.stepIndex]![group.indexes[0]!]!,
        startedAtMs: 0,
        factor: 1,
        phase: "waiting",
        endsAtMs: Infinity,
    }));
}

function settle(groups: LoopGroup[], nowMs: number, done: (owner: PlanJob) => void): void {
    for (const loop of groups) {
        if (loop.endsAtMs > nowMs) {
            continue;
        }
        const isDone = loop.phase === "running";
        loop.phase = isDone ? "done" : "waiting";
        loop.places = [];
        loop.endsAtMs = Infinity;
        if (isDone) {
            done(loop.owner);
        }
    }
}

function earnedBy({ job, objectiveMs, worth, lateWorth }: PlanJob, nowMs: number): number {
    const tookMs = nowMs - job.acceptedAtMs;
    if (tookMs <= objectiveMs) {
        return worth;
    }
    return tookMs <= LATE_OBJECTIVES * objectiveMs ? lateWorth : 0;
}

function nextTime(groups: LoopGroup[], arrivalMs: number | undefined, nowMs: number): number {
    let next = arrivalMs ?? Infinity;
    for (const { endsAtMs, phase } of groups) {
        next = Math.min(next, phase === "waiting" ? nowMs + ROUND_MS : endsAtMs);
    }
    return next;
}

/** Carries a decision out and returns the core-seconds that it throws away. */
function apply(groups: LoopGroup[], decision: Decision, nowMs: number): number {
    const loop = groups.find(
        ({ owner, group }) => owner.job.id === decision.job && group.key === decision.group,
    )!;
    if (decision.kind === "place") {
        loop.places = decision.places;
        loop.factor = decision.isFar ? FAR_FACTOR : 1;
        loop.phase = "running";
        loop.startedAtMs = nowMs;
        loop.endsAtMs = nowMs + loop.leftMs * loop.factor;
        return 0;
    }
    const workedMs = nowMs - loop.startedAtMs;
    loop.phase = "stopping";
    loop.endsAtMs = nowMs + STOP_MS;
    if (loop.group.step.checkpointing) {
        loop.leftMs -= workedMs / loop.factor;
        return 0;
    }
    return (coreEquivalents(loop.group.step.resources) * loop.places.length * workedMs) / 1_000;
}

function inputOf(
    workers: WorkerView[],
    groups: LoopGroup[],
    known: PlanJob[],
    { workers: count, capacity }: Deployment,
    nowMs: number,
): RoundInput {
    const views = new Map(workers.map(view => [view.name, { ...view, tasksByStep: new Map() }]));
    const work = new Map<string, { sum: number; count: number }>();
    for (const { job } of known) {
        const { sum, count: earlier } = work.get(job.queue) ?? { sum: 0, count: 0 };
        work.set(job.queue, { sum: sum + expectedCoreSeconds(job.steps), count: earlier + 1 });
    }
    const room = {
        cpuMillis: capacity.cpuMillis * count,
        memoryMb: capacity.memoryMb * count,
        gpus: capacity.gpus * count,
    };
    const waiting: WaitingGroup[] = [];
    const placed: PlacedGroup[] = [];
    for (const loop of groups) {
        const { job } = loop.owner;
        if (loop.phase === "done") {
            continue;
        }
        const queue = work.get(job.queue)!;
        const scale = { meanCoreSeconds: queue.sum / queue.count, room };
        const { priority } = job.terms;
        const value = valueOf(job, job.terms, scale, job.acceptedAtMs);
        const { isGuaranteed } = loop.owner;
        const shared = { job, group: loop.group, isGuaranteed, priority, value };
        if (loop.phase === "waiting") {
            waiting.push({ ...shared, failedOn: new Set() });
            continue;
        }
        const isClosing = loop.phase === "stopping";
        occupy(views, loop, isClosing);
        placed.push({ ...shared, isClosing, ...progressOf(loop, nowMs) });
    }
    return { nowMs, workers: [...views.values()], waiting, placed, farFactor: FAR_FACTOR };
}

function occupy(
    views: Map<string, WorkerView>,
    { group, owner, places }: LoopGroup,
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

/** What the planner knows of a run: its pace once some of the work is done, the estimate before. */
function progressOf(
    loop: LoopGroup,
    nowMs: number,
): Pick<PlacedGroup, "workers" | "remainingMs" | "lostCoreSeconds" | "lostMs"> {
    const { step } = loop.group;
    const elapsedMs = nowMs - loop.startedAtMs;
    const isTelling = elapsedMs >= (loop.endsAtMs - loop.startedAtMs) * TELLING_PART;
    const lostMs = step.checkpointing ? 0 : elapsedMs;
    return {
        workers: loop.places.map(({ worker }) => worker),
        remainingMs: isTelling ? loop.endsAtMs - nowMs : Math.max(500, estimateOf(step) - elapsedMs),
        lostCoreSeconds: (coreEquivalents(step.resources) * loop.places.length * lostMs) / 1_000,
        lostMs,
    };
}
