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

/** What a worker's agent reports about itself. */
export interface WorkerStatus {
    load: WorkerLoad;
    usage: UsageCounter[];
    parts: number;
}

/** Messages of the worker task. */
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
    /** Asks the anchor at `ip:port` to checkpoint and stop a gang; nobody waits for the result. */
    askReclaim: (anchor: string, reference: GangAttemptId) => void;
}

/** A part of a gang on this worker. Times are this process's monotonic milliseconds. */
export interface Part {
    id: string;
    reference: GangAttemptId;
    anchor: string;
    task: GangTask;
    indexes: number[];
    phase: PartState | "stopping";
    /** End of the permission to have a task here. */
    leaseEnd: number;
    /** Send time of the last call whose answer showed the task alive. */
    evidenceAt: number;
    /** The task has ended by this time if no call gives it another lease. */
    endsBy: number;
    /** Calls in flight that may give the task a lease. */
    leaseCalls: number;
    /** True once the worker has confirmed that a stopping task does not compute. */
    paused: boolean;
    /** Send time of the accepted order to compute; the task did not compute earlier. */
    startedAt: number | undefined;
    /** Time when the worker's acceptance arrived; calls sent earlier may still show the task loaded. */
    computingSince: number;
    confirmed: boolean;
    reclaimAt: number | undefined;
    stopBy: number;
    ending: boolean;
    /** True once the worker has been asked to remove the task. */
    removing: boolean;
    startReplies: Reply<PartReply>[];
}

/** What remains of an ended part, for repeated messages of its anchor. */
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
    /** Time of the worker's last answer to a regular read. */
    answeredAt: number;
    draining: boolean;
    options: WorkerOptions;
}

/** Context of the worker task's handlers. */
export type WorkerContext = TaskContext<WorkerMessage>;
