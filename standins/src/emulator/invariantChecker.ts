import { parseTaskName } from "@tanagerdeck/decisions/job/taskGroups";
import type { DrainEvent, WorkerEvent } from "./taskTypes.ts";

/** A promise of the users' pages. */
export type InvariantName =
    /** A task runs once at a time, and not again after it was done. */
    | "once"
    /** No worker is given more than it has. */
    | "capacity"
    /** Only what a caller handed in, and was not refused, is started. */
    | "asked"
    /** An accepted job is known and is completed. */
    | "kept"
    /** A job is shown as completed only when all its tasks are done. */
    | "true-state"
    /** A cancelled job's tasks end in time. */
    | "cancelled"
    /** A draining worker gets nothing new after a few seconds. */
    | "drained"
    /** A manifest is in force in time and never gives way to an older one. */
    | "manifest";

/** A promise that was broken, with what was seen. */
export interface InvariantViolation {
    promise: InvariantName;
    detail: string;
    atMs: number;
}

/** Watches what workers do and keeps the account of each task. */
export interface InvariantChecker {
    /** Takes what a worker did. */
    observe(event: WorkerEvent | DrainEvent): void;
    /** Reports a promise as broken. */
    reportViolation(promise: InvariantName, detail: string, atMs: number): void;
    /** Names of the tasks of a job that are done. */
    doneTasks(job: string): Set<string>;
    /** Names of the tasks of a job that run. */
    runningTasks(job: string): string[];
    hasStarted(job: string): boolean;
    violations: InvariantViolation[];
    /** Number of ends by how they ended. */
    ends: Map<string, number>;
}

/** From the acknowledgement that a worker leaves until nothing new may start there. */
const MAX_START_AFTER_DRAIN_MS = 2_500;

interface TaskHistory {
    runningOn: Map<string, number>;
    /** Runs that ended as done. Until such an end is taken note of it may be lost with its worker. */
    doneRuns: Map<number, { isRecorded: boolean; isRepeated: boolean }>;
}

/** Builds a judge; `isKnown` says whether a caller handed a job in. */
export function createInvariantChecker(isKnown: (job: string) => boolean): InvariantChecker {
    const tasks = new Map<string, TaskHistory>();
    const jobs = new Map<string, Set<string>>();
    const violations: InvariantViolation[] = [];
    const ends = new Map<string, number>();
    /** Times of the first acknowledgement, of workers that leave. */
    const drainingSince = new Map<string, number>();

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
            const detail = `${task} starts on ${worker} ${Math.round(drainingMs)} ms after its notice`;
            violations.push({ promise: "drained", detail, atMs });
        }
        if (!isKnown(parseTaskName(task)?.job ?? "")) {
            violations.push({ promise: "asked", detail: `${task} was started on ${worker}`, atMs });
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
                detail: `${task} run ${run} on ${worker} beside ${others}`,
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
                    detail: `${event.worker} with ${event.task}`,
                    atMs: event.atMs,
                });
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
