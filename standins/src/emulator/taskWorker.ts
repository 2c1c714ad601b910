import type { EndedTask, RunningTask, StartRefusal } from "@tanagerdeck/decisions/worker/workerReport";
import type { TaskEnd } from "@tanagerdeck/decisions/job/progressTypes";
import { parseTaskName } from "@tanagerdeck/decisions/job/taskGroups";
import type { Clock, TimerStop } from "@tanagerdeck/runtime/clock/clock";
import type { GangRoom } from "./gangRoom.ts";
import { readScript, type TaskScript, type WorkerEvent } from "./taskTypes.ts";

/** A worker as the platform's page describes it, without a transport. */
export interface TaskWorker {
    id: string;
    bornMs: number;
    clockMs(): number;
    start(order: StartCall): Refusal | undefined;
    stop(order: { task: string; run: number; fence: number }): Refusal | undefined;
    /** Renews the lease and forgets recorded ends. */
    hold(order: { fence: number; recorded: number; deadlineMs: number | undefined }): Refusal | undefined;
    running(): RunningTask[];
    ended(): EndedTask[];
    /** Called at each end, until the returned function is called. */
    onEnd(listener: () => void): () => void;
    /** Stops progress of all tasks while true. */
    setHung(isHung: boolean): void;
    /** Ends everything without a trace, as a crash does. */
    crash(): void;
}

/** A start as the worker gets it. */
export interface StartCall {
    task: string;
    run: number;
    fence: number;
    spec: string;
    saved: string | undefined;
    deadlineMs: number;
}

/** Why a call was not executed. */
export type Refusal = Extract<StartRefusal, "fence" | "old" | "late" | "invalid">;

/** Properties of a worker. */
export interface TaskWorkerOptions {
    name: string;
    id: string;
    bornMs: number;
    capacity: { cpuMillis: number; gpus: number };
    longestHoldMs: number;
    stopMs: number;
    gangMs: number;
    clock: Clock;
    room: GangRoom;
    report: (event: WorkerEvent) => void;
}

interface Run {
    task: string;
    run: number;
    script: TaskScript;
    gangKey: string | undefined;
    /** Work done before `workingSince`. */
    doneMs: number;
    workingSince: number | undefined;
    isStopping: boolean;
    stopTimers: TimerStop[];
}

const TICK_MS = 50;

/** Builds a worker whose clock starts at an arbitrary value. */
export function createTaskWorker(options: TaskWorkerOptions): TaskWorker {
    const { name, id, bornMs, capacity, longestHoldMs, stopMs, gangMs, clock, room, report } = options;
    const clockStart = 1_000_000 + (bornMs % 7_919);
    const startedAt = clock.now();
    const runs = new Map<string, Run>();
    /** Highest run that was stopped or has ended, by task. */
    const closedRuns = new Map<string, number>();
    const listeners = new Set<() => void>();
    let ends: EndedTask[] = [];
    let nextEnd = 1;
    let highestFence = 0;
    let leaseUntil = 0;
    let isHung = false;
    let isCrashed = false;
    let stopTick: TimerStop = () => {};

    const clockMs = (): number => Math.floor(clockStart + clock.now() - startedAt);

    function takeFence(fence: number): boolean {
        if (fence < highestFence) {
            return false;
        }
        highestFence = fence;
        return true;
    }

    function extendLease(deadlineMs: number): void {
        const limited = Math.min(deadlineMs, clockMs() + longestHoldMs);
        leaseUntil = Math.max(leaseUntil, limited);
    }

    function doneMs(run: Run): number {
        return run.doneMs + (run.workingSince === undefined || isHung ? 0 : clock.now() - run.workingSince);
    }

    function end(run: Run, how: TaskEnd): void {
        if (runs.get(run.task) !== run) {
            return;
        }
        runs.delete(run.task);
        for (const stopTimer of run.stopTimers) {
            stopTimer();
        }
        closedRuns.set(run.task, Math.max(closedRuns.get(run.task) ?? 0, run.run));
        ends.push({ number: nextEnd++, task: run.task, run: run.run, end: how });
        report({ kind: "ended", worker: name, task: run.task, run: run.run, end: how, atMs: clock.now() });
        if (run.gangKey !== undefined) {
            room.leave(run.gangKey, run.task, how === "done");
        }
        for (const listener of [...listeners]) {
            listener();
        }
    }

    function begin(run: Run): void {
        run.workingSince = clock.now();
    }

    function checkCapacity(run: Run): void {
        let cpuMillis = 0;
        let gpus = 0;
        for (const { script } of runs.values()) {
            cpuMillis += script.cpuMillis;
            gpus += script.gpus;
        }
        if (cpuMillis > capacity.cpuMillis || gpus > capacity.gpus) {
            const { task, run: number } = run;
            report({ kind: "over-capacity", worker: name, task, run: number, atMs: clock.now() });
        }
    }

    function open(call: StartCall, script: TaskScript): void {
        const address = parseTaskName(call.task);
        const gangKey =
            script.gang > 1
                ? `${script.job}.${address?.occurrence}.${address?.stepIndex}#${call.run}`
                : undefined;
        const run: Run = {
            task: call.task,
            run: call.run,
            script,
            gangKey,
            doneMs: 0,
            workingSince: undefined,
            isStopping: false,
            stopTimers: [],
        };
        runs.set(run.task, run);
        report({ kind: "started", worker: name, task: run.task, run: run.run, atMs: clock.now() });
        checkCapacity(run);
        if (gangKey === undefined) {
            begin(run);
            return;
        }
        const alone = clock.startTimer(gangMs, () => {
            if (run.workingSince === undefined) {
                end(run, "alone");
            }
        });
        run.stopTimers.push(alone);
        room.enter(gangKey, script.gang, {
            task: run.task,
            begin: () => begin(run),
            partnerEnded: isDone => end(run, isDone ? "done" : "broken"),
        });
    }

    function tick(): void {
        if (isCrashed) {
            return;
        }
        if (runs.size > 0 && clockMs() > leaseUntil) {
            for (const run of [...runs.values()]) {
                end(run, "lapsed");
            }
        }
        for (const run of [...runs.values()]) {
            if (!run.isStopping && doneMs(run) >= run.script.durationMs) {
                end(run, run.run <= run.script.failures ? "failed" : "done");
            }
        }
        stopTick = clock.startTimer(TICK_MS, tick);
    }
    tick();

    return {
        id,
        bornMs,
        clockMs,
        start(call) {
            if (!takeFence(call.fence)) {
                return "fence";
            }
            if (call.deadlineMs <= clockMs()) {
                return "late";
            }
            extendLease(call.deadlineMs);
            const known = runs.get(call.task);
            if (known?.run === call.run) {
                return undefined;
            }
            if (known || call.run <= (closedRuns.get(call.task) ?? 0)) {
                return "old";
            }
            const script = readScript(call.spec);
            if (!script) {
                return "invalid";
            }
            open(call, script);
            return undefined;
        },
        stop({ task, run: number, fence }) {
            if (!takeFence(fence)) {
                return "fence";
            }
            closedRuns.set(task, Math.max(closedRuns.get(task) ?? 0, number));
            const run = runs.get(task);
            if (run?.run === number && !run.isStopping) {
                run.isStopping = true;
                run.stopTimers.push(clock.startTimer(stopMs, () => end(run, "stopped")));
            }
            return undefined;
        },
        hold({ fence, recorded, deadlineMs }) {
            if (!takeFence(fence)) {
                return "fence";
            }
            for (const { number, task, run, end: how } of ends) {
                if (number <= recorded) {
                    report({ kind: "noted", worker: name, task, run, end: how, atMs: clock.now() });
                }
            }
            ends = ends.filter(row => row.number > recorded);
            if (deadlineMs !== undefined) {
                extendLease(deadlineMs);
            }
            return undefined;
        },
        running: () =>
            [...runs.values()].map(run => ({
                task: run.task,
                run: run.run,
                percent: Math.min(99, Math.floor((100 * doneMs(run)) / run.script.durationMs)),
            })),
        ended: () => ends,
        onEnd(listener) {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        setHung(hung) {
            for (const run of runs.values()) {
                run.doneMs = doneMs(run);
                run.workingSince = run.workingSince === undefined ? undefined : clock.now();
            }
            isHung = hung;
        },
        crash() {
            isCrashed = true;
            stopTick();
            for (const run of [...runs.values()]) {
                runs.delete(run.task);
                report({
                    kind: "ended",
                    worker: name,
                    task: run.task,
                    run: run.run,
                    end: "lost",
                    atMs: clock.now(),
                });
                for (const stopTimer of run.stopTimers) {
                    stopTimer();
                }
                if (run.gangKey !== undefined) {
                    room.leave(run.gangKey, run.task, false);
                }
            }
        },
    };
}
