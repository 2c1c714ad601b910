import type { Clock, TimerStop } from "@tanagerdeck/runtime/clock/clock";

/** State of a task on the worker; `loaded` does not compute. */
export type TaskState = "loaded" | "computing" | "finished" | "failed";

/** A task to load. `throttle` is the share of full speed; 0 means loaded but not computing. */
export interface TaskOrder {
    id: string;
    indexes: number[];
    leaseMs: number;
    throttle: number;
    checkpoint?: string;
    /** JSON with `ms`: the real run time, and `fail`: whether the task fails at its end. */
    body: string;
}

/** A task as the worker lists it. */
export interface TaskView {
    id: string;
    indexes: number[];
    state: TaskState;
}

/** Behaviour of the stand-in; tests change it while it runs. */
export interface WorkerFaults {
    failEverything: boolean;
    /** Calls get no reply and have no effect; tasks go on until their leases end. */
    silent: boolean;
    /** Factor between the run time in the body and the real one. */
    runTimeFactor: number;
    checkpointMs: number;
    usageLagMs: number;
}

/** A time in which a task computed; `end` is absent while it computes. */
export interface ComputingInterval {
    id: string;
    indexes: number[];
    begin: number;
    end?: number;
    /** True if the task ended its work by itself. */
    finished: boolean;
}

/** Result of a call: `absent` if there is no such task, `busy` if an accelerator is in use. */
export type WorkerResult<T> = { kind: "ok"; value: T } | { kind: "absent" } | { kind: "busy" };

/** A worker without its transport. Expired leases take effect before each call. */
export interface WorkerModel {
    faults: WorkerFaults;
    intervals: ComputingInterval[];
    list(): TaskView[];
    create(order: TaskOrder): WorkerResult<TaskView>;
    renew(id: string, leaseMs: number): WorkerResult<TaskView>;
    throttle(id: string, throttle: number): WorkerResult<TaskView>;
    /** Calls back with the checkpoint when it is written. */
    checkpoint(id: string, written: (result: WorkerResult<{ checkpoint: string }>) => void): void;
    remove(id: string): WorkerResult<object>;
    /** Cumulative accelerator-milliseconds by task, late, repeated and in any order. */
    usage(): UsageReport[];
    /** Ends all tasks at once, as when the VM fails. */
    fail(): void;
}

/** Cumulative use of one task. */
export interface UsageReport {
    task: string;
    acceleratorMs: number;
}

interface ModelTask {
    id: string;
    indexes: number[];
    state: TaskState;
    leaseEnd: number;
    totalMs: number;
    doneMs: number;
    fails: boolean;
    interval: ComputingInterval | undefined;
    stopEnd: TimerStop;
    stopLease: TimerStop;
}

/** Behaviour of a healthy worker. */
export function healthyWorker(): WorkerFaults {
    return { failEverything: false, silent: false, runTimeFactor: 1, checkpointMs: 50, usageLagMs: 1_000 };
}

/** Reports that are repeated with each new one. */
const REPEATED_REPORTS = 3;

/** Builds a worker that uses only the given clock. */
export function createWorkerModel(clock: Clock, faults: WorkerFaults): WorkerModel {
    const tasks = new Map<string, ModelTask>();
    const intervals: ComputingInterval[] = [];
    const history: { at: number; reports: UsageReport[] }[] = [];

    function endExpired(): void {
        for (const task of tasks.values()) {
            if (task.leaseEnd <= clock.now()) {
                drop(task, task.leaseEnd);
            }
        }
    }

    function drop(task: ModelTask, at: number): void {
        pause(task, at, false);
        task.stopLease();
        tasks.delete(task.id);
    }

    function pause(task: ModelTask, at: number, finished: boolean): void {
        const { interval } = task;
        task.stopEnd();
        if (interval) {
            interval.end = at;
            interval.finished = finished;
            task.doneMs += at - interval.begin;
            task.interval = undefined;
        }
    }

    function compute(task: ModelTask): void {
        const interval = { id: task.id, indexes: task.indexes, begin: clock.now(), finished: false };
        task.state = "computing";
        task.interval = interval;
        intervals.push(interval);
        task.stopEnd = clock.startTimer(Math.max(0, task.totalMs - task.doneMs), () => {
            if (task.leaseEnd > clock.now()) {
                pause(task, clock.now(), !task.fails);
                task.state = task.fails ? "failed" : "finished";
            }
        });
    }

    function watchLease(task: ModelTask): void {
        task.stopLease();
        task.stopLease = clock.startTimer(task.leaseEnd - clock.now(), () => drop(task, task.leaseEnd));
    }

    function onTask<T>(id: string, action: (task: ModelTask) => T): WorkerResult<T> {
        endExpired();
        const task = tasks.get(id);
        return task ? { kind: "ok", value: action(task) } : { kind: "absent" };
    }

    function create(order: TaskOrder): WorkerResult<TaskView> {
        endExpired();
        const known = tasks.get(order.id);
        if (known) {
            return { kind: "ok", value: view(known) };
        }
        for (const task of tasks.values()) {
            if (task.indexes.some(index => order.indexes.includes(index))) {
                return { kind: "busy" };
            }
        }
        const { ms = 0, fail = false } = JSON.parse(order.body) as { ms?: number; fail?: boolean };
        const task: ModelTask = {
            id: order.id,
            indexes: order.indexes,
            state: "loaded",
            leaseEnd: clock.now() + order.leaseMs,
            totalMs: faults.failEverything ? 0 : ms * faults.runTimeFactor,
            doneMs: checkpointedMs(order.checkpoint),
            fails: fail || faults.failEverything,
            interval: undefined,
            stopEnd: () => undefined,
            stopLease: () => undefined,
        };
        tasks.set(order.id, task);
        watchLease(task);
        if (order.throttle > 0) {
            compute(task);
        }
        return { kind: "ok", value: view(task) };
    }

    function usedByTask(): UsageReport[] {
        const totals = new Map<string, number>();
        for (const { id, indexes, begin, end } of intervals) {
            const used = ((end ?? clock.now()) - begin) * indexes.length;
            totals.set(id, (totals.get(id) ?? 0) + used);
        }
        return [...totals].map(([task, acceleratorMs]) => ({ task, acceleratorMs }));
    }

    return {
        faults,
        intervals,
        list() {
            endExpired();
            return [...tasks.values()].map(view);
        },
        create,
        renew: (id, leaseMs) =>
            onTask(id, task => {
                task.leaseEnd = clock.now() + leaseMs;
                watchLease(task);
                return view(task);
            }),
        throttle: (id, throttle) =>
            onTask(id, task => {
                if (throttle > 0 && task.state === "loaded") {
                    compute(task);
                }
                if (throttle === 0 && task.state === "computing") {
                    pause(task, clock.now(), false);
                    task.state = "loaded";
                }
                return view(task);
            }),
        checkpoint(id, written) {
            clock.startTimer(faults.checkpointMs, () =>
                written(
                    onTask(id, task => {
                        const current = task.interval ? clock.now() - task.interval.begin : 0;
                        return { checkpoint: String(Math.round(task.doneMs + current)) };
                    }),
                ),
            );
        },
        remove: id =>
            onTask(id, task => {
                drop(task, clock.now());
                return {};
            }),
        usage() {
            history.push({ at: clock.now(), reports: usedByTask() });
            const due = history.filter(({ at }) => at <= clock.now() - faults.usageLagMs);
            const recent = due.slice(-REPEATED_REPORTS).reverse();
            return recent.flatMap(({ reports }) => reports);
        },
        fail() {
            for (const task of [...tasks.values()]) {
                drop(task, clock.now());
            }
        },
    };
}

/** Run time that the checkpoints of all parts cover; a gang continues from its earliest part. */
function checkpointedMs(checkpoint: string | undefined): number {
    return checkpoint === undefined ? 0 : Math.min(...checkpoint.split(",").map(Number));
}

function view(task: ModelTask): TaskView {
    return { id: task.id, indexes: task.indexes, state: task.state };
}
