import type { Either } from "purify-ts/Either";
import type { EvacuationView } from "@tanagerdeck/decisions/evacuation/evacuationTypes";
import type { LeaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import type { ManifestIndex } from "@tanagerdeck/decisions/manifest/access";
import type { Decision } from "@tanagerdeck/decisions/schedule/scheduleTypes";
import type { RoundInput } from "@tanagerdeck/decisions/schedule/schedulingRound";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { SyncReport } from "@tanagerdeck/decisions/worker/workerReport";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { SchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import type { Change, CommitReply, Transaction } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import type { Listing } from "@tanagerdeck/store/keyvalue/listing";
import type { AgentOrders } from "../session/sessionTask.ts";
import type { AbsenceMessage } from "./absenceRecording.ts";
import type { RecordWrite } from "./progressRecording.ts";
import type { SpeedMessage } from "./speedRecording.ts";

/** Messages of the planner's task. */
export type PlannerMessage =
    | { kind: "loaded"; result: Either<Failure, Listing> }
    | { kind: "changed"; change: Change }
    | { kind: "manifest"; index: ManifestIndex }
    /** The evacuated availability zones, as the store has them. */
    | { kind: "evacuations"; view: EvacuationView }
    | { kind: "report"; agent: string; report: SyncReport }
    | { kind: "suspend" }
    | { kind: "resume" }
    | { kind: "plan" }
    /** The last step of a round; `plannedMs` is the duration of the others. */
    | { kind: "order"; plannedMs: number }
    | { kind: "tick" }
    | { kind: "recorded"; write: RecordWrite; result: Either<Failure, CommitReply> }
    | AbsenceMessage
    | SpeedMessage
    | { kind: "halt"; reply: Reply<void> };

/** Operations of the planner on its sessions with the agents. */
export interface Sessions {
    /** Opens a session, or updates the address of an open one. */
    open(agent: string, address: string): void;
    order(agent: string, orders: AgentOrders): void;
    /** Allows or forbids all sessions to grant leases. */
    grants(isAllowed: boolean): void;
    /**
     * Forbids grants to one agent, whether its session is open yet or not. Resolves when no further grant is sent and all
     * reports that led to one were passed on.
     */
    withhold(agent: string): Promise<void>;
    /** Allows grants to the agent again. */
    release(agent: string): void;
}

/** Dependencies of the planner's task. */
export interface PlannerOptions {
    term: number;
    /** The latest earlier term that this process knows of. */
    formerTerm: number | undefined;
    times: LeaseTimes;
    clock: Clock;
    log: Log;
    metrics: SchedulerMetrics;
    newWriteId: () => string;
    list: () => Promise<Either<Failure, Listing>>;
    commit: (transaction: Transaction) => Promise<Either<Failure, CommitReply>>;
    sessions: Sessions;
    schedule: (input: RoundInput) => Decision[];
    /** Called when the store shows that the term has ended. */
    termEnded: () => void;
    /** How many times slower tasks run far from their data or from each other. */
    farFactor: number;
    /** Whether the deployment uses evacuations; the planner then does not plan before its first view of them. */
    followsEvacuations?: boolean | undefined;
    /** Whether agents hold starts back because the knowledge of evacuated zones is too old; absent if they never do. */
    areStartsHeld?: (() => boolean) | undefined;
    /** For how long the state of an ended job is kept. */
    keepMs: number;
}
