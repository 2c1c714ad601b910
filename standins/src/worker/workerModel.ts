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
    /** JSON with `ms`, the declared run time, and `fail`, whether the task fails at its end. */
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
    /** Actual run time as a multiple of the declared one. */
    runTimeFactor: number;
    checkpointMs: number;
    usageLagMs: number;
}

/** An interval in which a task computed; `end` is absent while it computes. */
export interface ComputingInterval {
    id: string;
    indexes: number[];
    begin: number;
    end?: number;
    /** Whether the interval ended because the task completed its work. */
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
    /** Cumulative accelerator-milliseconds by task. Reports come late, repeatedly and in any order. */
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
    willFail: boolean;
    interval: ComputingInterval | undefined;
    cancelEndTimer: TimerStop;
    cancelLeaseTimer: TimerStop;
}

/** Settings of a worker without faults. */
export function healthyWorkerFaults(): WorkerFaults {
    return { failEverything: false, silent: false, runTimeFactor: 1, checkpointMs: 50, usageLagMs: 1_000 };
}

/** Number of latest usage reports that each call returns. */
const REPEATED_REPORTS = 3;

/** Builds a worker that uses only the given clock. */
export function createWorkerModel(clock: Clock, faults: WorkerFaults): WorkerModel {
    const tasks = new Map<string, ModelTask>();
    const intervals: ComputingInterval[] = [];
    const usageHistory: { at: number; reports: UsageReport[] }[] = [];

    function expireTasks(): void {
        for (const task of tasks.values()) {
            if (task.leaseEnd <= clock.now()) {
                removeTask(task, task.leaseEnd);
            }
        }
    }

    function removeTask(task: ModelTask, at: number): void {
        stopComputing(task, at, false);
        task.cancelLeaseTimer();
        tasks.delete(task.id);
    }

    function stopComputing(task: ModelTask, at: number, finished: boolean): void {
        const { interval } = task;
        task.cancelEndTimer();
        if (interval) {
            interval.end = at;
            interval.finished = finished;
            task.doneMs += at - interval.begin;
            task.interval = undefined;
        }
    }

    function startComputing(task: ModelTask): void {
        const interval = { id: task.id, indexes: task.indexes, begin: clock.now(), finished: false };
        task.state = "computing";
        task.interval = interval;
        intervals.push(interval);
        task.cancelEndTimer = clock.startTimer(Math.max(0, task.totalMs - task.doneMs), () => {
            if (task.leaseEnd > clock.now()) {
                stopComputing(task, clock.now(), !task.willFail);
                task.state = task.willFail ? "failed" : "finished";
            }
        });
    }

    function scheduleLeaseExpiry(task: ModelTask): void {
        task.cancelLeaseTimer();
        task.cancelLeaseTimer = clock.startTimer(task.leaseEnd - clock.now(), () =>
            removeTask(task, task.leaseEnd),
        );
    }

    function withTask<T>(id: string, action: (task: ModelTask) => T): WorkerResult<T> {
        expireTasks();
        const task = tasks.get(id);
        return task ? { kind: "ok", value: action(task) } : { kind: "absent" };
    }

    function create(order: TaskOrder): WorkerResult<TaskView> {
        expireTasks();
        const known = tasks.get(order.id);
        if (known) {
            return { kind: "ok", value: toView(known) };
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
            willFail: fail || faults.failEverything,
            interval: undefined,
            cancelEndTimer: () => undefined,
            cancelLeaseTimer: () => undefined,
        };
        tasks.set(order.id, task);
        scheduleLeaseExpiry(task);
        if (order.throttle > 0) {
            startComputing(task);
        }
        return { kind: "ok", value: toView(task) };
    }

    function usageByTask(): UsageReport[] {
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
            expireTasks();
            return [...tasks.values()].map(toView);
        },
        create,
        renew: (id, leaseMs) =>
            withTask(id, task => {
                task.leaseEnd = clock.now() + leaseMs;
                scheduleLeaseExpiry(task);
                return toView(task);
            }),
        throttle: (id, throttle) =>
            withTask(id, task => {
                if (throttle > 0 && task.state === "loaded") {
                    startComputing(task);
                }
                if (throttle === 0 && task.state === "computing") {
                    stopComputing(task, clock.now(), false);
                    task.state = "loaded";
                }
                return toView(task);
            }),
        checkpoint(id, written) {
            clock.startTimer(faults.checkpointMs, () =>
                written(
                    withTask(id, task => {
                        const current = task.interval ? clock.now() - task.interval.begin : 0;
                        return { checkpoint: String(Math.round(task.doneMs + current)) };
                    }),
                ),
            );
        },
        remove: id =>
            withTask(id, task => {
                removeTask(task, clock.now());
                return {};
            }),
        usage() {
            usageHistory.push({ at: clock.now(), reports: usageByTask() });
            const due = usageHistory.filter(({ at }) => at <= clock.now() - faults.usageLagMs);
            const recent = due.slice(-REPEATED_REPORTS).reverse();
            return recent.flatMap(({ reports }) => reports);
        },
        fail() {
            for (const task of [...tasks.values()]) {
                removeTask(task, clock.now());
            }
        },
    };
}

/** Run time that the checkpoints of all parts cover; a gang resumes from the least advanced one. */
function checkpointedMs(checkpoint: string | undefined): number {
    return checkpoint === undefined ? 0 : Math.min(...checkpoint.split(",").map(Number));
}

function toView(task: ModelTask): TaskView {
    return { id: task.id, indexes: task.indexes, state: task.state };
}
