import type { Resources } from "../job/jobTypes.ts";
import type { Boot, TaskEnd } from "../job/progressTypes.ts";

/**
 * Condition of a worker as its agent sees it.
 * - `ready`: it accepts tasks.
 * - `draining`: it finishes running tasks as far as its remaining time allows, then leaves.
 * - `silent`: it does not answer; its lease is no longer renewed.
 * - `gone`: it has left or its address refuses connections.
 */
export type WorkerCondition = "ready" | "draining" | "silent" | "gone";

/** A worker as its agent describes it. */
export interface WorkerDescription {
    boot: Boot;
    service: string;
    availabilityZone: string;
    rack?: string | undefined;
    labels: string[];
    capacity: Resources;
    /** Identity of the VM or machine, which stays the same across boots. */
    machine?: string | undefined;
    condition: WorkerCondition;
    /** Minimum time from the report until a draining worker leaves; absent if the worker does not say. */
    remainingMs?: number | undefined;
    /** Time for which the worker stays slow after a cold start; absent or 0 if it is warm. */
    coldRemainingMs?: number | undefined;
    /** Whether the worker's lease has certainly expired, so that no task is running. */
    hasLapsed: boolean;
}

/** Identifies one run of a task in orders and reports. */
export interface RunId {
    task: string;
    run: number;
}

/** A run that the worker lists as running. */
export interface RunningTask extends RunId {
    /** Latest checkpoint, if any. */
    saved?: string | undefined;
    /** Share of the work that is done, 0 to 100. */
    percent: number;
}

/** A run that the worker lists as ended. */
export interface EndedTask extends RunId {
    /** Sequence number of the end, which increases within a boot. */
    number: number;
    end: TaskEnd;
    saved?: string | undefined;
}

/** Order to start a run; it is invalid on any other boot. */
export interface StartOrder extends RunId {
    boot: Boot;
    spec: string;
    saved?: string | undefined;
}

/** Order to end a run and to keep it from starting later. */
export interface StopOrder extends RunId {
    boot: Boot;
}

/** Why a worker or its agent did not execute a start. */
export type StartRefusal =
    | "fence"
    | "old"
    | "late"
    | "room"
    | "ticket"
    | "invalid"
    | "unhealthy"
    | "draining"
    | "evacuated"
    | "other-boot";

/** How a crash of the worker has ended a run, by the time for which the run had been started. */
export type CrashEnd = Extract<TaskEnd, "crashed" | "crashed-at-start">;

/** State of an order that the sync request lists. */
export type OrderState =
    /** The worker has not answered yet. */
    | { kind: "pending" }
    /** The run has started and is listed under `running` or `ended`. */
    | { kind: "started" }
    | { kind: "refused"; reason: StartRefusal }
    /** The run is not running and can no longer start; `end` is set if a crash of the worker has ended it. */
    | { kind: "closed"; end?: CrashEnd | undefined };

/** A time on the agent's clocks, sent with a report and returned with the next lease grant. */
export interface Stamp {
    incarnation: string;
    now: number;
    wall: number;
}

/** What a leader knows of evacuated availability zones; an agent checks it before it starts a task. */
export interface EvacuationNotice {
    /** Names of the evacuated availability zones. */
    zones: string[];
    /** Stamp of the agent's latest report that the leader had when it sent the notice. */
    stamp: Stamp;
    /** Age of the leader's knowledge when it sent the notice, in milliseconds. */
    ageMs: number;
}

/** A leader's call to an agent. */
export interface SyncRequest {
    /** The leader's term, which is the fencing token of its orders. */
    term: number;
    /** Increases with each call of the term; the agent ignores older calls. */
    sequence: number;
    /** Permission to renew the worker's lease until `ms` after the stamp; absent if the leader may not give it. */
    grant?: { stamp: Stamp; ms: number } | undefined;
    /** Evacuated zones; absent if the deployment does not use evacuations, or before the first stamp. */
    evacuation?: EvacuationNotice | undefined;
    /** Ends of this boot up to `number` are recorded, so that the worker may forget them. */
    recorded?: { boot: Boot; number: number } | undefined;
    starts: StartOrder[];
    stops: StopOrder[];
    /** Version of the latest report that the leader has; the agent sends a newer one at once. */
    seenVersion: number;
    /** Time for which the agent may hold the call until its report changes (long polling). */
    waitMs: number;
}

/** An agent's report on its worker. */
export interface SyncReport {
    stamp: Stamp;
    /** Increases with each relevant change within an incarnation of the agent. */
    version: number;
    worker?: WorkerDescription | undefined;
    /**
     * Whether the worker's lease has certainly expired, so that no task is running. It is also told of a worker that the agent
     * does not know, as it has not answered since the agent started.
     */
    hasLapsed?: boolean | undefined;
    running: RunningTask[];
    /** Ends that are not yet recorded. */
    ended: EndedTask[];
    /** Whether the worker may have ended further runs, which it lists when those in `ended` are acknowledged. */
    hasMoreEnds?: boolean | undefined;
    /** States of the orders listed in the call. */
    starts: { run: RunId; state: OrderState }[];
    stops: { run: RunId; state: OrderState }[];
}

/** The reply to a sync: a report, or `stale` if the agent has seen a newer term or a later call. */
export type SyncReply = { kind: "report"; report: SyncReport } | { kind: "stale"; term: number };

/** Text form of a run id, for use as a map key. */
export function runKey({ task, run }: RunId): string {
    return `${task}#${run}`;
}
