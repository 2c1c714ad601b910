import { closeRun, groupProgress } from "../job/progressChange.ts";
import type { Placement } from "../job/progressTypes.ts";
import type { TaskGroup } from "../job/taskGroups.ts";
import { estimateOf } from "../schedule/jobValue.ts";
import {
    updateGroup,
    addFault,
    type JobEntry,
    type ClusterState,
    type OpenRunState,
} from "./clusterState.ts";

/** A run that was closed because it did not progress. */
export interface StalledRun {
    job: string;
    group: string;
    /** Workers on which nothing progresses. */
    workers: string[];
    stalledMs: number;
}

/** A run whose tasks did not all start in time. */
export type StuckStart = Pick<StalledRun, "job" | "group" | "workers">;

/** After this time without all tasks started a run is closed; gangs wait for each other 3 s or more. */
const START_TIMEOUT_MS = 2_200;
/** Least time without progress; reports are up to two seconds apart. */
const MIN_STALL_MS = 3_000;
/** A slow worker takes several times the estimate for each hundredth of the work. */
const SLOW_WORKER_FACTOR = 12;
/** Work that a restart would throw away is waited for, for this part of its time. */
const RESTART_LOSS_WEIGHT = 0.5;

/** Closes runs that stand still for so long that another worker is likely to be done sooner. */
export function closeStalled(cluster: ClusterState, now: number): StalledRun[] {
    const stalled: StalledRun[] = [];
    for (const entry of cluster.jobs.values()) {
        for (const group of entry.groups) {
            const run = entry.runs.get(group.key);
            const progress = groupProgress(entry.progress, group.key);
            if (!run || progress.phase !== "placed" || group.step.longRunning) {
                continue;
            }
            const reportedAt = oldestReportAt(cluster, progress.placements);
            const stalledMs = timeSinceProgress(run, progress.placements.length, reportedAt);
            if (stalledMs <= stallLimitMs(group, run, reportedAt)) {
                continue;
            }
            const workers = workersWithoutProgress(cluster, entry, group, now);
            for (const name of workers) {
                const worker = cluster.workers.get(name);
                if (worker) {
                    addFault(worker, entry, group.key, { now, isStall: true });
                }
            }
            updateGroup(entry, group.key, closeRun(progress));
            stalled.push({ job: entry.job.id, group: group.key, workers, stalledMs });
        }
    }
    return stalled;
}

/** Closes recorded runs of which some tasks have not started in time, so that they start elsewhere. */
export function closeStuckStarts(cluster: ClusterState, now: number): StuckStart[] {
    const stuck: StuckStart[] = [];
    for (const entry of cluster.jobs.values()) {
        for (const [key, run] of entry.runs) {
            const progress = groupProgress(entry.progress, key);
            const isStarting =
                progress.phase === "placed" &&
                entry.recordedVersion >= run.version &&
                run.tasks.size < progress.placements.length;
            if (!isStarting || now - run.openedAt < START_TIMEOUT_MS) {
                continue;
            }
            const missing = progress.placements.filter(({ index }) => !run.tasks.has(index));
            for (const { worker: name } of missing) {
                const worker = cluster.workers.get(name);
                if (worker) {
                    addFault(worker, entry, key, { now, isStall: false });
                }
            }
            updateGroup(entry, key, closeRun(progress));
            const workers = missing.map(placement => placement.worker);
            stuck.push({ job: entry.job.id, group: key, workers });
        }
    }
    return stuck;
}

/** Time up to which all workers of a run have reported; an agent that is not heard of says nothing of progress. */
function oldestReportAt(cluster: ClusterState, placements: Placement[]): number {
    let reportedAt = Number.MAX_SAFE_INTEGER;
    for (const { worker } of placements) {
        reportedAt = Math.min(reportedAt, cluster.workers.get(worker)?.lastReportAt ?? 0);
    }
    return reportedAt;
}

/** Time since the task that progressed last did so; 0 if not all tasks have started. */
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

/** Of the group's workers those on which nothing else progresses either. */
function workersWithoutProgress(
    cluster: ClusterState,
    stalled: JobEntry,
    group: TaskGroup,
    now: number,
): string[] {
    const names = new Set<string>();
    for (const { worker } of groupProgress(stalled.progress, group.key).placements) {
        names.add(worker);
    }
    for (const entry of cluster.jobs.values()) {
        for (const [key, run] of entry.runs) {
            for (const { index, worker } of groupProgress(entry.progress, key).placements) {
                const progressedAt = run.tasks.get(index)?.progressedAt ?? 0;
                const isOther = entry !== stalled || key !== group.key;
                if (isOther && now - progressedAt < MIN_STALL_MS) {
                    names.delete(worker);
                }
            }
        }
    }
    return [...names];
}
