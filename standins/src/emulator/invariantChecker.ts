import { parseTaskName } from "@tanagerdeck/decisions/job/taskGroups";
import type { DrainEvent, EmulatorEvent, WorkerEvent, ZoneEvent } from "./taskTypes.ts";

/** Name of an invariant that the user documentation promises, as written to the soak's JSON report. */
export type InvariantName =
    /** At most one run of a task is active at a time, and none starts after the task was done. */
    | "once"
    /** The tasks on a worker never exceed its capacity. */
    | "capacity"
    /** Only tasks of jobs that were submitted and not refused are started, with their own checkpoints. */
    | "asked"
    /** An accepted job stays known and reaches a final state. */
    | "kept"
    /** A process neither ends nor exceeds the memory of its VM because of what clients send. */
    | "survival"
    /** Tasks that may run are placed within the time limit while there is room. */
    | "progress"
    /** No task starts before its predecessors are done, before its due time or where its step does not allow it. */
    | "order"
    /** No task starts after its last attempt has failed. */
    | "attempts"
    /** A job's reported state is true; it is `completed` only when all its tasks are done. */
    | "true-state"
    /** The tasks of a cancelled job end within the time limit. */
    | "cancelled"
    /** No task starts on a worker later than `MAX_START_AFTER_DRAIN_MS` after its drain notice. */
    | "drained"
    /**
     * No task starts on a worker in an evacuated zone later than `MAX_START_AFTER_EVACUATION_MS` after the acknowledgement of
     * the evacuation.
     */
    | "evacuated"
    /** A new manifest takes effect within the time limit and is never replaced by an older one. */
    | "manifest";

/** A violated invariant with what was observed, as written to the soak's JSON report. */
export interface InvariantViolation {
    promise: InvariantName;
    detail: string;
    atMs: number;
}

/** Checks the events of workers against the invariants and keeps the history of each task. */
export interface InvariantChecker {
    /** Processes an event of a worker. */
    observe(event: EmulatorEvent): void;
    /** Adds a violation that the caller has detected. */
    reportViolation(promise: InvariantName, detail: string, atMs: number): void;
    /** Names of the tasks of a job that are done. */
    doneTasks(job: string): Set<string>;
    /** Names of the tasks of a job that are running. */
    runningTasks(job: string): string[];
    hasStarted(job: string): boolean;
    violations: InvariantViolation[];
    /** Number of ended runs by outcome. */
    ends: Map<string, number>;
}

/** Longest time after the acknowledgement of a worker's drain notice in which a task may start there. */
const MAX_START_AFTER_DRAIN_MS = 2_500;
/** Longest time after the acknowledgement of a zone's evacuation in which a task may start there; the platform's `evac_ms`. */
const MAX_START_AFTER_EVACUATION_MS = 5_000;

interface TaskHistory {
    runningOn: Map<string, number>;
    /** Runs that ended as `done`. Until such an end is recorded, it can be lost in a crash of its worker. */
    doneRuns: Map<number, { isRecorded: boolean; isRepeated: boolean }>;
}

/** Builds a checker; `isKnown` says whether a caller has submitted the job. */
export function createInvariantChecker(isKnown: (job: string) => boolean): InvariantChecker {
    const tasks = new Map<string, TaskHistory>();
    const jobs = new Map<string, Set<string>>();
    const violations: InvariantViolation[] = [];
    const ends = new Map<string, number>();
    /** Time at which a worker's first drain notice was acknowledged, by worker. */
    const drainingSince = new Map<string, number>();
    /** Time at which the evacuation of a worker's zone was acknowledged, by worker. */
    const evacuatedSince = new Map<string, number>();

    function historyOf(task: string): TaskHistory {
        const history = tasks.get(task) ?? {
            runningOn: new Map<string, number>(),
            doneRuns: new Map<number, { isRecorded: boolean; isRepeated: boolean }>(),
        };
        tasks.set(task, history);
        const job = parseTaskName(task)?.job ?? "";
        jobs.set(job, (jobs.get(job) ?? new Set()).add(task));
        return history;
    }

    function checkStart({ task, run, worker, atMs, isLate }: WorkerEvent): void {
        const history = historyOf(task);
        const drainingMs = atMs - (drainingSince.get(worker) ?? atMs);
        if (drainingMs > MAX_START_AFTER_DRAIN_MS && !isLate) {
            const detail = `${task} starts on ${worker} ${Math.round(drainingMs)} ms after its drain notice`;
            violations.push({ promise: "drained", detail, atMs });
        }
        const evacuatedMs = atMs - (evacuatedSince.get(worker) ?? atMs);
        if (evacuatedMs > MAX_START_AFTER_EVACUATION_MS && !isLate) {
            const detail = `${task} run ${run} starts on ${worker} ${Math.round(evacuatedMs)} ms after its zone was evacuated`;
            violations.push({ promise: "evacuated", detail, atMs });
        }
        if (!isKnown(parseTaskName(task)?.job ?? "")) {
            violations.push({
                promise: "asked",
                detail: `${task} of an unknown job was started on ${worker}`,
                atMs,
            });
        }
        for (const [doneRun, done] of history.doneRuns) {
            done.isRepeated = true;
            if (done.isRecorded) {
                const detail = `${task} run ${run} starts after run ${doneRun} was done`;
                violations.push({ promise: "once", detail, atMs });
            }
        }
        if (history.runningOn.size > 0) {
            const others = [...history.runningOn.keys()].join(" ");
            violations.push({
                promise: "once",
                detail: `${task} run ${run} starts on ${worker} while it runs on ${others}`,
                atMs,
            });
        }
        history.runningOn.set(worker, run);
    }

    function trackDraining({ kind, worker, atMs }: DrainEvent): void {
        if (kind === "replaced") {
            drainingSince.delete(worker);
        } else if (!drainingSince.has(worker)) {
            drainingSince.set(worker, atMs);
        }
    }

    function trackEvacuation({ kind, workers, atMs }: ZoneEvent): void {
        for (const worker of workers) {
            if (kind === "restored") {
                evacuatedSince.delete(worker);
            } else if (!evacuatedSince.has(worker)) {
                evacuatedSince.set(worker, atMs);
            }
        }
    }

    function checkRecordedEnd({ task, run, end, atMs }: WorkerEvent): void {
        const done = historyOf(task).doneRuns.get(run);
        if (end !== "done" || !done) {
            return;
        }
        done.isRecorded = true;
        if (done.isRepeated) {
            violations.push({
                promise: "once",
                detail: `${task} was started again after run ${run} was done`,
                atMs,
            });
        }
    }

    return {
        violations,
        ends,
        reportViolation: (promise, detail, atMs) => violations.push({ promise, detail, atMs }),
        observe(event) {
            if ("zone" in event) {
                trackEvacuation(event);
                return;
            }
            if (!("task" in event)) {
                trackDraining(event);
                return;
            }
            if (event.kind === "started") {
                checkStart(event);
                return;
            }
            if (event.kind === "over-capacity") {
                violations.push({
                    promise: "capacity",
                    detail: `${event.worker} exceeds its capacity with ${event.task}`,
                    atMs: event.atMs,
                });
                return;
            }
            if (event.kind === "foreign-progress") {
                const detail = `${event.task} is started on ${event.worker} with the checkpoint of another task`;
                violations.push({ promise: "asked", detail, atMs: event.atMs });
                return;
            }
            const end = event.end ?? "lost";
            if (event.kind === "recorded") {
                checkRecordedEnd(event);
                return;
            }
            ends.set(end, (ends.get(end) ?? 0) + 1);
            const history = historyOf(event.task);
            history.runningOn.delete(event.worker);
            if (end === "done") {
                history.doneRuns.set(event.run, { isRecorded: false, isRepeated: false });
            }
        },
        doneTasks(job) {
            const names = [...(jobs.get(job) ?? [])];
            return new Set(names.filter(task => (tasks.get(task)?.doneRuns.size ?? 0) > 0));
        },
        runningTasks(job) {
            const names = [...(jobs.get(job) ?? [])];
            return names.filter(task => (tasks.get(task)?.runningOn.size ?? 0) > 0);
        },
        hasStarted: job => jobs.has(job),
    };
}
