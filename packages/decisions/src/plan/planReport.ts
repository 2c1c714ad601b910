import { countFitting, subtractResources, type Resources } from "../job/jobTypes.ts";
import {
    applyTaskEnds,
    closeRun,
    crashesWorkers,
    groupProgress,
    placementOf,
    type TaskEndEvent,
} from "../job/progressChange.ts";
import { sameBoot, type Boot, type GroupProgress, type TaskEnd } from "../job/progressTypes.ts";
import { groupKeyOf, parseTaskName, taskName, type TaskGroup } from "../job/taskGroups.ts";
import {
    runKey,
    type CrashEnd,
    type EndedTask,
    type RunId,
    type SyncReport,
} from "../worker/workerReport.ts";
import { observeTask, paceOrigin } from "../speed/speedObservations.ts";
import {
    markChanged,
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
        if (!previousBoot || !sameBoot(previousBoot, report.worker.boot)) {
            // Each boot numbers its ends from 1 on. Before the first description they may be those of a former boot.
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
    applyEndedTasks({ cluster, worker, boot, known, now, events }, report.ended);
    for (const { run, state } of report.starts) {
        if (state.kind === "refused") {
            applyRefusedStart(cluster, worker, run, state.reason, now, events);
        }
    }
    const lost: LostTask[] = [];
    for (const { run, state } of report.stops) {
        if (state.kind === "closed") {
            lost.push({ ...run, end: state.end ?? "lost" });
        }
    }
    endLostTasks(cluster, worker, lost, now, events);
    closeRunsOfOtherBoots(cluster, worker, report);
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
    const placement = found && progress && placementOf(progress, found.index);
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
    const latest = { at: now, percent: row.percent };
    const paceFrom = paceOrigin(taskProgress?.paceFrom, worker, latest);
    if (!taskProgress) {
        run.tasks.set(found.index, {
            percent: row.percent,
            progressedAt: now,
            listedAt: now,
            paceFrom,
            saved: row.saved,
        });
        events.push(eventOf("started", worker, row, found.entry.job.id));
        if (run.tasks.size === progress.placements.length && !run.hasStarted) {
            run.hasStarted = true;
            events.push(eventOf("all-started", worker, row, found.entry.job.id));
        }
    } else {
        taskProgress.listedAt = now;
        taskProgress.paceFrom = paceFrom;
        taskProgress.saved = row.saved ?? taskProgress.saved;
        if (row.percent > taskProgress.percent) {
            taskProgress.percent = row.percent;
            taskProgress.progressedAt = now;
            observeTask(cluster.speeds, worker, found, paceFrom, latest);
        }
    }
    if (!found.entry.progress.begun) {
        markBegun(found.entry);
    }
}

/** Applies the listed ends. A run was ordered on one worker only, so an end counts whichever boot of it has started the run. */
function applyEndedTasks({ cluster, worker, now, events }: ReportContext, rows: EndedTask[]): void {
    const unknownEnds = rows.filter(({ number }) => worker.reportedEnds.get(number)?.version === undefined);
    for (const row of unknownEnds) {
        worker.reportedEnds.set(row.number, { job: undefined, version: 0 });
    }
    for (const { entry, group, rows: ends } of groupRows(cluster, unknownEnds)) {
        const progress = groupProgress(entry.progress, group.key);
        const expected = ends.filter(({ index }) => placementOf(progress, index)?.worker === worker.name);
        const tasks = entry.runs.get(group.key)?.tasks;
        for (const row of applyEnds(cluster, entry, group, expected)) {
            if (row.end === "done") {
                const from = tasks?.get(row.index)?.paceFrom;
                observeTask(cluster.speeds, worker, { entry, group, index: row.index }, from, {
                    at: now,
                    percent: 100,
                });
            }
            events.push({ ...eventOf("ended", worker, row, entry.job.id), detail: row.end });
            updateFaults(worker, { entry, group, index: row.index }, row.end, now);
            if (!entry.progress.begun) {
                markBegun(entry);
            }
        }
        for (const { number } of ends) {
            worker.reportedEnds.set(number, { job: entry.job.id, version: entry.version });
        }
    }
}

function markBegun(entry: JobEntry): void {
    entry.progress = { ...entry.progress, begun: true };
    markChanged(entry, "head");
}

/** Rows of a report that belong to one group, each with the position of its task. */
interface GroupRows<R> {
    entry: JobEntry;
    group: TaskGroup;
    rows: (R & { index: number })[];
}

/** Collects rows by group, so that a group with many tasks is changed once; rows of unknown tasks are left out. */
function groupRows<R extends RunId>(cluster: ClusterState, rows: R[]): GroupRows<R>[] {
    const byGroup = new Map<TaskGroup, GroupRows<R>>();
    for (const row of rows) {
        const found = findTask(cluster, row);
        if (found) {
            const { entry, group, index } = found;
            const collected = byGroup.get(group) ?? { entry, group, rows: [] };
            collected.rows.push({ ...row, index });
            byGroup.set(group, collected);
        }
    }
    return [...byGroup.values()];
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

/** A run that can no longer be running, and whether a crash has ended it. */
interface LostTask extends RunId {
    end: CrashEnd | "lost";
}

/** Ends runs that can no longer be running, unless the worker lists their ends itself. */
function endLostTasks(
    cluster: ClusterState,
    worker: WorkerEntry,
    lost: LostTask[],
    now: number,
    events: PlanEvent[],
): void {
    const listed = new Set(worker.report?.ended.map(runKey));
    const endedGroups: GroupRows<LostTask & TaskEndEvent>[] = [];
    let mostCrashes = 0;
    for (const { entry, group, rows } of groupRows(cluster, lost)) {
        const progress = groupProgress(entry.progress, group.key);
        const tasks = entry.runs.get(group.key)?.tasks;
        const expected: (LostTask & TaskEndEvent)[] = [];
        for (const row of rows) {
            if (!listed.has(runKey(row)) && placementOf(progress, row.index)?.worker === worker.name) {
                expected.push({ ...row, saved: tasks?.get(row.index)?.saved });
                mostCrashes = Math.max(mostCrashes, countCrashes(progress, row));
            }
        }
        endedGroups.push({ entry, group, rows: expected });
    }
    for (const { entry, group, rows } of endedGroups) {
        const progress = groupProgress(entry.progress, group.key);
        // The task under which most workers have crashed is the likeliest cause; the others only shared the worker.
        const ends = rows.map(row => {
            const isBystander = countCrashes(progress, row) < mostCrashes;
            return { ...row, end: isBystander ? ("lost" as const) : row.end, hasCrashed: row.end !== "lost" };
        });
        for (const row of applyEnds(cluster, entry, group, ends)) {
            events.push({ ...eventOf("closed", worker, row, entry.job.id), detail: row.end });
            if (row.hasCrashed) {
                addFailedWorker(entry, group.key, worker.name, now);
            }
            if (row.end === "lost") {
                continue;
            }
            const next = groupProgress(entry.progress, group.key);
            if (next.phase === "failed" && crashesWorkers(next, groupRulesOf(entry, group))) {
                const detail = `crashes=${next.crashes?.[row.index]?.total ?? 0}`;
                events.push({ ...eventOf("given-up", worker, row, entry.job.id), detail });
            }
        }
    }
}

/** Number of workers that have crashed under a task; 0 if it was not lost by a crash now. */
function countCrashes({ crashes }: GroupProgress, { index, end }: TaskEndEvent): number {
    return end === "lost" ? 0 : (crashes?.[index]?.total ?? 0);
}

/**
 * Closes groups with runs that are gone: those of an earlier boot, and all runs of a worker whose lease has lapsed. The
 * agent keeps delayed starts from running and tells how the runs ended.
 */
function closeRunsOfOtherBoots(
    cluster: ClusterState,
    { name, description }: WorkerEntry,
    report: SyncReport,
): void {
    const hasLapsed = report.hasLapsed === true || description?.hasLapsed === true;
    for (const { entry, group, placement } of [...openPlacements(cluster, name)]) {
        if (hasLapsed || (description && !sameBoot(placement.boot, description.boot))) {
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
    for (const worker of cluster.workers.values()) {
        if (now - worker.lastReportAt <= closedAfterMs) {
            continue;
        }
        const lost: LostTask[] = [];
        for (const { entry, group, placement, progress } of openPlacements(cluster, worker.name)) {
            lost.push({ ...runIdOf(entry, group, placement.index, progress.run), end: "lost" });
        }
        endLostTasks(cluster, { ...worker, report: undefined }, lost, now, events);
    }
    return events;
}

/** The id of a task's run, as used in orders and reports. */
export function runIdOf(entry: JobEntry, group: TaskGroup, index: number, run: number): RunId {
    const { occurrence, stepIndex } = group;
    return { task: taskName({ job: entry.job.id, occurrence, stepIndex, index }), run };
}

/** Applies ends of a group's tasks and returns those that changed something. */
function applyEnds<E extends TaskEndEvent>(
    cluster: ClusterState,
    entry: JobEntry,
    group: TaskGroup,
    ends: E[],
): E[] {
    const before = groupProgress(entry.progress, group.key);
    const { group: next, applied } = applyTaskEnds(before, ends, groupRulesOf(entry, group));
    updateGroup(cluster, entry, group.key, next);
    return applied;
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
