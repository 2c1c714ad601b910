import { closeRun, groupProgress } from "../job/progressChange.ts";
import type { GroupProgress, TaskPlacement } from "../job/progressTypes.ts";
import type { TaskGroup } from "../job/taskGroups.ts";
import { estimateOf } from "../schedule/jobValue.ts";
import { runKey } from "../worker/workerReport.ts";
import {
    updateGroup,
    addFault,
    openPlacements,
    type ClusterState,
    type OpenRunState,
} from "./clusterState.ts";
import { runIdOf } from "./planReport.ts";
import { isUnlistedUnknown } from "./unlistedTask.ts";

/** A run that was closed because it did not progress. */
export interface StalledRun {
    job: string;
    group: string;
    /** Workers on which no task progresses. */
    workers: string[];
    stalledMs: number;
}

/** A run whose tasks did not all start in time. */
export type StuckStart = Pick<StalledRun, "job" | "group" | "workers">;

/** A run that its worker no longer lists, without an end. */
export type UnlistedRun = Pick<StalledRun, "job" | "group" | "workers">;

/** Time in which all tasks of a run must start, or it is closed. A gang's tasks wait 3 s or more for each other. */
const START_TIMEOUT_MS = 2_200;
/** Minimum time without progress that counts as a stall; reports are up to two seconds apart. */
const MIN_STALL_MS = 3_000;
/** Time for which a worker's reports may lack a started task, as lists may be older than the answer to a start. */
const UNLISTED_TIMEOUT_MS = 2_000;
/** Allowance for slow workers, which take several times the estimate for each percent of the work. */
const SLOW_WORKER_FACTOR = 12;
/** Fraction of the time already worked, which a restart would lose, that is added to the stall limit. */
const RESTART_LOSS_WEIGHT = 0.5;

/** Closes runs that have stalled for so long that a restart on another worker is likely to finish sooner. */
export function closeStalled(cluster: ClusterState, now: number): StalledRun[] {
    const stalled: StalledRun[] = [];
    let progressing: Map<string, Set<OpenRunState>> | undefined;
    for (const entry of cluster.jobs.values()) {
        for (const [key, run] of entry.runs) {
            const group = entry.groupsByKey.get(key)!;
            const progress = groupProgress(entry.progress, key);
            if (progress.phase !== "placed" || group.step.longRunning) {
                continue;
            }
            const reportedAt = oldestReportAt(cluster, progress.placements);
            const stalledMs = timeSinceProgress(run, progress.placements.length, reportedAt);
            if (stalledMs <= stallLimitMs(group, run, reportedAt) || hasUnknownTask(cluster, progress, run)) {
                continue;
            }
            progressing ??= progressingRuns(cluster, now);
            const workers = workersWithoutProgress(progress.placements, run, progressing);
            for (const name of workers) {
                const worker = cluster.workers.get(name);
                if (worker) {
                    addFault(worker, entry, group.key, { now, isStall: true });
                }
            }
            updateGroup(cluster, entry, group.key, closeRun(progress));
            stalled.push({ job: entry.job.id, group: group.key, workers, stalledMs });
        }
    }
    return stalled;
}

/** Closes recorded runs with tasks that did not start in time, so that they start on other workers. */
export function closeStuckStarts(cluster: ClusterState, now: number): StuckStart[] {
    const stuck: StuckStart[] = [];
    for (const entry of cluster.jobs.values()) {
        for (const [key, run] of entry.runs) {
            const progress = groupProgress(entry.progress, key);
            const isStarting =
                progress.phase === "placed" &&
                entry.recordedVersion >= run.version &&
                run.tasks.size < progress.placements.length;
            const isLate = isStarting && now - run.openedAt >= START_TIMEOUT_MS;
            if (!isLate || hasUnknownTask(cluster, progress, run)) {
                continue;
            }
            const missing = progress.placements.filter(({ index }) => !run.tasks.has(index));
            for (const { worker: name } of missing) {
                const worker = cluster.workers.get(name);
                if (worker) {
                    addFault(worker, entry, key, { now, isStall: false });
                }
            }
            updateGroup(cluster, entry, key, closeRun(progress));
            const workers = missing.map(placement => placement.worker);
            stuck.push({ job: entry.job.id, group: key, workers });
        }
    }
    return stuck;
}

/**
 * Closes runs with tasks that have started and that their worker lists neither as running nor as ended. Such an end is not
 * known, and without one the group would count as placed: a long-running one for good.
 */
export function closeUnlisted(cluster: ClusterState): UnlistedRun[] {
    const unlisted: UnlistedRun[] = [];
    for (const worker of cluster.workers.values()) {
        const { name, description, lastReportAt, report } = worker;
        // The lists of a worker that does not answer are those of its last answer; those of an unknown one are empty.
        const isAnswering = description?.condition === "ready" || description?.condition === "draining";
        if (!isAnswering) {
            continue;
        }
        for (const { entry, group, progress, placement } of [...openPlacements(cluster, name)]) {
            const task = entry.runs.get(group.key)?.tasks.get(placement.index);
            const isUnlisted = task !== undefined && lastReportAt - task.listedAt > UNLISTED_TIMEOUT_MS;
            if (progress.phase !== "placed" || !isUnlisted || isUnlistedUnknown(worker, task)) {
                continue;
            }
            const run = runKey(runIdOf(entry, group, placement.index, progress.run));
            if (!report?.ended.some(row => runKey(row) === run)) {
                updateGroup(cluster, entry, group.key, closeRun(progress));
                unlisted.push({ job: entry.job.id, group: group.key, workers: [name] });
            }
        }
    }
    return unlisted;
}

/** Whether a task of the run may be running or have ended although its worker does not list it. */
function hasUnknownTask(cluster: ClusterState, { placements }: GroupProgress, run: OpenRunState): boolean {
    for (const { index, worker } of placements) {
        if (isUnlistedUnknown(cluster.workers.get(worker), run.tasks.get(index))) {
            return true;
        }
    }
    return false;
}

/**
 * Time up to which all workers of a run have reported. Stalls are measured up to it, as the progress after a worker's
 * last report is unknown.
 */
function oldestReportAt(cluster: ClusterState, placements: TaskPlacement[]): number {
    let reportedAt = Number.MAX_SAFE_INTEGER;
    for (const { worker } of placements) {
        reportedAt = Math.min(reportedAt, cluster.workers.get(worker)?.lastReportAt ?? 0);
    }
    return reportedAt;
}

/** Time since any task of the run last progressed; 0 if not all tasks have started. */
function timeSinceProgress(run: OpenRunState, tasks: number, now: number): number {
    if (run.tasks.size < tasks) {
        return 0;
    }
    let latest = 0;
    for (const task of run.tasks.values()) {
        latest = Math.max(latest, task.progressedAt);
    }
    return now - latest;
}

function stallLimitMs({ step }: TaskGroup, run: OpenRunState, now: number): number {
    const perPercentMs = (estimateOf(step) / 100) * SLOW_WORKER_FACTOR;
    let percent = 100;
    let latest = 0;
    for (const task of run.tasks.values()) {
        percent = Math.min(percent, task.percent);
        latest = Math.max(latest, task.progressedAt);
    }
    const workedMs =
        step.checkpointing || percent === 0 ? 0 : Math.max(0, Math.min(now, latest) - run.openedAt);
    return Math.max(MIN_STALL_MS, perPercentMs) + workedMs * RESTART_LOSS_WEIGHT;
}

/** Runs that have progressed lately, by worker. */
function progressingRuns(cluster: ClusterState, now: number): Map<string, Set<OpenRunState>> {
    const runsByWorker = new Map<string, Set<OpenRunState>>();
    for (const { entry, group, placement } of openPlacements(cluster)) {
        const run = entry.runs.get(group.key);
        const progressedAt = run?.tasks.get(placement.index)?.progressedAt ?? 0;
        if (run && now - progressedAt < MIN_STALL_MS) {
            const runs = runsByWorker.get(placement.worker) ?? new Set();
            runsByWorker.set(placement.worker, runs.add(run));
        }
    }
    return runsByWorker;
}

/** The workers of a stalled run on which no other run progresses either. */
function workersWithoutProgress(
    placements: TaskPlacement[],
    stalled: OpenRunState,
    progressing: Map<string, Set<OpenRunState>>,
): string[] {
    const names = new Set<string>();
    for (const { worker } of placements) {
        const runs = progressing.get(worker);
        const others = (runs?.size ?? 0) - (runs?.has(stalled) ? 1 : 0);
        if (others === 0) {
            names.add(worker);
        }
    }
    return [...names];
}
