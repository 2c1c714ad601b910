import { addResources, NO_RESOURCES, subtractResources, type Resources } from "../job/jobTypes.ts";
import { closeRun, groupProgress, openRun } from "../job/progressChange.ts";
import type { TaskPlacement } from "../job/progressTypes.ts";
import { dueAtMs, type TaskGroup } from "../job/taskGroups.ts";
import type { QueueTerms } from "../job/jobTypes.ts";
import { guaranteedJobs } from "../schedule/guarantees.ts";
import { coresOf, estimateOf, valueOf, type JobValue } from "../schedule/jobValue.ts";
import {
    stepKey,
    type Decision,
    type PlacedGroup,
    type WaitingGroup,
    type WorkerView,
} from "../schedule/scheduleTypes.ts";
import type { RoundInput } from "../schedule/schedulingRound.ts";
import {
    changeGroup,
    isClosed,
    openPlacements,
    type JobEntry,
    type PlanBook,
    type RunWatch,
    type WorkerEntry,
} from "./planBook.ts";

import { isQuarantineCredible, isQuarantined, suspicionOf } from "./workerTrust.ts";

/** What a round needs to know besides the book. */
export interface RoundContext {
    /** The leader's monotonic and wall clocks in milliseconds. */
    now: number;
    wallMs: number;
    termsOf: (entry: JobEntry) => QueueTerms;
    guaranteedGpus: (clientAccount: string) => number;
    farFactor: number;
}

/** Silence after which a worker takes no new tasks. */
const UNHEARD_MS = 1_700;

/** Prepares a round from the book. */
export function roundInput(book: PlanBook, context: RoundContext): RoundInput {
    const open: { entry: JobEntry; terms: QueueTerms }[] = [];
    for (const entry of book.jobs.values()) {
        if (!isClosed(entry)) {
            open.push({ entry, terms: context.termsOf(entry) });
        }
    }
    const guaranteed = guaranteedJobs(
        open.map(({ entry, terms }) => ({ job: entry.job, priority: terms.priority })),
        context.guaranteedGpus,
    );
    const values = valuesOf(book, context);
    const waiting: WaitingGroup[] = [];
    for (const { entry, terms } of open) {
        for (const group of entry.groups) {
            if (isReady(entry, group, context.wallMs)) {
                waiting.push({
                    job: entry.job,
                    group,
                    isGuaranteed: guaranteed.has(entry.job.id),
                    priority: terms.priority,
                    value: values(entry, group),
                    failedOn: entry.failedOn.get(group.key) ?? NO_WORKERS,
                });
            }
        }
    }
    return {
        nowMs: context.wallMs,
        workers: workerViews(book, context),
        waiting,
        placed: placedGroups(book, guaranteed, values, context),
        farFactor: context.farFactor,
    };
}

const NO_WORKERS: ReadonlySet<string> = new Set();

type Values = (entry: JobEntry, group: TaskGroup) => JobValue;

/** Values of the jobs, measured against the mean work of their queue's jobs and the room of their service. */
function valuesOf(book: PlanBook, context: RoundContext): Values {
    const sums = new Map<string, { work: number; count: number }>();
    for (const { job, work } of book.jobs.values()) {
        const sum = sums.get(job.queue) ?? { work: 0, count: 0 };
        sum.work += work;
        sum.count += 1;
        sums.set(job.queue, sum);
    }
    const rooms = new Map<string, Resources>();
    for (const { description } of book.workers.values()) {
        if (description) {
            const room = rooms.get(description.service) ?? NO_RESOURCES;
            rooms.set(description.service, addResources(room, description.capacity));
        }
    }
    return (entry, group) => {
        const { job } = entry;
        const sum = sums.get(job.queue);
        const sinceMs = Math.max(job.acceptedAtMs, dueAtMs(job, group.occurrence));
        const meanWork = sum ? sum.work / sum.count : 0;
        const room = rooms.get(job.service) ?? NO_RESOURCES;
        return valueOf(job, context.termsOf(entry), { meanWork, room }, sinceMs);
    };
}

/** Whether a group may start now: it waits, its time has come and the steps before it are done. */
function isReady(entry: JobEntry, group: TaskGroup, wallMs: number): boolean {
    if (groupProgress(entry.progress, group.key).phase !== "waiting") {
        return false;
    }
    if (dueAtMs(entry.job, group.occurrence) > wallMs) {
        return false;
    }
    if (group.step.after.length === 0) {
        return true;
    }
    for (const other of entry.groups) {
        const isBefore = other.occurrence === group.occurrence && group.step.after.includes(other.stepIndex);
        if (isBefore && groupProgress(entry.progress, other.key).phase !== "done") {
            return false;
        }
    }
    return true;
}

function workerViews(book: PlanBook, { now }: RoundContext): WorkerView[] {
    const used = new Map<string, { open: Resources; closing: Resources; steps: Map<string, number> }>();
    for (const { entry, group, progress, placement } of openPlacements(book)) {
        const sums = used.get(placement.worker) ?? {
            open: NO_RESOURCES,
            closing: NO_RESOURCES,
            steps: new Map<string, number>(),
        };
        const { resources } = group.step;
        if (progress.phase === "placed" && !isClosed(entry)) {
            sums.open = addResources(sums.open, resources);
        } else {
            sums.closing = addResources(sums.closing, resources);
        }
        const key = stepKey(entry.job.id, group);
        sums.steps.set(key, (sums.steps.get(key) ?? 0) + 1);
        used.set(placement.worker, sums);
    }
    const quarantined = quarantinedWorkers(book, now);
    const views: WorkerView[] = [];
    for (const worker of book.workers.values()) {
        const { description } = worker;
        if (!description) {
            continue;
        }
        const sums = used.get(worker.name);
        const closing = sums?.closing ?? NO_RESOURCES;
        const taken = addResources(sums?.open ?? NO_RESOURCES, closing);
        views.push({
            name: worker.name,
            service: description.service,
            rack: description.rack,
            labels: description.labels,
            capacity: description.capacity,
            free: subtractResources(description.capacity, taken),
            closing,
            isOpen: isOpen(worker, now) && !quarantined.has(worker.name),
            suspicion: suspicionOf(worker.faults, now),
            tasksByStep: sums?.steps ?? new Map(),
        });
    }
    return views;
}

/** The workers that fail what they are given, unless there are too many of them to be at fault. */
export function quarantinedWorkers(book: PlanBook, now: number): Set<string> {
    const busy = new Set<string>();
    for (const { placement } of openPlacements(book)) {
        busy.add(placement.worker);
    }
    const names = new Set<string>();
    for (const { name, faults } of book.workers.values()) {
        if (isQuarantined(faults, busy.has(name), now)) {
            names.add(name);
        }
    }
    return isQuarantineCredible(names.size, book.workers.size) ? names : new Set();
}

/** A worker with runs that the leader cannot account for takes nothing until they are stopped. */
function isOpen(worker: WorkerEntry, now: number): boolean {
    const isHeard = worker.hasReported && now - worker.heardAt < UNHEARD_MS;
    return isHeard && worker.description?.condition === "ready" && worker.strays.length === 0;
}

function placedGroups(
    book: PlanBook,
    guaranteed: Set<string>,
    values: Values,
    context: RoundContext,
): PlacedGroup[] {
    const placed: PlacedGroup[] = [];
    for (const entry of book.jobs.values()) {
        for (const group of entry.groups) {
            const run = entry.runs.get(group.key);
            if (!run) {
                continue;
            }
            const progress = groupProgress(entry.progress, group.key);
            const lostMs = group.step.checkpointing ? 0 : context.now - run.openedAt;
            const cores = coresOf(group.step.resources) * progress.placements.length;
            placed.push({
                job: entry.job,
                group,
                isGuaranteed: guaranteed.has(entry.job.id),
                priority: context.termsOf(entry).priority,
                workers: progress.placements.map(placement => placement.worker),
                isClosing: progress.phase !== "placed" || isClosed(entry),
                value: values(entry, group),
                remainingMs: remainingOf(group, run, context.now),
                lostCoreSeconds: (cores * lostMs) / 1_000,
                lostMs,
            });
        }
    }
    return placed;
}

/** Share of the work from which on the pace so far tells more than the submitter's estimate. */
const TELLING_PERCENT = 10;

/** Expected time until a run ends, from its slowest task. */
function remainingOf({ step }: TaskGroup, run: RunWatch, now: number): number {
    const elapsedMs = now - run.openedAt;
    let percent = 100;
    for (const task of run.tasks.values()) {
        percent = Math.min(percent, task.percent);
    }
    if (run.tasks.size > 0 && percent >= TELLING_PERCENT) {
        return (elapsedMs * (100 - percent)) / percent;
    }
    return Math.max(LEAST_REMAINING_MS, estimateOf(step) - elapsedMs);
}

const LEAST_REMAINING_MS = 500;

/** Carries a round's decision into the book. */
export function applyDecision(book: PlanBook, decision: Decision, now: number): void {
    const entry = book.jobs.get(decision.job);
    if (!entry) {
        return;
    }
    const progress = groupProgress(entry.progress, decision.group);
    if (decision.kind === "preempt") {
        changeGroup(entry, decision.group, closeRun(progress));
        return;
    }
    const placements: TaskPlacement[] = [];
    for (const { index, worker } of decision.places) {
        const boot = book.workers.get(worker)?.description?.boot;
        if (!boot) {
            return;
        }
        placements.push({ index, worker, boot });
    }
    changeGroup(entry, decision.group, openRun(progress, placements));
    entry.runs.set(decision.group, {
        version: entry.version,
        openedAt: now,
        tasks: new Map(),
        hasStarted: false,
    });
}
