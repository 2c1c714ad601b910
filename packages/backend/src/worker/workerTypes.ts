import type {
    GangAttemptId,
    GangTask,
    LeaseRequest,
    PartLossReason,
    PartReply,
    PartState,
    PrepareRequest,
    Reservation,
    ReserveReply,
    StopRequest,
    StopReply,
} from "@tanagerdeck/decisions/gang/gangTypes";
import type { UsageCounter, WorkerLoad } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { BoundAccounts, AcceleratorLedger } from "@tanagerdeck/decisions/ledger/acceleratorLedgerTypes";
import type { UsageMeter } from "@tanagerdeck/decisions/ledger/usageMeter";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Reply, TaskContext } from "@tanagerdeck/runtime/task/task";
import type { TaskUsage, WorkerCalls, WorkerReply, WorkerTaskView } from "./workerClient.ts";

/** Load and usage of a worker, as its agent reports them. */
export interface WorkerStatus {
    load: WorkerLoad;
    usage: UsageCounter[];
    parts: number;
}

/** Messages that the worker task handles. */
export type WorkerMessage =
    | { kind: "reserve"; reservation: Reservation; reply: Reply<ReserveReply> }
    | { kind: "release"; reference: GangAttemptId; reply: Reply<{ released: true }> }
    | { kind: "prepare"; preparation: PrepareRequest; reply: Reply<PartReply> }
    | { kind: "start"; order: LeaseRequest; reply: Reply<PartReply> }
    | { kind: "renew"; order: LeaseRequest; reply: Reply<PartReply> }
    | { kind: "stop"; order: StopRequest; reply: Reply<StopReply> }
    | { kind: "created"; id: string; sentAt: number; leaseMs: number; reply: WorkerReply<WorkerTaskView> }
    | { kind: "renewed"; id: string; sentAt: number; leaseMs: number; reply: WorkerReply<WorkerTaskView> }
    | { kind: "started"; id: string; sentAt: number; reply: WorkerReply<WorkerTaskView> }
    | { kind: "paused"; id: string; checkpoint: boolean; reply: WorkerReply<WorkerTaskView> }
    | { kind: "checkpointed"; id: string; reply: WorkerReply<{ checkpoint: string }> }
    | { kind: "remove"; id: string }
    | { kind: "removed"; id: string; reply: WorkerReply<object> }
    | { kind: "reclaim-end"; id: string }
    | { kind: "tick" }
    | { kind: "read-usage" }
    | { kind: "usage"; reply: WorkerReply<TaskUsage[]> }
    | { kind: "adopt" }
    | { kind: "adopted"; reply: WorkerReply<WorkerTaskView[]> }
    | { kind: "bindings"; bound: BoundAccounts }
    | { kind: "drain" }
    | { kind: "drain-end" }
    | { kind: "status"; reply: Reply<WorkerStatus> };

/** Dependencies of the worker task. */
export interface WorkerOptions {
    rack: string;
    slot: number;
    accelerators: number;
    incarnation: string;
    clock: Clock;
    log: Log;
    calls: WorkerCalls;
    /** Asks the anchor at `ip:port` to checkpoint and stop a gang, without waiting for the result. */
    askReclaim: (anchor: string, reference: GangAttemptId) => void;
}

/** The part of a gang that runs on this worker. Times are monotonic milliseconds of this process. */
export interface Part {
    id: string;
    reference: GangAttemptId;
    anchor: string;
    task: GangTask;
    indexes: number[];
    phase: PartState | "stopping";
    /** End of the part's lease; its task may not run after this time. */
    leaseEnd: number;
    /** Send time of the latest call whose answer showed that the task exists. */
    evidenceAt: number;
    /** Time by which the task has ended unless another call extends its lease. */
    endsBy: number;
    /** Number of calls in flight that may create the task or extend its lease. */
    leaseCalls: number;
    /** Whether the worker has confirmed that a stopping task no longer computes. */
    paused: boolean;
    /** Send time of the accepted start, before which the task did not compute. */
    startedAt: number | undefined;
    /** Time when the worker's acceptance of the start arrived; calls sent earlier may still show the task as loaded. */
    computingSince: number;
    /** Whether a renewal has confirmed that the whole gang runs; use is counted only then. */
    confirmed: boolean;
    /** Time when the reclaim of the part's accelerators began. */
    reclaimAt: number | undefined;
    /** End of the task's leases while the part is stopping. */
    stopBy: number;
    /** Whether the task is to be removed, without further renewals. */
    ending: boolean;
    /** Whether the worker has been asked to remove the task. */
    removing: boolean;
    /** Replies to start orders that wait for the worker. */
    startReplies: Reply<PartReply>[];
}

/** Result of an ended part, kept for repeated messages of its anchor. */
export interface EndedPart {
    endedAt: number;
    loss?: PartLossReason;
    checkpoint?: string;
}

/** State of the worker task. */
export interface WorkerState {
    ledger: AcceleratorLedger;
    bound: BoundAccounts;
    parts: Map<string, Part>;
    ended: Map<string, EndedPart>;
    recentOutcomes: WorkerLoad["recentOutcomes"];
    meter: UsageMeter;
    ready: boolean;
    /** Time of the worker's latest answer to a regular usage call. */
    answeredAt: number;
    draining: boolean;
    options: WorkerOptions;
}

/** Context of the worker task's handlers. */
export type WorkerContext = TaskContext<WorkerMessage>;
