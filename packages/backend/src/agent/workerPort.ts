import type { Either } from "purify-ts/Either";
import type { EndedTask, RunId, RunningTask, StartRefusal } from "@tanagerdeck/decisions/worker/workerReport";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";

/** Order to start a run, as sent to the worker. */
export interface WorkerStartOrder extends RunId {
    /** Id of the worker boot that the call is for; a boot with another id refuses it. */
    id: string;
    /** Term of the leader that gave the order. */
    fence: number;
    spec: string;
    saved?: string | undefined;
    /** Time on the worker's clock after which it refuses the start; an accepted start extends the lease to then. */
    deadlineMs: number;
}

/** Order to end a run. The worker also refuses a start of this run that arrives later. */
export interface WorkerStopOrder extends RunId {
    id: string;
    fence: number;
}

/** Hold: a long poll that renews the worker's lease and reads its running and ended tasks. */
export interface WorkerHoldOrder {
    /** Id of the worker boot; absent while the agent does not know it. */
    id?: string | undefined;
    fence: number;
    /** Ends up to this number are recorded, so the worker may drop them from its list. */
    recorded: number;
    /** Time on the worker's clock until which the lease is extended; absent to read the lists without a renewal. */
    deadlineMs?: number | undefined;
    /** Longest time for which the worker may delay its answer until a task ends. */
    waitMs: number;
}

/** Tasks that run or have ended on the worker, with the worker's clock when it made the lists. */
export interface WorkerRunLists {
    kind: "lists";
    clockMs: number;
    bornMs: number;
    running: RunningTask[];
    ended: EndedTask[];
}

/** Answer to a call that the worker executed, with the worker's clock at that time. */
export interface WorkerAcceptance {
    kind: "accepted";
    clockMs: number;
}

/** Answer to a call that the worker did not execute. */
export interface WorkerRefusal {
    kind: "refused";
    reason: StartRefusal;
}

/**
 * Calls from the agent to its worker. A failure with verdict `may-have-run` means that the worker may have executed the
 * call or may still execute it seconds later; `not-run` means that no connection was made.
 */
export interface WorkerPort {
    start(order: WorkerStartOrder): Promise<Either<Failure, WorkerAcceptance | WorkerRefusal>>;
    stop(order: WorkerStopOrder): Promise<Either<Failure, WorkerAcceptance | WorkerRefusal>>;
    hold(order: WorkerHoldOrder): Promise<Either<Failure, WorkerRunLists | WorkerRefusal>>;
}

/** Heartbeat in which a worker describes itself. */
export interface WorkerHeartbeat {
    id: string;
    bornMs: number;
    /** Increases with each heartbeat of a boot. */
    sequence: number;
    service: string;
    availabilityZone: string;
    isDraining: boolean;
    remainingMs?: number | undefined;
    /** Time from `clockMs` for which the worker stays slow after a cold start; absent or 0 if it is warm. */
    coldRemainingMs?: number | undefined;
    rack?: string | undefined;
    labels: string[];
    capacity: { cpuMillis: number; memoryMb: number; gpus: number };
    machine?: string | undefined;
    /** The worker's clock when it sent the heartbeat. */
    clockMs: number;
}
