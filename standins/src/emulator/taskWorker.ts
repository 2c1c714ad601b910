import type { EndedTask, RunningTask, StartRefusal } from "@tanagerdeck/decisions/worker/workerReport";
import type { TaskEnd } from "@tanagerdeck/decisions/job/progressTypes";
import type { Resources } from "@tanagerdeck/decisions/job/jobTypes";
import { parseTaskName } from "@tanagerdeck/decisions/job/taskGroups";
import type { Clock, TimerStop } from "@tanagerdeck/runtime/clock/clock";
import type { GangBarrier } from "./gangBarrier.ts";
import { checkpointMs, checkpointOwner, checkpointText, isOwnCheckpoint } from "./checkpoint.ts";
import { parseScript, type TaskScript, type WorkerEvent } from "./taskTypes.ts";

/** Emulates a worker as the platform's documentation describes it, without its transport. */
export interface TaskWorker {
    id: string;
    bornMs: number;
    clockMs(): number;
    start(order: StartCall): CallRefusal | undefined;
    stop(order: { task: string; run: number; fence: number }): CallRefusal | undefined;
    /** Renews the lease and removes ended tasks numbered up to `recorded`. */
    hold(order: { fence: number; recorded: number; deadlineMs: number | undefined }): CallRefusal | undefined;
    running(): RunningTask[];
    ended(): EndedTask[];
    /** Calls the listener at each end of a run until the returned function is called. */
    onEnd(listener: () => void): () => void;
    /** While `isHung` is true, the tasks make no progress; calls, reports and the lease are handled as usual. */
    setHung(isHung: boolean): void;
    /** Ends all runs at once; `ended()` does not list them. */
    crash(): void;
}

/** Arguments of a start call. */
export interface StartCall {
    task: string;
    run: number;
    fence: number;
    spec: string;
    saved: string | undefined;
    deadlineMs: number;
}

/** Reason for which the worker refused a call. */
export type CallRefusal = Extract<StartRefusal, "fence" | "old" | "late" | "invalid">;

/** Options of an emulated worker. */
export interface TaskWorkerOptions {
    name: string;
    id: string;
    bornMs: number;
    rack: string;
    capacity: Resources;
    /** Factor by which tasks take longer on this worker. */
    durationFactor: number;
    longestHoldMs: number;
    stopDurationMs: number;
    gangTimeoutMs: number;
    clock: Clock;
    gangBarrier: GangBarrier;
    report: (event: WorkerEvent) => void;
}

interface Run {
    task: string;
    run: number;
    script: TaskScript;
    gangKey: string | undefined;
    /** Owner of the checkpoints: the task or its gang. */
    owner: string;
    saved: string | undefined;
    /** Factor by which the work takes longer here. */
    durationFactor: number;
    /** Work done before `workingSince`. */
    doneMs: number;
    /** Undefined until the gang is complete. */
    workingSince: number | undefined;
    isStopping: boolean;
    cancelTimers: TimerStop[];
}

const TICK_INTERVAL_MS = 50;
const CHECKPOINT_INTERVAL_MS = 2_000;
/** Time from a start with a checkpoint until the work goes on. */
const RESTORE_MS = 250;
/** Time from the start of a long-running task until it is at work. */
const STARTUP_MS = 500;
/** Factor by which tasks take longer away from their data or from their gang. */
export const FAR_FACTOR = 3;

/** Creates an emulated worker. Its clock differs from the process clock, as a real worker's does. */
export function createTaskWorker(options: TaskWorkerOptions): TaskWorker {
    const {
        name,
        id,
        bornMs,
        rack,
        capacity,
        longestHoldMs,
        stopDurationMs,
        gangTimeoutMs,
        clock,
        gangBarrier,
        report,
    } = options;
    // Arbitrary, but different for each boot.
    const clockStart = 1_000_000 + (bornMs % 7_919);
    const startedAt = clock.now();
    const runs = new Map<string, Run>();
    /**
     * By task: highest run number that has ended or for which a stop was called; lower or equal runs are not started.
     */
    const highestClosedRun = new Map<string, number>();
    const endListeners = new Set<() => void>();
    let unrecordedEnds: EndedTask[] = [];
    let nextEndNumber = 1;
    let highestFence = 0;
    let leaseEndMs = 0;
    let isHung = false;
    let isCrashed = false;
    let cancelTick: TimerStop = () => {};

    const clockMs = (): number => Math.floor(clockStart + clock.now() - startedAt);

    /** Returns false if a call with a higher fence was seen. */
    function checkAndRaiseFence(fence: number): boolean {
        if (fence < highestFence) {
            return false;
        }
        highestFence = fence;
        return true;
    }

    function extendLease(deadlineMs: number): void {
        const limitedDeadlineMs = Math.min(deadlineMs, clockMs() + longestHoldMs);
        leaseEndMs = Math.max(leaseEndMs, limitedDeadlineMs);
    }

    function totalWorkMs(run: Run): number {
        if (run.workingSince === undefined || isHung) {
            return run.doneMs;
        }
        return run.doneMs + Math.max(0, clock.now() - run.workingSince) / run.durationFactor;
    }

    function saveCheckpoint(run: Run): void {
        if (run.script.checkpointing) {
            run.saved = checkpointText(run.owner, totalWorkMs(run));
        }
    }

    function hasReachedEnd(run: Run): boolean {
        const { script } = run;
        return (!script.longRunning || run.run <= script.failures) && totalWorkMs(run) >= script.durationMs;
    }

    function percentOf(run: Run): number {
        const { script } = run;
        const share = totalWorkMs(run) / (script.longRunning ? STARTUP_MS : script.durationMs);
        return Math.min(script.longRunning ? 100 : 99, Math.floor(100 * share));
    }

    function endRun(run: Run, taskEnd: TaskEnd): void {
        if (runs.get(run.task) !== run) {
            return;
        }
        runs.delete(run.task);
        for (const cancelTimer of run.cancelTimers) {
            cancelTimer();
        }
        highestClosedRun.set(run.task, Math.max(highestClosedRun.get(run.task) ?? 0, run.run));
        if (taskEnd === "stopped") {
            saveCheckpoint(run);
        }
        const { task, run: runNumber, saved } = run;
        unrecordedEnds.push({ number: nextEndNumber++, task, run: runNumber, end: taskEnd, saved });
        report({
            kind: "ended",
            worker: name,
            task: run.task,
            run: run.run,
            end: taskEnd,
            atMs: clock.now(),
        });
        if (run.gangKey !== undefined) {
            gangBarrier.leave(run.gangKey, run.task, taskEnd === "done");
        }
        for (const listener of [...endListeners]) {
            listener();
        }
    }

    function startWork(run: Run, isOneRack: boolean): void {
        const { sameRack, dataRack } = run.script;
        const isFar = (sameRack && !isOneRack) || (dataRack !== undefined && dataRack !== rack);
        run.durationFactor = options.durationFactor * (isFar ? FAR_FACTOR : 1);
        run.workingSince = clock.now() + (run.saved === undefined ? 0 : RESTORE_MS);
    }

    function reportIfOverCapacity(run: Run): void {
        let cpuMillis = 0;
        let memoryMb = 0;
        let gpus = 0;
        for (const { script } of runs.values()) {
            cpuMillis += script.cpuMillis;
            memoryMb += script.memoryMb ?? 0;
            gpus += script.gpus;
        }
        if (cpuMillis > capacity.cpuMillis || memoryMb > capacity.memoryMb || gpus > capacity.gpus) {
            const { task, run: runNumber } = run;
            report({ kind: "over-capacity", worker: name, task, run: runNumber, atMs: clock.now() });
        }
    }

    function startRun(call: StartCall, script: TaskScript): void {
        const parsedName = parseTaskName(call.task);
        const gangKey =
            script.gang > 1
                ? `${script.job}.${parsedName?.occurrence}.${parsedName?.stepIndex}#${call.run}`
                : undefined;
        const owner = checkpointOwner(call.task, script.gang > 1);
        const saved = call.saved || undefined;
        if (saved !== undefined && !isOwnCheckpoint(owner, saved)) {
            const { task, run: runNumber } = call;
            report({ kind: "foreign-progress", worker: name, task, run: runNumber, atMs: clock.now() });
        }
        const run: Run = {
            task: call.task,
            run: call.run,
            script,
            gangKey,
            owner,
            saved,
            durationFactor: options.durationFactor,
            doneMs: saved === undefined ? 0 : checkpointMs(saved),
            workingSince: undefined,
            isStopping: false,
            cancelTimers: [],
        };
        runs.set(run.task, run);
        report({ kind: "started", worker: name, task: run.task, run: run.run, atMs: clock.now() });
        reportIfOverCapacity(run);
        if (gangKey === undefined) {
            startWork(run, true);
            return;
        }
        const cancelGangTimer = clock.startTimer(gangTimeoutMs, () => {
            if (run.workingSince === undefined) {
                // Not all members of the gang have started in time.
                endRun(run, "alone");
            }
        });
        run.cancelTimers.push(cancelGangTimer);
        gangBarrier.join(gangKey, script.gang, {
            task: run.task,
            rack,
            startWork: isOneRack => startWork(run, isOneRack),
            // The run is "broken" if another member of its gang ends without being done.
            memberEnded: isDone => endRun(run, isDone ? "done" : "broken"),
        });
    }

    function tick(): void {
        if (isCrashed) {
            return;
        }
        if (runs.size > 0 && clockMs() > leaseEndMs) {
            for (const run of [...runs.values()]) {
                // The worker's lease has expired.
                endRun(run, "lapsed");
            }
        }
        for (const run of [...runs.values()]) {
            if (!run.isStopping && hasReachedEnd(run)) {
                // The first `failures` runs of a task fail.
                endRun(run, run.run <= run.script.failures ? "failed" : "done");
            } else if (totalWorkMs(run) - checkpointMs(run.saved) >= CHECKPOINT_INTERVAL_MS) {
                saveCheckpoint(run);
            }
        }
        cancelTick = clock.startTimer(TICK_INTERVAL_MS, tick);
    }
    tick();

    return {
        id,
        bornMs,
        clockMs,
        start(call) {
            if (!checkAndRaiseFence(call.fence)) {
                return "fence";
            }
            if (call.deadlineMs <= clockMs()) {
                return "late";
            }
            extendLease(call.deadlineMs);
            const current = runs.get(call.task);
            if (current?.run === call.run) {
                return undefined;
            }
            if (current || call.run <= (highestClosedRun.get(call.task) ?? 0)) {
                return "old";
            }
            const script = parseScript(call.spec, parseTaskName(call.task)?.stepIndex ?? 0);
            if (!script) {
                return "invalid";
            }
            startRun(call, script);
            return undefined;
        },
        stop({ task, run: runNumber, fence }) {
            if (!checkAndRaiseFence(fence)) {
                return "fence";
            }
            highestClosedRun.set(task, Math.max(highestClosedRun.get(task) ?? 0, runNumber));
            const run = runs.get(task);
            if (run?.run === runNumber && !run.isStopping) {
                run.isStopping = true;
                run.cancelTimers.push(clock.startTimer(stopDurationMs, () => endRun(run, "stopped")));
            }
            return undefined;
        },
        hold({ fence, recorded, deadlineMs }) {
            if (!checkAndRaiseFence(fence)) {
                return "fence";
            }
            for (const { number, task, run, end: taskEnd } of unrecordedEnds) {
                if (number <= recorded) {
                    report({ kind: "recorded", worker: name, task, run, end: taskEnd, atMs: clock.now() });
                }
            }
            unrecordedEnds = unrecordedEnds.filter(row => row.number > recorded);
            if (deadlineMs !== undefined) {
                extendLease(deadlineMs);
            }
            return undefined;
        },
        running: () =>
            [...runs.values()].map(run => ({
                task: run.task,
                run: run.run,
                saved: run.saved,
                percent: percentOf(run),
            })),
        ended: () => unrecordedEnds,
        onEnd(listener) {
            endListeners.add(listener);
            return () => endListeners.delete(listener);
        },
        setHung(hung) {
            for (const run of runs.values()) {
                run.doneMs = totalWorkMs(run);
                run.workingSince = run.workingSince === undefined ? undefined : clock.now();
            }
            isHung = hung;
        },
        crash() {
            isCrashed = true;
            cancelTick();
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
                for (const cancelTimer of run.cancelTimers) {
                    cancelTimer();
                }
                if (run.gangKey !== undefined) {
                    gangBarrier.leave(run.gangKey, run.task, false);
                }
            }
        },
    };
}
