import { addResources, NO_RESOURCES, subtractResources, type Resources } from "../job/jobTypes.ts";
import { groupLeavesInMs, leavingWorkers, noteMove } from "../departure/leavingWorkers.ts";
import { closeRun, groupProgress, openRun } from "../job/progressChange.ts";
import type { TaskPlacement } from "../job/progressTypes.ts";
import { dueAtMs, type TaskGroup } from "../job/taskGroups.ts";
import type { QueueTerms } from "../job/jobTypes.ts";
import { guaranteedJobs } from "../schedule/guarantees.ts";
import { coreEquivalents, valueOf, type JobValue } from "../schedule/jobValue.ts";
import {
    stepKey,
    type Decision,
    type PlacedGroup,
    type WaitingGroup,
    type WorkerView,
} from "../schedule/scheduleTypes.ts";
import type { RoundInput } from "../schedule/schedulingRound.ts";
import { refreshSpeeds, slowestSpeed, speedViewOf } from "../speed/speedEstimate.ts";
import { neededSpeedOf } from "../speed/sufficientSpeed.ts";
import {
    updateGroup,
    isCancelledOrEnded,
    openPlacements,
    type JobEntry,
    type ClusterState,
    type WorkerEntry,
} from "./clusterState.ts";
import { isEvacuated } from "./evacuatedWorkers.ts";
import { idleServices, isIdleForLong, noteIdleTime } from "./idleness.ts";
import { readyGroups, type ReadyContext } from "./readyGroups.ts";
import { expectedRemainingMs } from "./remainingTime.ts";
import { isSeparated, workersOfStartingSuspects } from "./suspectGroups.ts";
import { isQuarantineAllowed, isQuarantined, countRecentFaults } from "./workerQuarantine.ts";

/** Inputs of a scheduling round besides the cluster state. */
export interface RoundContext extends ReadyContext {
    termsOf: (entry: JobEntry) => QueueTerms;
    guaranteedGpus: (clientAccount: string) => number;
    /** How many times slower tasks run far from their data or from each other. */
    farFactor: number;
}

/** Time without a report after which a worker gets no new tasks. */
const REPORT_TIMEOUT_MS = 1_700;

/** Builds the input of a scheduling round from the cluster state, and notes in it since when each job has been idle. */
export function buildRoundInput(cluster: ClusterState, context: RoundContext): RoundInput {
    const openJobs: { entry: JobEntry; terms: QueueTerms }[] = [];
    for (const entry of cluster.jobs.values()) {
        if (!isCancelledOrEnded(entry) && !entry.isUnreadable) {
            openJobs.push({ entry, terms: context.termsOf(entry) });
        }
    }
    const guaranteed = guaranteedJobs(
        openJobs.map(({ entry, terms }) => ({ job: entry.job, priority: terms.priority })),
        context.guaranteedGpus,
    );
    refreshSpeeds(cluster.speeds, context.now);
    const lookUpValue = createValueLookup(cluster, context);
    const startingSuspects = workersOfStartingSuspects(cluster, context.now);
    const idle = idleServices(cluster);
    const waiting: WaitingGroup[] = [];
    const withheld = new Map<string, number>();
    for (const { entry, terms } of openJobs) {
        const ready = readyGroups(entry, context);
        if (ready.withheld > 0) {
            withheld.set(entry.job.id, ready.withheld);
        }
        noteIdleTime(entry, ready.groups.length > 0, context.now);
        const isOverdue = idle.has(entry.job.service) && isIdleForLong(entry, context.now);
        for (const group of ready.groups) {
            const value = lookUpValue(entry, group);
            waiting.push({
                job: entry.job,
                group,
                isGuaranteed: guaranteed.has(entry.job.id),
                priority: terms.priority,
                value,
                neededSpeed: neededSpeedOf(group.step, value, context.wallMs),
                failedOn: workersToAvoid(entry, group, startingSuspects, context.now),
                // A long-running task earns for each second at work, wherever it runs.
                takesAnyRoom: group.step.longRunning || isOverdue,
            });
        }
    }
    return {
        nowMs: context.wallMs,
        workers: workerViews(cluster, context),
        waiting,
        withheld,
        placed: placedGroups(cluster, guaranteed, lookUpValue, context),
        farFactor: context.farFactor,
    };
}

const NO_WORKERS: ReadonlySet<string> = new Set();

/**
 * Time for which a group that has failed on a worker avoids it. The worker may be faulty and would use up the job's
 * attempts; but the others may stay in use for any time, so the group must not wait for them for good.
 */
const AVOID_FAILED_WORKER_MS = 2_000;

/** Workers on which the group has just failed, and for a suspect also those on which another one is starting. */
function workersToAvoid(
    entry: JobEntry,
    group: TaskGroup,
    startingSuspects: ReadonlySet<string>,
    now: number,
): ReadonlySet<string> {
    const failures = entry.failedOn.get(group.key);
    const avoidsStarting = startingSuspects.size > 0 && isSeparated(entry, group, now);
    if (!failures && !avoidsStarting) {
        return NO_WORKERS;
    }
    const avoided = new Set<string>();
    for (const [worker, failedAt] of failures ?? []) {
        if (now - failedAt < AVOID_FAILED_WORKER_MS) {
            avoided.add(worker);
        }
    }
    return avoidsStarting ? new Set([...avoided, ...startingSuspects]) : avoided;
}

type ValueLookup = (entry: JobEntry, group: TaskGroup) => JobValue;

/**
 * Returns a function that computes the value of each occurrence of a job once, from the mean work of the queue's jobs
 * and the total capacity of the service outside of evacuated zones.
 */
function createValueLookup(cluster: ClusterState, context: RoundContext): ValueLookup {
    const sums = new Map<string, { work: number; count: number }>();
    for (const { job, workCoreSeconds } of cluster.jobs.values()) {
        const sum = sums.get(job.queue) ?? { work: 0, count: 0 };
        sum.work += workCoreSeconds;
        sum.count += 1;
        sums.set(job.queue, sum);
    }
    const capacityByService = new Map<string, Resources>();
    for (const worker of cluster.workers.values()) {
        const { description } = worker;
        if (description && !isEvacuated(cluster, worker)) {
            const serviceCapacity = capacityByService.get(description.service) ?? NO_RESOURCES;
            capacityByService.set(description.service, addResources(serviceCapacity, description.capacity));
        }
    }
    const values = new Map<string, JobValue>();
    return (entry, group) => {
        const { job } = entry;
        const key = `${job.id}.${group.occurrence}`;
        const known = values.get(key);
        if (known) {
            return known;
        }
        const sum = sums.get(job.queue);
        const dueOrAcceptedAtMs = Math.max(job.acceptedAtMs, dueAtMs(job, group.occurrence));
        const meanCoreSeconds = sum ? sum.work / sum.count : 0;
        const serviceCapacity = capacityByService.get(job.service) ?? NO_RESOURCES;
        // `room` is the service's total capacity, not what is free.
        const scale = { meanCoreSeconds, room: serviceCapacity };
        const value = valueOf(job, context.termsOf(entry), scale, dueOrAcceptedAtMs);
        values.set(key, value);
        return value;
    };
}

/** Describes the workers. `open` is the capacity that current runs use, `closing` that of runs being stopped. */
function workerViews(cluster: ClusterState, { now }: RoundContext): WorkerView[] {
    const usageByWorker = new Map<
        string,
        { open: Resources; closing: Resources; steps: Map<string, number> }
    >();
    for (const { entry, group, progress, placement } of openPlacements(cluster)) {
        const usage = usageByWorker.get(placement.worker) ?? {
            open: NO_RESOURCES,
            closing: NO_RESOURCES,
            steps: new Map<string, number>(),
        };
        const { resources } = group.step;
        if (progress.phase === "placed" && !isCancelledOrEnded(entry)) {
            usage.open = addResources(usage.open, resources);
        } else {
            usage.closing = addResources(usage.closing, resources);
        }
        const key = stepKey(entry.job.id, group);
        usage.steps.set(key, (usage.steps.get(key) ?? 0) + 1);
        usageByWorker.set(placement.worker, usage);
    }
    const quarantined = quarantinedWorkers(cluster, now);
    const views: WorkerView[] = [];
    for (const worker of cluster.workers.values()) {
        const { description } = worker;
        if (!description) {
            continue;
        }
        const usage = usageByWorker.get(worker.name);
        const closing = usage?.closing ?? NO_RESOURCES;
        const taken = addResources(usage?.open ?? NO_RESOURCES, closing);
        views.push({
            name: worker.name,
            service: description.service,
            rack: description.rack,
            labels: description.labels,
            capacity: description.capacity,
            free: subtractResources(description.capacity, taken),
            closing,
            isSchedulable: isSchedulable(worker, now) && !isEvacuated(cluster, worker),
            isQuarantined: quarantined.has(worker.name),
            recentFaults: countRecentFaults(worker.faults, now),
            isCold: (description.coldRemainingMs ?? 0) > 0,
            ...speedViewOf(cluster.speeds, worker.name, description.boot),
            tasksByStep: usage?.steps ?? new Map(),
        });
    }
    return views;
}

/** Names of quarantined workers; empty if so many workers have faults that the tasks are more likely the cause. */
export function quarantinedWorkers(cluster: ClusterState, now: number): Set<string> {
    const busy = new Set<string>();
    for (const [name, placements] of cluster.placements) {
        if (placements.size > 0) {
            busy.add(name);
        }
    }
    const names = new Set<string>();
    let idle: Set<string> | undefined;
    for (const { name, faults, description } of cluster.workers.values()) {
        if (faults.length === 0) {
            continue;
        }
        idle ??= idleServices(cluster);
        const load = { hasTasks: busy.has(name), isServiceIdle: idle.has(description?.service ?? "") };
        if (isQuarantined(faults, load, now)) {
            names.add(name);
        }
    }
    return isQuarantineAllowed(names.size, cluster.workers.size) ? names : new Set();
}

/** Whether the worker is ready and reports. A worker with stray runs gets no tasks until those runs have stopped. */
function isSchedulable(worker: WorkerEntry, now: number): boolean {
    const hasRecentReport = worker.hasReported && now - worker.lastReportAt < REPORT_TIMEOUT_MS;
    return hasRecentReport && worker.description?.condition === "ready" && worker.strayRuns.length === 0;
}

function placedGroups(
    cluster: ClusterState,
    guaranteed: Set<string>,
    lookUpValue: ValueLookup,
    context: RoundContext,
): PlacedGroup[] {
    const placed: PlacedGroup[] = [];
    const leaving = leavingWorkers(cluster, context.now);
    for (const entry of cluster.jobs.values()) {
        for (const [key, run] of entry.runs) {
            const group = entry.groupsByKey.get(key)!;
            const progress = groupProgress(entry.progress, key);
            const lostMs = group.step.checkpointing ? 0 : context.now - run.openedAt;
            const cores = coreEquivalents(group.step.resources) * progress.placements.length;
            placed.push({
                job: entry.job,
                group,
                isGuaranteed: guaranteed.has(entry.job.id),
                priority: context.termsOf(entry).priority,
                workers: progress.placements.map(placement => placement.worker),
                isClosing: progress.phase !== "placed" || isCancelledOrEnded(entry),
                value: lookUpValue(entry, group),
                remainingMs: expectedRemainingMs(group, run, context.now, () =>
                    slowestSpeed(cluster.speeds, progress.placements),
                ),
                leavesInMs: groupLeavesInMs(leaving, entry, key, context.now),
                lostCoreSeconds: (cores * lostMs) / 1_000,
                lostMs,
            });
        }
    }
    return placed;
}

/** Applies a round's decision to the cluster state. */
export function applyDecision(cluster: ClusterState, decision: Decision, now: number): void {
    const entry = cluster.jobs.get(decision.job);
    if (!entry) {
        // The job is no longer in the cluster state.
        return;
    }
    const progress = groupProgress(entry.progress, decision.group);
    if (decision.kind === "move") {
        noteMove(entry, decision.group, now);
    }
    if (decision.kind !== "place") {
        updateGroup(cluster, entry, decision.group, closeRun(progress));
        return;
    }
    const placements: TaskPlacement[] = [];
    for (const { index, worker } of decision.places) {
        const boot = cluster.workers.get(worker)?.description?.boot;
        if (!boot) {
            // A placement names the worker's boot, so the group is not placed while the boot is unknown.
            return;
        }
        placements.push({ index, worker, boot });
    }
    updateGroup(cluster, entry, decision.group, openRun(progress, placements));
    entry.runs.set(decision.group, {
        version: entry.version,
        openedAt: now,
        tasks: new Map(),
        hasStarted: false,
    });
}
