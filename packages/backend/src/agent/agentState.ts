import type { Boot } from "@tanagerdeck/decisions/job/progressTypes";
import type { LeaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import { lapseAfterMs } from "@tanagerdeck/decisions/lease/leaseTimes";
import {
    runKey,
    type EndedTask,
    type EvacuationNotice,
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
import { addStrayStart, type StrayStart } from "./strayStarts.ts";
import { recordCrash, type WorkerCrash } from "./workerCrash.ts";
import type { WorkerHeartbeat } from "./workerPort.ts";

/** A start that the leader lists, and the progress of the call to the worker. */
export interface StartAttempt {
    order: StartOrder;
    state: "idle" | "calling" | "started" | "refused";
    reason?: StartRefusal | undefined;
    listedAt: number;
}

/** A stop that the leader lists, and the progress of the call to the worker. */
export interface StopAttempt {
    order: StopOrder;
    state: "idle" | "calling" | "answered" | "other-boot" | "closed";
    /** Clock of the present boot when it answered the stop. */
    answeredClockMs: number;
    /** Whether the close of the run was logged; each report repeats the close, the log has it once. */
    isCloseLogged: boolean;
}

/** A long poll of the leader that is answered when the report changes. */
export interface PendingPoll {
    seenVersion: number;
    reply: Reply<SyncReply>;
    stopTimer: TimerStop;
}

/** The worker as described by the newest heartbeat of a boot that the worker has confirmed. */
export interface KnownWorker {
    boot: Boot;
    heartbeat: WorkerHeartbeat;
    /** Whether a message that the boot leaves is being checked; the worker gets no new tasks meanwhile. */
    isLeaving: boolean;
    hasLeft: boolean;
}

/** State of the agent task. */
export interface AgentState {
    incarnation: string;
    /** Term of the newest leader; 0 before any leader has called. */
    term: number;
    /** Sequence number of that leader's latest call. */
    sequence: number;
    /** The leader's permission to renew the worker's lease for `ms` from `stamp`. */
    grant: { stamp: Stamp; ms: number } | undefined;
    /** Evacuated zones in that call; undefined if it named none. */
    evacuation: EvacuationNotice | undefined;
    worker: KnownWorker | undefined;
    /** Latest heartbeats of boots that the worker has not confirmed, by boot, oldest first. */
    claims: Map<string, WorkerHeartbeat>;
    /** Start time of the boot that `running`, `ended` and the numbers below belong to; 0 before a boot is known. */
    bornMs: number;
    /** A reading of the worker's clock, and the agent's time of that reading. */
    workerClock: { clockMs: number; at: number } | undefined;
    /** Running tasks; `sinceClockMs` is the worker's clock when it listed or started them. */
    running: Map<string, RunningTask & { sinceClockMs: number }>;
    ended: EndedTask[];
    /** Whether the worker may have ended runs that its newest lists do not show yet. */
    hasMoreEnds: boolean;
    /** Number of the latest end of this boot that the agent has seen. */
    lastEndNumber: number;
    /** Ends of this boot up to this number are recorded by the leader. */
    recorded: number;
    starts: Map<string, StartAttempt>;
    stops: Map<string, StopAttempt>;
    /** Starts without an answer, which a later boot with the same id may execute; each such boot is told to stop them. */
    strayStarts: Map<string, StrayStart>;
    /** Agent's time at which each run of this boot was started, or may have been, without those that have ended. */
    startedAt: Map<string, number>;
    /** The latest crashes of the worker, oldest first. */
    crashes: WorkerCrash[];
    consecutiveUnansweredHolds: number;
    /** Time of the first of the consecutive unanswered holds. */
    unansweredSince: number | undefined;
    /** Whether no connection could be made for the last unanswered hold. */
    isRefusingConnections: boolean;
    /** Time at which the last call that may extend the worker's lease, a hold or a start, was sent. */
    renewalSentAt: number;
    /** The worker's clock in the newest lists; older lists are dropped, as replies may arrive out of order. */
    listsClockMs: number;
    holdsInFlight: number;
    cancelNextHold: TimerStop | undefined;
    /** Increases with each change that the leader should see. */
    version: number;
    poll: PendingPoll | undefined;
}

/** Number of consecutive unanswered holds after which the agent stops renewing the lease, so that it expires. */
export const SILENT_AFTER_HOLDS = 3;
/** Number of consecutive unanswered holds after which a worker that refuses connections counts as gone. */
const GONE_AFTER_REFUSALS = 2;

/** Creates the state of a starting agent. */
export function createAgentState(incarnation: string, now: number): AgentState {
    return {
        incarnation,
        term: 0,
        sequence: 0,
        grant: undefined,
        evacuation: undefined,
        worker: undefined,
        claims: new Map(),
        bornMs: 0,
        workerClock: undefined,
        running: new Map(),
        ended: [],
        hasMoreEnds: false,
        lastEndNumber: 0,
        recorded: 0,
        starts: new Map(),
        stops: new Map(),
        strayStarts: new Map(),
        startedAt: new Map(),
        crashes: [],
        consecutiveUnansweredHolds: 0,
        unansweredSince: undefined,
        isRefusingConnections: false,
        // A previous incarnation of the agent may have renewed the lease just before this one started.
        renewalSentAt: now,
        listsClockMs: 0,
        holdsInFlight: 0,
        cancelNextHold: undefined,
        version: 1,
        poll: undefined,
    };
}

/** Whether the leader's permission to renew the worker's lease is still valid. */
export function isRenewalGranted(state: AgentState, clock: Clock): boolean {
    return state.grant !== undefined && elapsedSince(clock, state.grant.stamp) < state.grant.ms;
}

/** Estimates the worker's current clock from its last reading; undefined before the first reading. */
export function workerNow(state: AgentState, clock: Clock): number | undefined {
    const read = state.workerClock;
    return read && read.clockMs + (clock.now() - read.at);
}

/** Condition of the worker, derived from its heartbeats and from unanswered calls. */
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
    return worker.heartbeat.isDraining || worker.isLeaving ? "draining" : "ready";
}

/** Whether the worker has left or its lease must have expired, so that no run of its boot can be running. */
export function hasLapsed(state: AgentState, clock: Clock, times: LeaseTimes): boolean {
    if (state.worker?.hasLeft) {
        return true;
    }
    const condition = workerCondition(state);
    const isUnreachable = condition === "gone" || condition === "silent";
    return isUnreachable && clock.now() - state.renewalSentAt > lapseAfterMs(times);
}

/** Describes the worker for the report to the leader. */
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
    const clockMs = workerNow(state, clock);
    return {
        boot,
        service: heartbeat.service,
        availabilityZone: heartbeat.availabilityZone,
        rack: heartbeat.rack,
        labels: heartbeat.labels,
        capacity: heartbeat.capacity,
        machine: heartbeat.machine,
        condition: workerCondition(state),
        remainingMs: remainingMs(heartbeat, clockMs),
        coldRemainingMs: coldRemainingMs(heartbeat, clockMs),
        hasLapsed: hasLapsed(state, clock, times),
    };
}

/** Minimum time until a draining worker leaves when its clock shows `clockMs`; undefined if it names none. */
function remainingMs(heartbeat: WorkerHeartbeat, clockMs: number | undefined): number | undefined {
    const { remainingMs: statedMs } = heartbeat;
    return statedMs === undefined ? undefined : Math.max(0, statedMs - sinceHeartbeatMs(heartbeat, clockMs));
}

/** Time for which the worker stays slow when its clock shows `clockMs`; undefined if it is warm. */
function coldRemainingMs(heartbeat: WorkerHeartbeat, clockMs: number | undefined): number | undefined {
    const leftMs = (heartbeat.coldRemainingMs ?? 0) - sinceHeartbeatMs(heartbeat, clockMs);
    return leftMs > 0 ? leftMs : undefined;
}

function sinceHeartbeatMs(heartbeat: WorkerHeartbeat, clockMs = heartbeat.clockMs): number {
    return Math.max(0, clockMs - heartbeat.clockMs);
}

/** Applies a heartbeat of the known boot unless a newer one is known or the boot has left. */
export function applyHeartbeat(worker: KnownWorker, heartbeat: WorkerHeartbeat): void {
    if (!worker.hasLeft && heartbeat.sequence > worker.heartbeat.sequence) {
        worker.heartbeat = heartbeat;
    }
}

/** Makes the boot of a heartbeat the known one, once the worker has confirmed that it is this boot. */
export function adoptBoot(state: AgentState, heartbeat: WorkerHeartbeat, now: number): void {
    const boot = bootOf(heartbeat);
    if (state.bornMs !== boot.bornMs) {
        resetForBoot(state, boot.bornMs, now);
    }
    state.worker = { boot, heartbeat, isLeaving: false, hasLeft: false };
    state.workerClock ??= { clockMs: heartbeat.clockMs, at: now };
}

/**
 * Whether a boot with this start time has answered before the known boot did. The start times alone do not tell, as the
 * wall clock may be set back: a call that was sent once the known boot had answered reaches that boot or a later one.
 */
export function isFormerBoot(state: AgentState, bornMs: number, knownWhenSent: number): boolean {
    const wasKnown = knownWhenSent === state.bornMs;
    return !wasKnown && (bornMs === knownWhenSent || bornMs < state.bornMs);
}

/** The boot that a heartbeat speaks for. */
export function bootOf({ id, bornMs }: WorkerHeartbeat): Boot {
    return { id, bornMs };
}

/**
 * Clears the state of the previous boot. Starts that may still be executed are kept as stray starts, and listed stops are
 * to be sent again: the new boot knows none of them, and its clock cannot be compared with that of an earlier answer.
 */
export function resetForBoot(state: AgentState, bornMs: number, now: number): void {
    recordCrash(state, now);
    state.bornMs = bornMs;
    for (const { order, state: progress } of state.starts.values()) {
        if (progress === "calling") {
            addStrayStart(state, order, now);
        }
    }
    state.running.clear();
    state.ended = [];
    state.hasMoreEnds = false;
    state.lastEndNumber = 0;
    state.recorded = 0;
    state.listsClockMs = 0;
    state.starts.clear();
    for (const attempt of state.stops.values()) {
        // A call in flight is sent again once it is answered.
        attempt.state = attempt.state === "calling" ? "calling" : "idle";
    }
    state.startedAt.clear();
    state.consecutiveUnansweredHolds = 0;
    state.unansweredSince = undefined;
    state.isRefusingConnections = false;
    state.workerClock = undefined;
}

/** Why a stopped run can neither be running nor start any more. */
export type CloseReason = "other-boot" | "lapsed" | "not-listed";

/** Finds out why a run with a listed stop is closed; undefined while it may be running or may still start. */
export function findCloseReason(
    state: AgentState,
    { order, state: progress, answeredClockMs }: StopAttempt,
    clock: Clock,
    times: LeaseTimes,
): CloseReason | undefined {
    const { worker } = state;
    if (progress === "other-boot" || (worker && worker.boot.id !== order.boot.id)) {
        // A start names its boot id, so a boot with another id refuses it however late it arrives.
        return "other-boot";
    }
    if (hasLapsed(state, clock, times)) {
        return "lapsed";
    }
    const hasNewerLists = progress === "answered" && state.listsClockMs > answeredClockMs;
    return hasNewerLists && !state.hasMoreEnds && !state.running.has(runKey(order))
        ? "not-listed"
        : undefined;
}
