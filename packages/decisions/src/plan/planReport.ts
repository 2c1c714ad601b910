import { closeRun, applyTaskEnd, groupProgress } from "../job/progressChange.ts";
import { sameBoot, type Boot, type TaskEnd } from "../job/progressTypes.ts";
import { groupKeyOf, parseTaskName, taskName, type TaskGroup } from "../job/taskGroups.ts";
import { runKey, type EndedTask, type RunName, type SyncReport } from "../worker/workerReport.ts";
import {
    changeGroup,
    noteFault,
    openPlacements,
    rulesOf,
    type JobEntry,
    type PlanBook,
    type WorkerEntry,
} from "./planBook.ts";

/** Something noteworthy that a report or a timer brought about. */
export interface PlanEvent {
    kind: "started" | "all-started" | "ended" | "closed" | "refused" | "stray";
    job: string;
    task: string;
    run: number;
    worker: string;
    detail?: string | undefined;
}

/** A task of a report, found in the book. */
interface FoundTask {
    entry: JobEntry;
    group: TaskGroup;
    index: number;
}

/** Applies an agent's report to the book and tells what happened. */
export function applyReport(
    book: PlanBook,
    worker: WorkerEntry,
    report: SyncReport,
    now: number,
): PlanEvent[] {
    const events: PlanEvent[] = [];
    const before = worker.description?.boot;
    worker.report = report;
    worker.heardAt = now;
    worker.hasReported = true;
    if (report.worker) {
        worker.description = report.worker;
        if (before && !sameBoot(before, report.worker.boot)) {
            worker.ends.clear();
        }
    } else if (worker.description) {
        worker.description = { ...worker.description, condition: "gone" };
    }
    const boot = report.worker?.boot;
    const known = new Set(worker.strays.map(runKey));
    worker.strays = [];
    for (const row of report.running) {
        noteRunning({ book, worker, boot, known, now, events }, row);
    }
    for (const row of report.ended) {
        noteEnded({ book, worker, boot, known, now, events }, row);
    }
    for (const { run, state } of report.starts) {
        if (state.kind === "refused") {
            noteRefused(book, worker, run, state.reason, now, events);
        }
    }
    for (const { run, state } of report.stops) {
        if (state.kind === "closed") {
            closeTask(book, worker, run, events);
        }
    }
    closeOtherBoots(book, worker, events);
    return events;
}

/** What the rows of a report are applied with. */
interface RowContext {
    book: PlanBook;
    worker: WorkerEntry;
    boot: Boot | undefined;
    /** Strays of the report before. */
    known: Set<string>;
    now: number;
    events: PlanEvent[];
}

function noteRunning(context: RowContext, row: SyncReport["running"][number]): void {
    const { book, worker, boot, known, now, events } = context;
    const found = findTask(book, row);
    const progress = found && groupProgress(found.entry.progress, found.group.key);
    const placement = progress?.placements.find(open => open.index === found?.index);
    const isOurs =
        found &&
        progress?.run === row.run &&
        placement?.worker === worker.name &&
        (!boot || sameBoot(placement.boot, boot));
    if (!isOurs) {
        worker.strays.push({ task: row.task, run: row.run });
        if (!known.has(runKey(row))) {
            events.push(eventOf("stray", worker, row, parseTaskName(row.task)?.job ?? ""));
        }
        return;
    }
    const run = found.entry.runs.get(found.group.key);
    const watch = run?.tasks.get(found.index);
    if (!run) {
        return;
    }
    if (!watch) {
        run.tasks.set(found.index, { percent: row.percent, progressedAt: now, saved: row.saved });
        events.push(eventOf("started", worker, row, found.entry.job.id));
        if (run.tasks.size === progress.placements.length && !run.hasStarted) {
            run.hasStarted = true;
            events.push(eventOf("all-started", worker, row, found.entry.job.id));
        }
    } else {
        watch.saved = row.saved ?? watch.saved;
        if (row.percent > watch.percent) {
            watch.percent = row.percent;
            watch.progressedAt = now;
        }
    }
    if (!found.entry.progress.begun) {
        found.entry.progress = { ...found.entry.progress, begun: true };
        found.entry.version += 1;
    }
}

function noteEnded({ book, worker, boot, now, events }: RowContext, row: EndedTask): void {
    if (worker.ends.has(row.number)) {
        return;
    }
    const found = findTask(book, row);
    if (!found) {
        worker.ends.set(row.number, { job: undefined, version: 0 });
        return;
    }
    const { entry } = found;
    const progress = groupProgress(entry.progress, found.group.key);
    const placement = progress.placements.find(open => open.index === found.index);
    const isOurs = placement?.worker === worker.name && (!boot || sameBoot(placement.boot, boot));
    if (isOurs && applyEnd(found, { ...row, end: row.end })) {
        events.push({ ...eventOf("ended", worker, row, entry.job.id), detail: row.end });
        noteTrust(worker, found, row.end, now);
        if (!entry.progress.begun) {
            entry.progress = { ...entry.progress, begun: true };
        }
    }
    worker.ends.set(row.number, { job: entry.job.id, version: entry.version });
}

/** A failed run may be the worker's fault; a completed one speaks for it. */
function noteTrust(worker: WorkerEntry, { entry, group }: FoundTask, end: TaskEnd, now: number): void {
    if (end === "failed") {
        noteFault(worker, entry, group.key, { now, isStall: false });
    } else if (end === "done") {
        worker.faults = [];
    }
}

function noteRefused(
    book: PlanBook,
    worker: WorkerEntry,
    run: RunName,
    reason: string,
    now: number,
    events: PlanEvent[],
): void {
    const found = findTask(book, run);
    if (!found) {
        return;
    }
    const progress = groupProgress(found.entry.progress, found.group.key);
    if (progress.run !== run.run || progress.phase !== "placed") {
        return;
    }
    if (reason === "unhealthy") {
        noteFault(worker, found.entry, found.group.key, { now, isStall: false });
    }
    changeGroup(found.entry, found.group.key, closeRun(progress));
    events.push({ ...eventOf("refused", worker, run, found.entry.job.id), detail: reason });
}

/** Takes a run that can no longer be running as ended. */
function closeTask(book: PlanBook, worker: WorkerEntry, run: RunName, events: PlanEvent[]): void {
    const found = findTask(book, run);
    if (!found) {
        return;
    }
    const progress = groupProgress(found.entry.progress, found.group.key);
    const isListed = worker.report?.ended.some(row => runKey(row) === runKey(run));
    if (isListed || !progress.placements.some(open => isAt(open, worker, found.index))) {
        return;
    }
    const saved = found.entry.runs.get(found.group.key)?.tasks.get(found.index)?.saved;
    if (applyEnd(found, { index: found.index, run: run.run, end: "lost", saved })) {
        events.push(eventOf("closed", worker, run, found.entry.job.id));
    }
}

function isAt(open: { index: number; worker: string }, worker: WorkerEntry, index: number): boolean {
    return open.index === index && open.worker === worker.name;
}

/** Runs of an earlier boot are gone; their groups close, and the agent keeps them from starting late. */
function closeOtherBoots(book: PlanBook, worker: WorkerEntry, events: PlanEvent[]): void {
    const { description } = worker;
    if (!description) {
        return;
    }
    for (const { entry, group, progress, placement } of [...openPlacements(book, worker.name)]) {
        if (!sameBoot(placement.boot, description.boot)) {
            changeGroup(entry, group.key, closeRun(groupProgress(entry.progress, group.key)));
            continue;
        }
        if (description.hasLapsed) {
            const run = nameOfTask(entry, group, placement.index, progress.run);
            closeTask(book, worker, run, events);
        }
    }
}

/** Takes everything as ended on workers that have not been heard of for so long that all leases have run out. */
export function closeUnheard(book: PlanBook, closedAfterMs: number, now: number): PlanEvent[] {
    const events: PlanEvent[] = [];
    for (const { entry, group, placement, progress } of [...openPlacements(book)]) {
        const worker = book.workers.get(placement.worker);
        if (!worker || now - worker.heardAt <= closedAfterMs) {
            continue;
        }
        const run = nameOfTask(entry, group, placement.index, progress.run);
        closeTask(book, { ...worker, report: undefined }, run, events);
    }
    return events;
}

/** The order name of a group's task. */
export function nameOfTask(entry: JobEntry, group: TaskGroup, index: number, run: number): RunName {
    const { occurrence, stepIndex } = group;
    return { task: taskName({ job: entry.job.id, occurrence, stepIndex, index }), run };
}

function applyEnd(
    { entry, group, index }: FoundTask,
    { run, end, saved }: { index?: number; run: number; end: TaskEnd; saved?: string | undefined },
): boolean {
    const before = groupProgress(entry.progress, group.key);
    const next = applyTaskEnd(before, { index, run, end, saved }, rulesOf(entry, group));
    return changeGroup(entry, group.key, next);
}

function findTask(book: PlanBook, { task }: RunName): FoundTask | undefined {
    const address = parseTaskName(task);
    const entry = address && book.jobs.get(address.job);
    const key = entry && groupKeyOf(entry.job, address);
    const group = key === undefined ? undefined : entry?.groupsByKey.get(key);
    return address && entry && group && { entry, group, index: address.index };
}

function eventOf(kind: PlanEvent["kind"], worker: WorkerEntry, run: RunName, job: string): PlanEvent {
    return { kind, job, task: run.task, run: run.run, worker: worker.name };
}
