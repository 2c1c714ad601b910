import { addResources, NO_RESOURCES, subtractResources, type Resources } from "../job/jobTypes.ts";
import { closeRun, groupProgress, openRun } from "../job/progressChange.ts";
import type { Placement } from "../job/progressTypes.ts";
import { dueAtMs, type TaskGroup } from "../job/taskGroups.ts";
import type { QueueTerms } from "../job/jobTypes.ts";
import { guaranteedJobs } from "../schedule/guarantees.ts";
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
    type WorkerEntry,
} from "./planBook.ts";

/** What a round needs to know besides the book. */
export interface RoundContext {
    /** The leader's monotonic and wall clocks in milliseconds. */
    now: number;
    wallMs: number;
    termsOf: (entry: JobEntry) => QueueTerms;
    guaranteedGpus: (clientAccount: string) => number;
}

/** Silence after which a worker takes no new tasks. */
const UNHEARD_MS = 1_700;
/** For how long a failure counts against a worker. */
const FAULT_MEMORY_MS = 10_000;

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
    const waiting: WaitingGroup[] = [];
    for (const { entry, terms } of open) {
        for (const group of entry.groups) {
            if (isReady(entry, group, context.wallMs)) {
                const { failures } = groupProgress(entry.progress, group.key);
                waiting.push({
                    job: entry.job,
                    group,
                    isGuaranteed: guaranteed.has(entry.job.id),
                    priority: terms.priority,
                    sinceMs: Math.max(entry.job.acceptedAtMs, dueAtMs(entry.job, group.occurrence)),
                    failures,
                    attempts: terms.attempts,
                });
            }
        }
    }
    return {
        workers: workerViews(book, context),
        waiting,
        placed: placedGroups(book, guaranteed, context),
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
            isOpen: isOpen(worker, now),
            suspicion: worker.faults.filter(at => now - at < FAULT_MEMORY_MS).length,
            tasksByStep: sums?.steps ?? new Map(),
        });
    }
    return views;
}

/** A worker with runs that the leader cannot account for takes nothing until they are stopped. */
function isOpen(worker: WorkerEntry, now: number): boolean {
    const isHeard = worker.hasReported && now - worker.heardAt < UNHEARD_MS;
    return isHeard && worker.description?.condition === "ready" && worker.strays.length === 0;
}

function placedGroups(book: PlanBook, guaranteed: Set<string>, context: RoundContext): PlacedGroup[] {
    const placed: PlacedGroup[] = [];
    for (const entry of book.jobs.values()) {
        for (const group of entry.groups) {
            const run = entry.runs.get(group.key);
            if (!run) {
                continue;
            }
            const progress = groupProgress(entry.progress, group.key);
            const size = group.step.resources.gpus * 8_000 + group.step.resources.cpuMillis;
            const elapsedMs = group.step.checkpointing ? 0 : context.now - run.openedAt;
            placed.push({
                job: entry.job,
                group,
                isGuaranteed: guaranteed.has(entry.job.id),
                priority: context.termsOf(entry).priority,
                workers: progress.placements.map(placement => placement.worker),
                isClosing: progress.phase !== "placed" || isClosed(entry),
                lossMs: (elapsedMs * size * progress.placements.length) / 1_000,
            });
        }
    }
    return placed;
}

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
    const placements: Placement[] = [];
    for (const { index, worker } of decision.places) {
        const boot = book.workers.get(worker)?.description?.boot;
        if (!boot) {
            return;
        }
        placements.push({ index, worker, boot });
    }
    changeGroup(entry, decision.group, openRun(progress, placements));
    entry.runs.set(decision.group, { version: entry.version, openedAt: now, tasks: new Map() });
}
