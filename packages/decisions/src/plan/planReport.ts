import { countFitting, subtractResources, type Resources } from "../job/jobTypes.ts";
import { closeRun, applyTaskEnd, crashesWorkers, groupProgress } from "../job/progressChange.ts";
import { sameBoot, type Boot, type TaskEnd } from "../job/progressTypes.ts";
import { groupKeyOf, parseTaskName, taskName, type TaskGroup } from "../job/taskGroups.ts";
import {
    runKey,
    type CrashEnd,
    type EndedTask,
    type RunId,
    type SyncReport,
} from "../worker/workerReport.ts";
import {
    updateGroup,
    addFailedWorker,
    addFault,
    isCancelledOrEnded,
    openPlacements,
    groupRulesOf,
    type JobEntry,
    type ClusterState,
    type OpenPlacement,
    type WorkerEntry,
} from "./clusterState.ts";

/** A state change of a run caused by a report or a timeout; it is logged and counted in the metrics. */
export interface PlanEvent {
    kind: "started" | "all-started" | "ended" | "closed" | "refused" | "stray" | "given-up";
    job: string;
    task: string;
    run: number;
    worker: string;
    detail?: string | undefined;
}

/** A reported task with its job and group. */
interface FoundTask {
    entry: JobEntry;
    group: TaskGroup;
    index: number;
}

/** Applies an agent's report to the cluster state and returns the resulting events. */
export function applyReport(
    cluster: ClusterState,
    worker: WorkerEntry,
    report: SyncReport,
    now: number,
): PlanEvent[] {
    const events: PlanEvent[] = [];
    const previousBoot = worker.description?.boot;
    const previousCapacity = worker.description?.capacity;
    worker.report = report;
    worker.lastReportAt = now;
    worker.hasReported = true;
    if (report.worker) {
        worker.description = report.worker;
        if (previousBoot && !sameBoot(previousBoot, report.worker.boot)) {
            worker.reportedEnds.clear();
        }
    } else if (worker.description) {
        worker.description = { ...worker.description, condition: "gone" };
    }
    const boot = report.worker?.boot;
    const known = new Set(worker.strayRuns.map(runKey));
    worker.strayRuns = [];
    for (const row of report.running) {
        applyRunningTask({ cluster, worker, boot, known, now, events }, row);
    }
    for (const row of report.ended) {
        applyEndedTask({ cluster, worker, boot, known, now, events }, row);
    }
    for (const { run, state } of report.starts) {
        if (state.kind === "refused") {
            applyRefusedStart(cluster, worker, run, state.reason, now, events);
        }
    }
    for (const { run, state } of report.stops) {
        if (state.kind === "closed") {
            endLostTask(cluster, worker, run, state.end ?? "lost", events);
        }
    }
    closeRunsOfOtherBoots(cluster, worker);
    if (report.worker && !isSameCapacity(previousCapacity, report.worker.capacity)) {
        closeRunsOverCapacity(cluster, worker, report.worker.capacity);
    }
    return events;
}

/** Shared arguments for applying the rows of one report. */
interface ReportContext {
    cluster: ClusterState;
    worker: WorkerEntry;
    boot: Boot | undefined;
    /** Keys of the stray runs in the previous report. */
    known: Set<string>;
    now: number;
    events: PlanEvent[];
}

function applyRunningTask(context: ReportContext, row: SyncReport["running"][number]): void {
    const { cluster, worker, boot, known, now, events } = context;
    const found = findTask(cluster, row);
    const progress = found && groupProgress(found.entry.progress, found.group.key);
    const placement = progress?.placements.find(open => open.index === found?.index);
    const isExpected =
        found &&
        progress?.run === row.run &&
        placement?.worker === worker.name &&
        (!boot || sameBoot(placement.boot, boot));
    if (!isExpected) {
        worker.strayRuns.push({ task: row.task, run: row.run });
        if (!known.has(runKey(row))) {
            events.push(eventOf("stray", worker, row, parseTaskName(row.task)?.job ?? ""));
        }
        return;
    }
    const run = found.entry.runs.get(found.group.key);
    const taskProgress = run?.tasks.get(found.index);
    if (!run) {
        return;
    }
    if (!taskProgress) {
        run.tasks.set(found.index, { percent: row.percent, progressedAt: now, saved: row.saved });
        events.push(eventOf("started", worker, row, found.entry.job.id));
        if (run.tasks.size === progress.placements.length && !run.hasStarted) {
            run.hasStarted = true;
            events.push(eventOf("all-started", worker, row, found.entry.job.id));
        }
    } else {
        taskProgress.saved = row.saved ?? taskProgress.saved;
        if (row.percent > taskProgress.percent) {
            taskProgress.percent = row.percent;
            taskProgress.progressedAt = now;
        }
    }
    if (!found.entry.progress.begun) {
        found.entry.progress = { ...found.entry.progress, begun: true };
        found.entry.version += 1;
    }
}

function applyEndedTask({ cluster, worker, boot, now, events }: ReportContext, row: EndedTask): void {
    if (worker.reportedEnds.has(row.number)) {
        return;
    }
    const found = findTask(cluster, row);
    if (!found) {
        worker.reportedEnds.set(row.number, { job: undefined, version: 0 });
        return;
    }
    const { entry } = found;
    const progress = groupProgress(entry.progress, found.group.key);
    const placement = progress.placements.find(open => open.index === found.index);
    const isExpected = placement?.worker === worker.name && (!boot || sameBoot(placement.boot, boot));
    if (isExpected && applyEnd(cluster, found, { ...row, end: row.end })) {
        events.push({ ...eventOf("ended", worker, row, entry.job.id), detail: row.end });
        updateFaults(worker, found, row.end, now);
        if (!entry.progress.begun) {
            entry.progress = { ...entry.progress, begun: true };
        }
    }
    worker.reportedEnds.set(row.number, { job: entry.job.id, version: entry.version });
}

/** Adds a fault for a failed run and clears the worker's faults after a successful one. */
function updateFaults(worker: WorkerEntry, { entry, group }: FoundTask, end: TaskEnd, now: number): void {
    if (end === "failed") {
        addFault(worker, entry, group.key, { now, isStall: false });
    } else if (end === "done") {
        worker.faults = [];
    }
}

function applyRefusedStart(
    cluster: ClusterState,
    worker: WorkerEntry,
    run: RunId,
    reason: string,
    now: number,
    events: PlanEvent[],
): void {
    const found = findTask(cluster, run);
    if (!found) {
        return;
    }
    const progress = groupProgress(found.entry.progress, found.group.key);
    if (progress.run !== run.run || progress.phase !== "placed") {
        return;
    }
    if (reason === "unhealthy") {
        addFault(worker, found.entry, found.group.key, { now, isStall: false });
    }
    updateGroup(cluster, found.entry, found.group.key, closeRun(progress));
    events.push({ ...eventOf("refused", worker, run, found.entry.job.id), detail: reason });
}

/** Ends a run that can no longer be running, as lost or by a crash, if the worker has not reported its end. */
function endLostTask(
    cluster: ClusterState,
    worker: WorkerEntry,
    run: RunId,
    end: CrashEnd | "lost",
    events: PlanEvent[],
): void {
    const found = findTask(cluster, run);
    if (!found) {
        return;
    }
    const progress = groupProgress(found.entry.progress, found.group.key);
    const isListed = worker.report?.ended.some(row => runKey(row) === runKey(run));
    if (isListed || !progress.placements.some(open => isPlacedAt(open, worker, found.index))) {
        return;
    }
    const { entry, group, index } = found;
    const saved = entry.runs.get(group.key)?.tasks.get(index)?.saved;
    if (!applyEnd(cluster, found, { index, run: run.run, end, saved })) {
        return;
    }
    events.push({ ...eventOf("closed", worker, run, entry.job.id), detail: end });
    if (end === "lost") {
        return;
    }
    addFailedWorker(entry, group.key, worker.name);
    const next = groupProgress(entry.progress, group.key);
    if (next.phase === "failed" && crashesWorkers(next, groupRulesOf(entry, group))) {
        const detail = `crashes=${next.crashes?.[index]?.total ?? 0}`;
        events.push({ ...eventOf("given-up", worker, run, entry.job.id), detail });
    }
}

function isPlacedAt(open: { index: number; worker: string }, worker: WorkerEntry, index: number): boolean {
    return open.index === index && open.worker === worker.name;
}

/**
 * Closes groups with runs that are gone: those of an earlier boot, and all runs of a worker whose lease has lapsed. The
 * agent keeps delayed starts from running and tells how the runs ended.
 */
function closeRunsOfOtherBoots(cluster: ClusterState, worker: WorkerEntry): void {
    const { description } = worker;
    if (!description) {
        return;
    }
    for (const { entry, group, placement } of [...openPlacements(cluster, worker.name)]) {
        if (description.hasLapsed || !sameBoot(placement.boot, description.boot)) {
            updateGroup(cluster, entry, group.key, closeRun(groupProgress(entry.progress, group.key)));
        }
    }
}

/** Closes groups whose runs have not started on a worker and do not fit into its capacity beside those that have. */
function closeRunsOverCapacity(cluster: ClusterState, worker: WorkerEntry, capacity: Resources): void {
    let free = capacity;
    const unstarted: OpenPlacement[] = [];
    for (const open of openPlacements(cluster, worker.name)) {
        const { entry, group, progress, placement } = open;
        const hasStarted = entry.runs.get(group.key)?.tasks.has(placement.index);
        if (progress.phase === "placed" && !hasStarted && !isCancelledOrEnded(entry)) {
            unstarted.push(open);
        } else {
            free = subtractResources(free, group.step.resources);
        }
    }
    for (const { entry, group } of unstarted) {
        const { resources } = group.step;
        if (countFitting(free, resources) > 0) {
            free = subtractResources(free, resources);
        } else {
            updateGroup(cluster, entry, group.key, closeRun(groupProgress(entry.progress, group.key)));
        }
    }
}

function isSameCapacity(left: Resources | undefined, right: Resources): boolean {
    return (
        left !== undefined &&
        left.cpuMillis === right.cpuMillis &&
        left.memoryMb === right.memoryMb &&
        left.gpus === right.gpus
    );
}

/** Ends all runs as lost on workers that have not reported for so long that all leases have expired. */
export function closeRunsOfLostAgents(
    cluster: ClusterState,
    closedAfterMs: number,
    now: number,
): PlanEvent[] {
    const events: PlanEvent[] = [];
    for (const { entry, group, placement, progress } of [...openPlacements(cluster)]) {
        const worker = cluster.workers.get(placement.worker);
        if (!worker || now - worker.lastReportAt <= closedAfterMs) {
            continue;
        }
        const run = runIdOf(entry, group, placement.index, progress.run);
        endLostTask(cluster, { ...worker, report: undefined }, run, "lost", events);
    }
    return events;
}

/** The id of a task's run, as used in orders and reports. */
export function runIdOf(entry: JobEntry, group: TaskGroup, index: number, run: number): RunId {
    const { occurrence, stepIndex } = group;
    return { task: taskName({ job: entry.job.id, occurrence, stepIndex, index }), run };
}

function applyEnd(
    cluster: ClusterState,
    { entry, group, index }: FoundTask,
    { run, end, saved }: { index?: number; run: number; end: TaskEnd; saved?: string | undefined },
): boolean {
    const before = groupProgress(entry.progress, group.key);
    const next = applyTaskEnd(before, { index, run, end, saved }, groupRulesOf(entry, group));
    return updateGroup(cluster, entry, group.key, next);
}

function findTask(cluster: ClusterState, { task }: RunId): FoundTask | undefined {
    const address = parseTaskName(task);
    const entry = address && cluster.jobs.get(address.job);
    const key = entry && groupKeyOf(entry.job, address);
    const group = key === undefined ? undefined : entry?.groupsByKey.get(key);
    return address && entry && group && { entry, group, index: address.index };
}

function eventOf(kind: PlanEvent["kind"], worker: WorkerEntry, run: RunId, job: string): PlanEvent {
    return { kind, job, task: run.task, run: run.run, worker: worker.name };
}
