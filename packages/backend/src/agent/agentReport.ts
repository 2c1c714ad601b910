import { listsAllEnds } from "@tanagerdeck/decisions/worker/endsPage";
import type { LeaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import {
    runKey,
    type EndedTask,
    type OrderState,
    type RunId,
    type SyncReport,
} from "@tanagerdeck/decisions/worker/workerReport";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import {
    findCloseReason,
    describeWorker,
    hasLapsed,
    type AgentState,
    type StartAttempt,
    type StopAttempt,
} from "./agentState.ts";
import { crashEndOf, noteStart } from "./workerCrash.ts";
import type { WorkerRunLists } from "./workerPort.ts";

/** Dependencies of building a report. */
export interface ReportContext {
    clock: Clock;
    times: LeaseTimes;
    log: Log;
}

/** Builds the report to the leader: the worker, its runs and ends, and the progress of each listed order. */
export function buildReport(state: AgentState, context: ReportContext): SyncReport {
    const { clock, times } = context;
    return {
        stamp: { incarnation: state.incarnation, now: clock.now(), wall: clock.wall() },
        version: state.version,
        worker: describeWorker(state, clock, times),
        hasLapsed: hasLapsed(state, clock, times),
        running: [...state.running.values()].map(({ task, run, saved, percent }) => ({
            task,
            run,
            saved,
            percent,
        })),
        ended: state.ended,
        hasMoreEnds: state.hasMoreEnds,
        starts: [...state.starts.values()].map(attempt => ({
            run: toRunName(attempt.order),
            state: startOrderState(attempt),
        })),
        stops: [...state.stops.values()].map(attempt => ({
            run: toRunName(attempt.order),
            state: stopOrderState(state, attempt, context),
        })),
    };
}

/** Applies the worker's run lists unless newer lists are known; returns whether the leader needs a new report. */
export function applyRunLists(state: AgentState, lists: WorkerRunLists, now: number): boolean {
    if (lists.clockMs < state.listsClockMs) {
        return false;
    }
    state.listsClockMs = lists.clockMs;
    state.workerClock = { clockMs: lists.clockMs, at: now };
    const running: AgentState["running"] = new Map();
    for (const row of lists.running) {
        running.set(runKey(row), { ...row, sinceClockMs: lists.clockMs });
        noteStart(state, runKey(row), now);
    }
    for (const [key, row] of state.running) {
        // The lists may be older than the answer to a start, so that run is kept although they do not show it.
        if (!running.has(key) && row.sinceClockMs >= lists.clockMs) {
            running.set(key, row);
        }
    }
    const ended = mergeEnds(state, lists.ended);
    const hasMoreEnds = !listsAllEnds(lists);
    const hasChanged =
        running.size !== state.running.size ||
        ended.length !== state.ended.length ||
        hasMoreEnds !== state.hasMoreEnds;
    state.running = running;
    state.hasMoreEnds = hasMoreEnds;
    state.ended = ended;
    for (const row of state.ended) {
        state.running.delete(runKey(row));
        state.startedAt.delete(runKey(row));
    }
    const lastEndNumber = state.ended.at(-1)?.number ?? state.lastEndNumber;
    if (lastEndNumber <= state.lastEndNumber && !hasChanged) {
        return false;
    }
    state.lastEndNumber = Math.max(lastEndNumber, state.lastEndNumber);
    return true;
}

/**
 * The ends that are not recorded, by number. One that was listed before stays until then: a hold of a former boot that is
 * executed late makes the worker forget ends of this boot.
 */
function mergeEnds({ ended, recorded }: AgentState, listed: EndedTask[]): EndedTask[] {
    const byNumber = new Map([...ended, ...listed].map(row => [row.number, row]));
    return [...byNumber.values()]
        .filter(({ number }) => number > recorded)
        .sort((left, right) => left.number - right.number);
}

function stopOrderState(
    state: AgentState,
    attempt: StopAttempt,
    { clock, times, log }: ReportContext,
): OrderState {
    const closure = findCloseReason(state, attempt, clock, times);
    if (closure && !attempt.isCloseLogged) {
        attempt.isCloseLogged = true;
        const { task, run } = attempt.order;
        log.info("A stopped run is closed.", { task, run, closure });
    }
    return closure
        ? { kind: "closed", end: crashEndOf(state, attempt.order, clock.now()) }
        : { kind: "pending" };
}

function startOrderState(attempt: StartAttempt): OrderState {
    if (attempt.state === "started") {
        return { kind: "started" };
    }
    if (attempt.state === "refused") {
        return { kind: "refused", reason: attempt.reason ?? "invalid" };
    }
    return { kind: "pending" };
}

function toRunName({ task, run }: RunId): RunId {
    return { task, run };
}
