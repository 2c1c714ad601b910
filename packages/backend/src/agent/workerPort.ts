import type { Either } from "purify-ts/Either";
import type { EndedTask, RunId, RunningTask, StartRefusal } from "@tanagerdeck/decisions/worker/workerReport";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";

/** Order to start a run, as the worker takes it. */
export interface WorkerStart extends RunId {
    /** The boot's name; another boot refuses the call. */
    id: string;
    fence: number;
    spec: string;
    saved?: string | undefined;
    /** Time on the worker's clock after which the start is void; it also extends the lease up to then. */
    deadlineMs: number;
}

/** Order to end a run; a run that is not there yet can then no longer start. */
export interface WorkerStop extends RunId {
    id: string;
    fence: number;
}

/** Renewal of the lease, together with a look at what runs and what has ended. */
export interface WorkerHold {
    /** Absent while the agent does not know the boot's name. */
    id?: string | undefined;
    fence: number;
    /** Number up to which the worker may forget ends. */
    recorded: number;
    /** Time on the worker's clock until which the lease is extended; absent for a look only. */
    deadlineMs?: number | undefined;
    /** Time for which the worker may wait for an end. */
    waitMs: number;
}

/** What the worker lists. */
export interface WorkerLists {
    kind: "lists";
    clockMs: number;
    bornMs: number;
    running: RunningTask[];
    ended: EndedTask[];
}

/** A call that the worker executed, with its clock at that time. */
export interface WorkerAcceptance {
    kind: "accepted";
    clockMs: number;
}

/** A call that the worker answered without executing it. */
export interface WorkerRefusal {
    kind: "refused";
    reason: StartRefusal;
}

/**
 * A worker as its agent calls it. A failure with `may-have-run` means that the call may be executed, now or seconds
 * later; one with `not-run` that no connection was made.
 */
export interface WorkerPort {
    start(order: WorkerStart): Promise<Either<Failure, WorkerAcceptance | WorkerRefusal>>;
    stop(order: WorkerStop): Promise<Either<Failure, WorkerAcceptance | WorkerRefusal>>;
    hold(order: WorkerHold): Promise<Either<Failure, WorkerLists | WorkerRefusal>>;
}

/** What a worker says of itself in a heartbeat. */
export interface WorkerHeartbeat {
    id: string;
    bornMs: number;
    /** Rises with each heartbeat of a boot. */
    sequence: number;
    service: string;
    availabilityZone: string;
    isDraining: boolean;
    remainingMs?: number | undefined;
    rack?: string | undefined;
    labels: string[];
    capacity: { cpuMillis: number; memoryMb: number; gpus: number };
    machine?: string | undefined;
    /** The worker's clock when it sent the heartbeat. */
    clockMs: number;
}
