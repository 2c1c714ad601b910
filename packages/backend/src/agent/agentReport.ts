import type { LeaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import {
    runKey,
    type OrderState,
    type RunId,
    type SyncReport,
} from "@tanagerdeck/decisions/worker/workerReport";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import {
    closureOf,
    describeWorker,
    type AgentState,
    type StartAttempt,
    type StopAttempt,
} from "./agentState.ts";
import type { WorkerLists } from "./workerPort.ts";

/** What a report is made with. */
export interface ReportContext {
    clock: Clock;
    times: LeaseTimes;
    log: Log;
}

/** What the agent tells the leader. */
export function reportOf(state: AgentState, context: ReportContext): SyncReport {
    const { clock, times } = context;
    return {
        stamp: { incarnation: state.incarnation, now: clock.now(), wall: clock.wall() },
        version: state.version,
        worker: describeWorker(state, clock, times),
        running: [...state.running.values()].map(({ task, run, saved, percent }) => ({
            task,
            run,
            saved,
            percent,
        })),
        ended: state.ended,
        starts: [...state.starts.values()].map(attempt => ({
            run: nameOf(attempt.order),
            state: startState(attempt),
        })),
        stops: [...state.stops.values()].map(attempt => ({
            run: nameOf(attempt.order),
            state: stopState(state, attempt, context),
        })),
    };
}

/** Takes over the worker's lists unless newer ones are known; returns whether the leader should hear of them. */
export function applyLists(state: AgentState, lists: WorkerLists, now: number): boolean {
    if (lists.clockMs < state.listsClockMs) {
        return false;
    }
    state.listsClockMs = lists.clockMs;
    state.workerClock = { clockMs: lists.clockMs, at: now };
    const running: AgentState["running"] = new Map();
    for (const row of lists.running) {
        running.set(runKey(row), { ...row, sinceClockMs: lists.clockMs });
    }
    for (const [key, row] of state.running) {
        // A start that was answered after these lists were made is missing from them.
        if (!running.has(key) && row.sinceClockMs >= lists.clockMs) {
            running.set(key, row);
        }
    }
    const hasChanged = running.size !== state.running.size || lists.ended.length !== state.ended.length;
    state.running = running;
    state.ended = lists.ended.filter(row => row.number > state.recorded);
    for (const row of state.ended) {
        state.running.delete(runKey(row));
    }
    const lastEnd = state.ended.at(-1)?.number ?? state.lastEnd;
    if (lastEnd <= state.lastEnd && !hasChanged) {
        return false;
    }
    state.lastEnd = Math.max(lastEnd, state.lastEnd);
    return true;
}

function stopState(
    state: AgentState,
    attempt: StopAttempt,
    { clock, times, log }: ReportContext,
): OrderState {
    const closure = closureOf(state, attempt, clock, times);
    if (closure && !attempt.isLogged) {
        attempt.isLogged = true;
        const { task, run } = attempt.order;
        log.info("A stopped run is closed.", { task, run, closure });
    }
    return { kind: closure ? "closed" : "pending" };
}

function startState(attempt: StartAttempt): OrderState {
    if (attempt.state === "started") {
        return { kind: "started" };
    }
    if (attempt.state === "refused") {
        return { kind: "refused", reason: attempt.reason ?? "invalid" };
    }
    return { kind: "pending" };
}

function nameOf({ task, run }: RunId): RunId {
    return { task, run };
}
