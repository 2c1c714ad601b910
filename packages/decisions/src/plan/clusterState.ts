import type { Job } from "../job/jobTypes.ts";
import { groupProgress, type RestartPolicy } from "../job/progressChange.ts";
import {
    emptyProgress,
    type GroupProgress,
    type TaskPlacement,
    type Progress,
} from "../job/progressTypes.ts";
import { occurrenceCount, taskGroupsOf, type TaskGroup } from "../job/taskGroups.ts";
import { createGroupIndex, movePhase, type GroupIndex } from "./groupIndex.ts";
import { expectedCoreSeconds } from "../schedule/jobValue.ts";
import type { RunId, SyncReport, WorkerDescription } from "../worker/workerReport.ts";
import type { ProgressPoint } from "../speed/speedObservations.ts";
import { createSpeedRecord, type SpeedRecord } from "../speed/speedTypes.ts";
import { layoutFor, slotOf, type ProgressRecording, type ProgressSlot } from "./progressSlots.ts";
import { withFault, type WorkerFault } from "./workerQuarantine.ts";

/** Progress that a worker last reported for one task of an open run; it is not stored. */
export interface TaskProgress {
    percent: number;
    /** Time at which `percent` last rose, on the leader's clock. */
    progressedAt: number;
    /** Time of the latest report that listed the task as running, on the leader's clock. */
    listedAt: number;
    /** Point from which the pace of the task is measured. */
    paceFrom?: ProgressPoint | undefined;
    saved?: string | undefined;
}

/** State of an open run that the leader keeps in memory only. */
export interface OpenRunState {
    /** Version of the job that opened the run; starts are ordered only once this version is recorded. */
    version: number;
    openedAt: number;
    /** Progress of the tasks that have been reported as running, by task index. */
    tasks: Map<number, TaskProgress>;
    /** Whether all tasks have been reported as running. */
    hasStarted: boolean;
}

/** A job with its progress and open runs. */
export interface JobEntry {
    job: Job;
    groups: TaskGroup[];
    groupsByKey: Map<string, TaskGroup>;
    index: GroupIndex;
    /** Expected work in core-seconds. */
    workCoreSeconds: number;
    progress: Progress;
    isCancelled: boolean;
    /** Whether the stored progress cannot be decoded. What runs is then unknown, so nothing is placed or recorded. */
    isUnreadable: boolean;
    recording: ProgressRecording;
    /** Incremented on each change of the progress. */
    version: number;
    /** Version up to which all changes are recorded. */
    recordedVersion: number;
    isWriting: boolean;
    /** Open runs by group. */
    runs: Map<string, OpenRunState>;
    /** Workers on which a group has failed, with the time of the latest failure, by group key. */
    failedOn: Map<string, Map<string, number>>;
    /** Latest move of a group from a worker that leaves: its time and the run that was closed, by group key. */
    moves: Map<string, { at: number; run: number }>;
    /** Time since when the job has had groups that may start and no task at work; undefined while that is not so. */
    idleSince: number | undefined;
    /** Time on the leader's monotonic clock since when it has known that the job has ended. */
    endKnownAt: number | undefined;
}

/** An agent and its worker. */
export interface WorkerEntry {
    name: string;
    description: WorkerDescription | undefined;
    report: SyncReport | undefined;
    /** Time of the latest report on the leader's clock; the start of the term before the first one. */
    lastReportAt: number;
    hasReported: boolean;
    /**
     * Reported ends by number, with the job version that must be recorded before the worker may forget the end; without a
     * version the end is to be applied again.
     */
    reportedEnds: Map<number, { job: string | undefined; version: number | undefined }>;
    /** Stray runs: the worker reports them as running, but they match no open placement. */
    strayRuns: RunId[];
    /** Failures since the last success, oldest first. */
    faults: WorkerFault[];
}

/** The open placements of a group on one worker. */
export interface PlacedTasks {
    entry: JobEntry;
    group: TaskGroup;
    placements: TaskPlacement[];
}

/** The leader's in-memory view of all jobs and workers; the input of planning. */
export interface ClusterState {
    jobs: Map<string, JobEntry>;
    workers: Map<string, WorkerEntry>;
    /** Groups with open placements, by worker and by job and group, so that a report costs what its worker runs. */
    placements: Map<string, Map<string, PlacedTasks>>;
    /** Ids of jobs whose cancellation was read before their definition. */
    cancelledBeforeAdded: Set<string>;
    /** Names of the evacuated availability zones, in which nothing may start. */
    evacuatedZones: ReadonlySet<string>;
    /** What is known of the workers' speeds. */
    speeds: SpeedRecord;
}

/** Creates an empty cluster state. */
export function createClusterState(): ClusterState {
    return {
        jobs: new Map(),
        workers: new Map(),
        placements: new Map(),
        cancelledBeforeAdded: new Set(),
        evacuatedZones: new Set(),
        speeds: createSpeedRecord(),
    };
}

/** Progress of a job as it is stored. */
export interface RecordedProgress extends Pick<ProgressRecording, "layout" | "revisions"> {
    progress: Progress;
}

/** Has the reported ends of a job applied again, as its progress has been replaced by the recorded one. */
export function reapplyEnds(cluster: ClusterState, job: string): void {
    for (const { reportedEnds } of cluster.workers.values()) {
        for (const [number, end] of reportedEnds) {
            if (end.job === job) {
                reportedEnds.set(number, { job, version: undefined });
            }
        }
    }
}

/** Adds an accepted job with its recorded progress. */
export function addJob(
    cluster: ClusterState,
    job: Job,
    recorded: RecordedProgress | undefined,
    now: number,
): JobEntry {
    const groups: TaskGroup[] = [];
    for (let occurrence = 0; occurrence < occurrenceCount(job); occurrence++) {
        groups.push(...taskGroupsOf(job, occurrence));
    }
    const progress = recorded?.progress ?? emptyProgress();
    const entry: JobEntry = {
        job,
        groups,
        groupsByKey: new Map(groups.map(group => [group.key, group])),
        index: createGroupIndex(groups, progress),
        workCoreSeconds: expectedCoreSeconds(job.steps),
        progress,
        isCancelled: cluster.cancelledBeforeAdded.has(job.id),
        isUnreadable: false,
        recording: {
            layout: recorded?.layout ?? layoutFor(groups.length),
            revisions: recorded?.revisions ?? new Map(),
            unrecorded: new Map(),
        },
        version: 0,
        recordedVersion: 0,
        isWriting: false,
        runs: new Map(),
        failedOn: new Map(),
        moves: new Map(),
        idleSince: undefined,
        endKnownAt: undefined,
    };
    const replaced = cluster.jobs.get(job.id);
    for (const key of replaced?.runs.keys() ?? []) {
        indexPlacements(cluster, replaced!, replaced!.groupsByKey.get(key)!, []);
    }
    for (const group of groups) {
        const { placements } = groupProgress(entry.progress, group.key);
        if (placements.length > 0) {
            entry.runs.set(group.key, { version: 0, openedAt: now, tasks: new Map(), hasStarted: true });
            indexPlacements(cluster, entry, group, placements);
        }
    }
    cluster.jobs.set(job.id, entry);
    return entry;
}

/** Returns the entry of a worker and adds it if it is new. */
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

/** Replaces the progress of a group and increments the job's version; returns false if nothing changed. */
export function updateGroup(
    cluster: ClusterState,
    entry: JobEntry,
    key: string,
    next: GroupProgress,
): boolean {
    const previous = groupProgress(entry.progress, key);
    if (previous === next) {
        return false;
    }
    const group = entry.groupsByKey.get(key);
    if (group && previous.placements !== next.placements) {
        indexPlacements(cluster, entry, group, next.placements);
    }
    if (group) {
        movePhase(entry.index, group, previous.phase, next.phase);
    }
    // Changed in place: a copy of all groups for each change would cost the square of the job's size.
    entry.progress.groups[key] = next;
    markChanged(entry, group ? slotOf(entry.recording.layout, group) : "head");
    if (next.placements.length === 0) {
        entry.runs.delete(key);
    }
    return true;
}

/** Counts a change of a stored value of the job's progress, which is then to be recorded. */
export function markChanged(entry: JobEntry, slot: ProgressSlot): void {
    entry.version += 1;
    const { unrecorded } = entry.recording;
    unrecorded.set(slot, unrecorded.get(slot) ?? entry.version);
}

/** Replaces a group's placements in the index by worker. */
function indexPlacements(
    cluster: ClusterState,
    entry: JobEntry,
    group: TaskGroup,
    next: TaskPlacement[],
): void {
    const key = `${entry.job.id}.${group.key}`;
    for (const { worker } of groupProgress(entry.progress, group.key).placements) {
        cluster.placements.get(worker)?.delete(key);
    }
    for (const placement of next) {
        const groups = cluster.placements.get(placement.worker) ?? new Map<string, PlacedTasks>();
        const placed = groups.get(key);
        if (placed) {
            placed.placements.push(placement);
        } else {
            groups.set(key, { entry, group, placements: [placement] });
            cluster.placements.set(placement.worker, groups);
        }
    }
}

/** Records a fault of the worker, which affects later placements of all groups and the retry of this group. */
export function addFault(
    worker: WorkerEntry,
    entry: JobEntry,
    key: string,
    { now, isStall }: { now: number; isStall: boolean },
): void {
    worker.faults = withFault(worker.faults, { at: now, failedGroup: `${entry.job.id}.${key}`, isStall });
    addFailedWorker(entry, key, worker.name, now);
}

/** Records that a group has failed on a worker, which the retry avoids for a time. */
export function addFailedWorker(entry: JobEntry, key: string, worker: string, now: number): void {
    const failedOn = entry.failedOn.get(key) ?? new Map<string, number>();
    entry.failedOn.set(key, failedOn.set(worker, now));
}

/** The rules of a group, taken from its step and its queue. */
export function groupRulesOf(entry: JobEntry, group: TaskGroup): RestartPolicy {
    return {
        gang: group.step.gang,
        longRunning: group.step.longRunning,
        attempts: entry.job.terms.attempts,
    };
}

/** Whether the job is cancelled or final, so that none of its tasks may start. */
export function isCancelledOrEnded(entry: JobEntry): boolean {
    return entry.isCancelled || entry.progress.final !== undefined;
}

/** An open placement with its job, group and group progress. */
export interface OpenPlacement {
    entry: JobEntry;
    group: TaskGroup;
    progress: GroupProgress;
    placement: TaskPlacement;
}

/** All open placements, of all workers or of one. */
export function* openPlacements(cluster: ClusterState, worker?: string): Generator<OpenPlacement> {
    const names = worker === undefined ? cluster.placements.keys() : [worker];
    for (const name of names) {
        for (const { entry, group, placements } of cluster.placements.get(name)?.values() ?? []) {
            const progress = groupProgress(entry.progress, group.key);
            for (const placement of placements) {
                yield { entry, group, progress, placement };
            }
        }
    }
}
