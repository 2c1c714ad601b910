import type { Job } from "../job/jobTypes.ts";
import { groupProgress, type GroupRules } from "../job/progressChange.ts";
import { emptyProgress, type GroupProgress, type Placement, type Progress } from "../job/progressTypes.ts";
import { occurrencesOf, taskGroupsOf, type TaskGroup } from "../job/taskGroups.ts";
import { expectedCoreSeconds } from "../schedule/jobValue.ts";
import type { RunId, SyncReport, WorkerDescription } from "../worker/workerReport.ts";
import { withFault, type WorkerFault } from "./workerQuarantine.ts";

/** What the leader knows of one task of an open run. */
export interface TaskProgress {
    percent: number;
    /** Time at which the share of done work last rose, on the leader's clock. */
    progressedAt: number;
    saved?: string | undefined;
}

/** What the leader remembers of an open run besides its record. */
export interface OpenRunState {
    /** Version of the job at which the run was opened; starts are ordered once it is recorded. */
    version: number;
    openedAt: number;
    /** Tasks that were reported as running, by index. */
    tasks: Map<number, TaskProgress>;
    /** Whether all tasks were reported as running at a time. */
    hasStarted: boolean;
}

/** A job in the leader's book. */
export interface JobEntry {
    job: Job;
    groups: TaskGroup[];
    groupsByKey: Map<string, TaskGroup>;
    /** Expected work in core-seconds. */
    workCoreSeconds: number;
    progress: Progress;
    isCancelled: boolean;
    /** Store revision of the recorded progress; 0 if there is none. */
    progressRevision: number;
    /** Rises with each change of the progress. */
    version: number;
    recordedVersion: number;
    isWriting: boolean;
    /** Open runs by group. */
    runs: Map<string, OpenRunState>;
    /** Workers on which a group has failed, by group; it is repeated on another one if there is one. */
    failedOn: Map<string, Set<string>>;
}

/** An agent and its worker in the leader's book. */
export interface WorkerEntry {
    name: string;
    description: WorkerDescription | undefined;
    report: SyncReport | undefined;
    /** Time of the latest report on the leader's clock; the start of the term before the first one. */
    lastReportAt: number;
    hasReported: boolean;
    /** Ends that were listed, with the job's version that must be recorded before they are forgotten. */
    reportedEnds: Map<number, { job: string | undefined; version: number }>;
    /** Runs that the worker lists and the leader did not open. */
    strayRuns: RunId[];
    /** Failures since the last success, oldest first. */
    faults: WorkerFault[];
}

/** Everything that the leader plans with. */
export interface ClusterState {
    jobs: Map<string, JobEntry>;
    workers: Map<string, WorkerEntry>;
    /** Jobs that were cancelled before they were accepted. */
    cancelledBeforeAdded: Set<string>;
}

/** An empty book. */
export function createClusterState(): ClusterState {
    return { jobs: new Map(), workers: new Map(), cancelledBeforeAdded: new Set() };
}

/** Adds an accepted job with its recorded progress. */
export function addJob(
    cluster: ClusterState,
    job: Job,
    recorded: { progress: Progress; revision: number } | undefined,
    now: number,
): JobEntry {
    const groups: TaskGroup[] = [];
    for (let occurrence = 0; occurrence < occurrencesOf(job); occurrence++) {
        groups.push(...taskGroupsOf(job, occurrence));
    }
    const entry: JobEntry = {
        job,
        groups,
        groupsByKey: new Map(groups.map(group => [group.key, group])),
        workCoreSeconds: expectedCoreSeconds(job.steps),
        progress: recorded?.progress ?? emptyProgress(),
        isCancelled: cluster.cancelledBeforeAdded.has(job.id),
        progressRevision: recorded?.revision ?? 0,
        version: 0,
        recordedVersion: 0,
        isWriting: false,
        runs: new Map(),
        failedOn: new Map(),
    };
    for (const { key } of groups) {
        if (groupProgress(entry.progress, key).placements.length > 0) {
            entry.runs.set(key, { version: 0, openedAt: now, tasks: new Map(), hasStarted: true });
        }
    }
    cluster.jobs.set(job.id, entry);
    return entry;
}

/** The entry of a worker, which is made if it is new. */
export function getOrAddWorker(cluster: ClusterState, name: string, now: number): WorkerEntry {
    const known = cluster.workers.get(name);
    if (known) {
        return known;
    }
    const entry: WorkerEntry = {
        name,
        description: undefined,
        report: undefined,
        lastReportAt: now,
        hasReported: false,
        reportedEnds: new Map(),
        strayRuns: [],
        faults: [],
    };
    cluster.workers.set(name, entry);
    return entry;
}

/** Replaces the progress of a group, which makes the job's record outdated. */
export function updateGroup(entry: JobEntry, key: string, next: GroupProgress): boolean {
    if (groupProgress(entry.progress, key) === next) {
        return false;
    }
    entry.progress = { ...entry.progress, groups: { ...entry.progress.groups, [key]: next } };
    entry.version += 1;
    if (next.placements.length === 0) {
        entry.runs.delete(key);
    }
    return true;
}

/** Holds a failure of a group's task against the worker, for other groups and for the repeat of this one. */
export function addFault(
    worker: WorkerEntry,
    entry: JobEntry,
    key: string,
    { now, isStall }: { now: number; isStall: boolean },
): void {
    worker.faults = withFault(worker.faults, { at: now, failedGroup: `${entry.job.id}.${key}`, isStall });
    const failedOn = entry.failedOn.get(key) ?? new Set();
    entry.failedOn.set(key, failedOn.add(worker.name));
}

/** Rules of a group's step and queue. */
export function groupRulesOf(entry: JobEntry, group: TaskGroup): GroupRules {
    return {
        gang: group.step.gang,
        longRunning: group.step.longRunning,
        attempts: entry.job.terms.attempts,
    };
}

/** Whether nothing of the job may start any more. */
export function isCancelledOrEnded(entry: JobEntry): boolean {
    return entry.isCancelled || entry.progress.final !== undefined;
}

/** An open placement with what it belongs to. */
export interface OpenPlacement {
    entry: JobEntry;
    group: TaskGroup;
    progress: GroupProgress;
    placement: Placement;
}

/** All open placements, of all workers or of one. */
export function* openPlacements(cluster: ClusterState, worker?: string): Generator<OpenPlacement> {
    for (const entry of cluster.jobs.values()) {
        for (const key of entry.runs.keys()) {
            const group = entry.groupsByKey.get(key);
            const progress = groupProgress(entry.progress, key);
            if (!group) {
                continue;
            }
            for (const placement of progress.placements) {
                if (worker === undefined || placement.worker === worker) {
                    yield { entry, group, progress, placement };
                }
            }
        }
    }
}

/** The open placements by worker, for callers that look at many workers. */
export function openPlacementsByWorker(cluster: ClusterState): Map<string, OpenPlacement[]> {
    const byWorker = new Map<string, OpenPlacement[]>();
    for (const open of openPlacements(cluster)) {
        const { worker } = open.placement;
        const known = byWorker.get(worker);
        if (known) {
            known.push(open);
        } else {
            byWorker.set(worker, [open]);
        }
    }
    return byWorker;
}
