import type { Either } from "purify-ts/Either";
import type { Boot } from "@tanagerdeck/decisions/job/progressTypes";
import type { LeaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { SyncReply, SyncRequest } from "@tanagerdeck/decisions/worker/workerReport";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { SchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import type {
    WorkerAcceptance,
    WorkerHeartbeat,
    WorkerRunLists,
    WorkerPort,
    WorkerRefusal,
} from "./workerPort.ts";

/**
 * Messages that the agent task handles. In the answers to calls, `bornMs` is the start time of the boot that the agent knew
 * when it sent the call.
 */
export type AgentMessage =
    /** The reply acknowledges the heartbeat; it is sent for outdated heartbeats too. */
    | { kind: "heartbeat"; heartbeat: WorkerHeartbeat; reply: Reply<void> }
    /** The worker's message that it leaves; `bornMs` is absent if the message does not name the start time. */
    | { kind: "left"; id: string; bornMs?: number | undefined; reply: Reply<void> }
    | { kind: "confirm"; key: string }
    | {
          kind: "confirmed";
          key: string;
          bornMs: number;
          result: Either<Failure, WorkerRunLists | WorkerRefusal>;
      }
    | { kind: "check-leave"; boot: Boot; since: number }
    | {
          kind: "leave-checked";
          boot: Boot;
          since: number;
          result: Either<Failure, WorkerRunLists | WorkerRefusal>;
      }
    | { kind: "sync"; request: SyncRequest; reply: Reply<SyncReply> }
    | { kind: "poll-ended"; reply: Reply<SyncReply> }
    | { kind: "hold"; waitMs: number }
    /** `recorded` is the number up to which the hold acknowledged ends. */
    | {
          kind: "held";
          sentAt: number;
          bornMs: number;
          recorded: number;
          result: Either<Failure, WorkerRunLists | WorkerRefusal>;
      }
    | { kind: "call-start"; key: string }
    | {
          kind: "start-answered";
          key: string;
          bornMs: number;
          result: Either<Failure, WorkerAcceptance | WorkerRefusal>;
      }
    | { kind: "call-stop"; key: string }
    | {
          kind: "stop-answered";
          key: string;
          bornMs: number;
          result: Either<Failure, WorkerAcceptance | WorkerRefusal>;
      }
    | { kind: "call-stray"; key: string; bornMs: number }
    | {
          kind: "stray-answered";
          key: string;
          bornMs: number;
          result: Either<Failure, WorkerAcceptance | WorkerRefusal>;
      }
    | { kind: "last-hold"; reply: Reply<void> };

/** Dependencies of the agent task. */
export interface AgentOptions {
    port: WorkerPort;
    /** The worker's service; undefined if it is not known. */
    service: () => string | undefined;
    times: LeaseTimes;
    /**
     * Time after the acknowledgement of an evacuation, in milliseconds, after which no task may start in the zone. Absent
     * where the deployment does not use evacuations.
     */
    evacuationLimitMs?: number | undefined;
    /** Identifies this start of the agent process; a grant for another incarnation is ignored. */
    incarnation: string;
    clock: Clock;
    log: Log;
    metrics: SchedulerMetrics;
}
