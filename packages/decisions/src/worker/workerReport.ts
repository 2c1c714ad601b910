import type { Resources } from "../job/jobTypes.ts";
import type { Boot, TaskEnd } from "../job/progressTypes.ts";

/**
 * What the agent knows of its worker.
 * - `ready`: it takes tasks.
 * - `draining`: it finishes what runs, as far as its time allows, and leaves.
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
    /** Identity of the hardware, which outlives a boot. */
    machine?: string | undefined;
    condition: WorkerCondition;
    /** Least time until a draining worker leaves. */
    remainingMs?: number | undefined;
    /** Whether the lease has surely run out, so that nothing runs. */
    hasLapsed: boolean;
}

/** A run of a task, named as in the orders to workers. */
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
    /** Position in the worker's list of ends; it rises within a boot. */
    number: number;
    end: TaskEnd;
    saved?: string | undefined;
}

/** Order to start a run; it is void on any other boot. */
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
    "fence" | "old" | "late" | "room" | "ticket" | "invalid" | "unhealthy" | "draining" | "other-boot";

/** What has become of a listed order. */
export type OrderState =
    /** The worker has not answered yet. */
    | { kind: "pending" }
    /** The start is running or has ended; see the lists. */
    | { kind: "started" }
    | { kind: "refused"; reason: StartRefusal }
    /** The run is not running and can no longer start. */
    | { kind: "closed" };

/** A moment on the agent's clocks, returned with a report and echoed with the next grant. */
export interface Stamp {
    incarnation: string;
    now: number;
    wall: number;
}

/** A leader's call to an agent. */
export interface SyncRequest {
    /** The leader's term, which is the fencing token of its orders. */
    term: number;
    /** Rises with each call of the term; an older call is ignored. */
    sequence: number;
    /** Permission to renew the worker's lease until `ms` after the stamp; absent if the leader may not give it. */
    grant?: { stamp: Stamp; ms: number } | undefined;
    /** Ends of this boot up to the number are recorded and may be forgotten by the worker. */
    recorded?: { boot: Boot; number: number } | undefined;
    starts: StartOrder[];
    stops: StopOrder[];
    /** Version of the latest report that the leader has; a newer one is sent at once. */
    seenVersion: number;
    /** Time for which the agent may wait for news. */
    waitMs: number;
}

/** An agent's view of its worker. */
export interface SyncReport {
    stamp: Stamp;
    /** Rises with each noteworthy change within an incarnation. */
    version: number;
    worker?: WorkerDescription | undefined;
    running: RunningTask[];
    /** Ends that are not yet recorded. */
    ended: EndedTask[];
    /** States of the orders listed in the call. */
    starts: { run: RunId; state: OrderState }[];
    stops: { run: RunId; state: OrderState }[];
}

/** The reply to a sync: a report, or the news that another leader's term is newer. */
export type SyncReply = { kind: "report"; report: SyncReport } | { kind: "stale"; term: number };

/** Key of a run in maps. */
export function runKey({ task, run }: RunId): string {
    return `${task}#${run}`;
}
