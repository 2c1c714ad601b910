import { sameBoot, type Boot } from "@tanagerdeck/decisions/job/progressTypes";
import type { LeaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import { lapseAfterMs } from "@tanagerdeck/decisions/lease/leaseTimes";
import {
    runKey,
    type EndedTask,
    type RunningTask,
    type Stamp,
    type StartOrder,
    type StartRefusal,
    type StopOrder,
    type SyncReply,
    type WorkerCondition,
    type WorkerDescription,
} from "@tanagerdeck/decisions/worker/workerReport";
import type { Clock, TimerStop } from "@tanagerdeck/runtime/clock/clock";
import { elapsedSince } from "@tanagerdeck/runtime/clock/instant";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import type { WorkerHeartbeat } from "./workerPort.ts";

/** A start that the leader lists, and how far it got. */
export interface StartAttempt {
    order: StartOrder;
    state: "idle" | "calling" | "started" | "refused";
    reason?: StartRefusal | undefined;
    listedAt: number;
    /** Whether a call got no answer, so that it may still be executed. */
    isUnanswered: boolean;
}

/** A stop that the leader lists, and how far it got. */
export interface StopAttempt {
    order: StopOrder;
    state: "idle" | "calling" | "answered" | "other-boot";
    /** The worker's clock when it answered. */
    answeredClockMs: number;
    /** Whether the log has its closure, which each report repeats. */
    isCloseLogged: boolean;
}

/** A call of the leader that waits for news. */
export interface PendingPoll {
    seenVersion: number;
    reply: Reply<SyncReply>;
    stopTimer: TimerStop;
}

/** The worker as its heartbeats and lists show it. */
export interface KnownWorker {
    boot: Boot;
    heartbeat: WorkerHeartbeat;
    hasLeft: boolean;
}

/** State of the agent's task. */
export interface AgentState {
    incarnation: string;
    /** The newest leader's term and its latest call. */
    term: number;
    sequence: number;
    grant: { stamp: Stamp; ms: number } | undefined;
    worker: KnownWorker | undefined;
    /** Start of the boot that the lists below belong to; 0 before any is known. */
    bornMs: number;
    /** The worker's clock and the time at which it was read. */
    workerClock: { clockMs: number; at: number } | undefined;
    /** Running tasks; `sinceClockMs` is the worker's clock when it listed or started them. */
    running: Map<string, RunningTask & { sinceClockMs: number }>;
    ended: EndedTask[];
    /** Number of the latest end of this boot that was seen. */
    lastEndNumber: number;
    /** Ends up to this number of this boot are recorded. */
    recorded: number;
    starts: Map<string, StartAttempt>;
    stops: Map<string, StopAttempt>;
    /** Runs of an earlier boot whose start got no answer; the worker must be told to stop them. */
    strayStarts: Map<string, StopOrder>;
    /** Calls for lists in a row without an answer, and whether the last one found no listener. */
    consecutiveUnansweredHolds: number;
    isRefusingConnections: boolean;
    /** When the lease was last renewed, or a renewal was tried. */
    renewedAt: number;
    /** The worker's clock in the latest lists; replies may overtake each other. */
    listsClockMs: number;
    holdsInFlight: number;
    cancelNextHold: TimerStop | undefined;
    version: number;
    poll: PendingPoll | undefined;
}

/** Holds without an answer after which the lease is left to run out. */
export const SILENT_AFTER_HOLDS = 3;
/** Refused connections in a row after which the worker counts as gone. */
const GONE_AFTER_REFUSALS = 2;

/** A fresh state. */
export function createAgentState(incarnation: string, now: number): AgentState {
    return {
        incarnation,
        term: 0,
        sequence: 0,
        grant: undefined,
        worker: undefined,
        bornMs: 0,
        workerClock: undefined,
        running: new Map(),
        ended: [],
        lastEndNumber: 0,
        recorded: 0,
        starts: new Map(),
        stops: new Map(),
        strayStarts: new Map(),
        consecutiveUnansweredHolds: 0,
        isRefusingConnections: false,
        // A former incarnation may have renewed the lease just before this one started.
        renewedAt: now,
        listsClockMs: 0,
        holdsInFlight: 0,
        cancelNextHold: undefined,
        version: 1,
        poll: undefined,
    };
}

/** Whether the leader's permission to renew the worker's lease still holds. */
export function isRenewalGranted(state: AgentState, clock: Clock): boolean {
    return state.grant !== undefined && elapsedSince(clock, state.grant.stamp) < state.grant.ms;
}

/** The worker's clock now; undefined before it was first read. */
export function workerNow(state: AgentState, clock: Clock): number | undefined {
    const read = state.workerClock;
    return read && read.clockMs + (clock.now() - read.at);
}

/** What the agent knows of the worker's condition. */
export function workerCondition(state: AgentState): WorkerCondition {
    const { worker } = state;
    if (!worker || worker.hasLeft) {
        return "gone";
    }
    if (state.isRefusingConnections && state.consecutiveUnansweredHolds >= GONE_AFTER_REFUSALS) {
        return "gone";
    }
    if (state.consecutiveUnansweredHolds >= SILENT_AFTER_HOLDS) {
        return "silent";
    }
    return worker.heartbeat.isDraining ? "draining" : "ready";
}

/** Whether nothing can be running on the worker's boot any more. */
export function hasLapsed(state: AgentState, clock: Clock, times: LeaseTimes): boolean {
    if (state.worker?.hasLeft) {
        return true;
    }
    const condition = workerCondition(state);
    const isUnreachable = condition === "gone" || condition === "silent";
    return isUnreachable && clock.now() - state.renewedAt > lapseAfterMs(times);
}

/** The worker as it is reported. */
export function describeWorker(
    state: AgentState,
    clock: Clock,
    times: LeaseTimes,
): WorkerDescription | undefined {
    const { worker } = state;
    if (!worker) {
        return undefined;
    }
    const { heartbeat, boot } = worker;
    return {
        boot,
        service: heartbeat.service,
        availabilityZone: heartbeat.availabilityZone,
        rack: heartbeat.rack,
        labels: heartbeat.labels,
        capacity: heartbeat.capacity,
        machine: heartbeat.machine,
        condition: workerCondition(state),
        remainingMs: heartbeat.remainingMs,
        hasLapsed: hasLapsed(state, clock, times),
    };
}

/** Takes a heartbeat unless a newer one or a later start of the worker is known. */
export function applyHeartbeat(
    state: AgentState,
    heartbeat: WorkerHeartbeat,
    now: number,
): { boot: Boot; isNewBoot: boolean } | undefined {
    const known = state.worker;
    const isOutdated =
        heartbeat.bornMs === known?.boot.bornMs && heartbeat.sequence <= known.heartbeat.sequence;
    if (heartbeat.bornMs < state.bornMs || isOutdated) {
        return undefined;
    }
    const boot = { id: heartbeat.id, bornMs: heartbeat.bornMs };
    const isNews = !known || !sameBoot(known.boot, boot);
    if (state.bornMs !== boot.bornMs) {
        resetForBoot(state, boot.bornMs);
    }
    state.worker = { boot, heartbeat, hasLeft: false };
    state.workerClock ??= { clockMs: heartbeat.clockMs, at: now };
    return { boot, isNewBoot: isNews };
}

/** Forgets what belonged to an earlier boot; starts that may still be executed are remembered as stray. */
export function resetForBoot(state: AgentState, bornMs: number): void {
    state.bornMs = bornMs;
    for (const [key, { order, isUnanswered, state: progress }] of state.starts) {
        if (isUnanswered || progress === "calling") {
            state.strayStarts.set(key, { task: order.task, run: order.run, boot: order.boot });
        }
    }
    state.running.clear();
    state.ended = [];
    state.lastEndNumber = 0;
    state.recorded = 0;
    state.listsClockMs = 0;
    state.starts.clear();
    state.consecutiveUnansweredHolds = 0;
    state.isRefusingConnections = false;
    state.workerClock = undefined;
}

/** Why a stopped run can neither be running nor start any more. */
export type CloseReason = "other-boot" | "lapsed" | "not-listed";

/** How a listed stop is settled; undefined while the run may still be running or may yet start. */
export function findCloseReason(
    state: AgentState,
    { order, state: progress, answeredClockMs }: StopAttempt,
    clock: Clock,
    times: LeaseTimes,
): CloseReason | undefined {
    const { worker } = state;
    if (progress === "other-boot" || (worker && worker.boot.id !== order.boot.id)) {
        // The call names the boot that it is for, so another one refuses it however late it comes.
        return "other-boot";
    }
    if (hasLapsed(state, clock, times)) {
        return "lapsed";
    }
    const hasNewerLists = progress === "answered" && state.listsClockMs > answeredClockMs;
    return hasNewerLists && !state.running.has(runKey(order)) ? "not-listed" : undefined;
}
