import { parseTaskName } from "@tanagerdeck/decisions/job/taskGroups";
import type { DrainEvent, WorkerEvent } from "./taskTypes.ts";

/** A promise of the users' pages. */
export type PromiseName =
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
export interface BrokenPromise {
    promise: PromiseName;
    detail: string;
    atMs: number;
}

/** Watches what workers do and keeps the account of each task. */
export interface PromiseJudge {
    /** Takes what a worker did. */
    note(event: WorkerEvent | DrainEvent): void;
    /** Reports a promise as broken. */
    accuse(promise: PromiseName, detail: string, atMs: number): void;
    /** Names of the tasks of a job that are done. */
    doneTasks(job: string): Set<string>;
    /** Names of the tasks of a job that run. */
    runningTasks(job: string): string[];
    hasStarted(job: string): boolean;
    broken: BrokenPromise[];
    /** Number of ends by how they ended. */
    ends: Map<string, number>;
}

/** From the acknowledgement that a worker leaves until nothing new may start there. */
const DRAIN_BOUND_MS = 2_500;

interface TaskAccount {
    runningOn: Map<string, number>;
    /** Runs that ended as done. Until such an end is taken note of it may be lost with its worker. */
    doneRuns: Map<number, { isNoted: boolean; isRepeated: boolean }>;
}

/** Builds a judge; `isKnown` says whether a caller handed a job in. */
export function createPromiseJudge(isKnown: (job: string) => boolean): PromiseJudge {
    const tasks = new Map<string, TaskAccount>();
    const jobs = new Map<string, Set<string>>();
    const broken: BrokenPromise[] = [];
    const ends = new Map<string, number>();
    /** Times of the first acknowledgement, of workers that leave. */
    const drainingSince = new Map<string, number>();

    function accountOf(task: string): TaskAccount {
        const account = tasks.get(task) ?? {
            runningOn: new Map<string, number>(),
            doneRuns: new Map<number, { isNoted: boolean; isRepeated: boolean }>(),
        };
        tasks.set(task, account);
        const job = parseTaskName(task)?.job ?? "";
        jobs.set(job, (jobs.get(job) ?? new Set()).add(task));
        return account;
    }

    function noteStart({ task, run, worker, atMs, isLate }: WorkerEvent): void {
        const account = accountOf(task);
        const drainingMs = atMs - (drainingSince.get(worker) ?? atMs);
        if (drainingMs > DRAIN_BOUND_MS && !isLate) {
            const detail = `${task} starts on ${worker} ${Math.round(drainingMs)} ms after its notice`;
            broken.push({ promise: "drained", detail, atMs });
        }
        if (!isKnown(parseTaskName(task)?.job ?? "")) {
            broken.push({ promise: "asked", detail: `${task} was started on ${worker}`, atMs });
        }
        for (const [doneRun, done] of account.doneRuns) {
            done.isRepeated = true;
            if (done.isNoted) {
                const detail = `${task} run ${run} starts after run ${doneRun} was done`;
                broken.push({ promise: "once", detail, atMs });
            }
        }
        if (account.runningOn.size > 0) {
            const others = [...account.runningOn.keys()].join(" ");
            broken.push({
                promise: "once",
                detail: `${task} run ${run} on ${worker} beside ${others}`,
                atMs,
            });
        }
        account.runningOn.set(worker, run);
    }

    function noteLeaving({ kind, worker, atMs }: DrainEvent): void {
        if (kind === "replaced") {
            drainingSince.delete(worker);
        } else if (!drainingSince.has(worker)) {
            drainingSince.set(worker, atMs);
        }
    }

    function noteForgotten({ task, run, end, atMs }: WorkerEvent): void {
        const done = accountOf(task).doneRuns.get(run);
        if (end !== "done" || !done) {
            return;
        }
        done.isNoted = true;
        if (done.isRepeated) {
            broken.push({
                promise: "once",
                detail: `${task} was started again after run ${run} was done`,
                atMs,
            });
        }
    }

    return {
        broken,
        ends,
        accuse: (promise, detail, atMs) => broken.push({ promise, detail, atMs }),
        note(event) {
            if (!("task" in event)) {
                noteLeaving(event);
                return;
            }
            if (event.kind === "started") {
                noteStart(event);
                return;
            }
            if (event.kind === "over-capacity") {
                broken.push({
                    promise: "capacity",
                    detail: `${event.worker} with ${event.task}`,
                    atMs: event.atMs,
                });
                return;
            }
            const end = event.end ?? "lost";
            if (event.kind === "noted") {
                noteForgotten(event);
                return;
            }
            ends.set(end, (ends.get(end) ?? 0) + 1);
            const account = accountOf(event.task);
            account.runningOn.delete(event.worker);
            if (end === "done") {
                account.doneRuns.set(event.run, { isNoted: false, isRepeated: false });
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
