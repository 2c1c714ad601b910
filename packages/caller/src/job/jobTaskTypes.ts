import type { Either } from "purify-ts/Either";
import type { Configuration, Priority, Shape } from "@tanagerdeck/decisions/document/documentTypes";
import type { GangReport } from "@tanagerdeck/decisions/fleet/reportTypes";
import type {
    CommitReply,
    CommitRequest,
    GangAttemptId,
    Reservation,
    ReserveReply,
    SettleRequest,
    SettleReply,
} from "@tanagerdeck/decisions/gang/gangTypes";
import type { ServerHealth } from "@tanagerdeck/decisions/health/serverHealth";
import type { JobRecord, JobStatus } from "@tanagerdeck/decisions/gang/jobTypes";
import type { PlacementIndex } from "@tanagerdeck/decisions/placement/placementIndex";
import type { Placement } from "@tanagerdeck/decisions/placement/placementTypes";
import type { RoundInput, RoundResult } from "@tanagerdeck/decisions/queue/dispatchRound";
import type { PlannedPlacement, RunTimes } from "@tanagerdeck/decisions/queue/queueTypes";
import type { AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { JobRecords, RecordWriteResult, StoredJob } from "@tanagerdeck/store/record/jobRecords";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Metrics } from "@tanagerdeck/runtime/metrics/metricsTypes";
import type { Reply, TaskContext } from "@tanagerdeck/runtime/task/task";

/** A gang job as submitted by an authenticated caller. */
export interface CallerJob {
    id: string;
    clientAccount: string;
    kind: string;
    shape: Shape;
    /** Run time that the caller expects. */
    seconds: number;
    body: string;
}

/** Reply to a call about a job: its status, or why the call failed. */
export type JobReply = { kind: "status"; status: JobStatus } | Failure;

/** Identifies a job; ids are unique within a client account. */
export interface JobReference {
    clientAccount: string;
    id: string;
}

/** Gang calls to agents. `address` is `ip:port`; the peer package implements the calls. */
export interface JobCalls {
    reserve(address: string, reservation: Reservation): Promise<Either<Failure, ReserveReply>>;
    release(address: string, reference: GangAttemptId): Promise<Either<Failure, { released: true }>>;
    commit(address: string, commitment: CommitRequest): Promise<Either<Failure, CommitReply>>;
    settleGang(address: string, settlement: SettleRequest): Promise<Either<Failure, SettleReply>>;
}

/** Dispatch policy: decides which of the waiting jobs start now, and on which accelerators. */
export type Dispatch = (input: RoundInput) => RoundResult;

/** Messages of the jobs task. `epoch` is the job's epoch at the time of the call that a message answers. */
export type JobMessage =
    | { kind: "submit"; job: CallerJob; reply: Reply<JobReply> }
    | { kind: "status"; job: JobReference; reply: Reply<JobReply> }
    | { kind: "cancel"; job: JobReference; reply: Reply<JobReply> }
    | { kind: "fleet"; agents: AgentView[] }
    | { kind: "configuration"; configuration: Configuration }
    | { kind: "gangs"; gangs: GangReport[]; reply: Reply<string[]> }
    | { kind: "tick" }
    | { kind: "dispatch" }
    | { kind: "released" }
    | { kind: "reserved"; key: string; epoch: number; agent: string; result: Either<Failure, ReserveReply> }
    | { kind: "reserve-again"; key: string; epoch: number }
    | { kind: "committed"; key: string; epoch: number; result: Either<Failure, CommitReply> }
    | { kind: "settle"; key: string; epoch: number }
    | { kind: "settled"; key: string; epoch: number; result: Either<Failure, SettleReply> }
    | { kind: "written"; key: string; record: JobRecord; result: RecordWriteResult }
    | { kind: "write-again"; key: string }
    | { kind: "record-overdue"; key: string; epoch: number }
    | { kind: "claim"; owner: string }
    | { kind: "listed"; owner: string; result: Either<Failure, StoredJob[]> }
    | { kind: "hand-over"; reply: Reply<void> };

/** Dependencies of the jobs task. */
export interface JobOptions {
    /** Name of this entry, stored as the owner in job records. */
    entry: string;
    clock: Clock;
    log: Log;
    random: () => number;
    newId: () => string;
    calls: JobCalls;
    records: JobRecords;
    dispatch: Dispatch;
    metrics: Metrics;
}

/** Phase of a job at the entry that coordinates it. */
export type JobPhase =
    "accepting" | "queued" | "reserving" | "recording" | "committing" | "running" | "settling" | "ended";

/** A job that this entry coordinates. Times are in milliseconds of this process's monotonic clock. */
export interface Job {
    key: string;
    record: JobRecord;
    priority: Priority;
    repeatable: boolean;
    limitMs: number;
    /** True from the claim of the job from another entry until the first attempt here. */
    claimed: boolean;
    phase: JobPhase;
    /** Incremented on each phase change, so that replies to calls of earlier phases are ignored. */
    epoch: number;
    acceptedAt: number;
    placement: Placement | undefined;
    reserveReplies: Map<string, ReserveReply | undefined>;
    attemptStartedAt: number;
    /** Time at which the current attempt was committed. */
    startedAt: number;
    grantedAt: number;
    nextAttemptAt: number;
    backoffMs: number;
    settlingSince: number;
    cancelled: boolean;
    failures: number;
    /** Agents on which a part of this job has failed; excluded for the rest of the job. */
    excluded: Set<string>;
    /** Agents that could not serve an attempt, with the time until which placement skips them. */
    avoided: Map<string, number>;
    /** Version of the stored record; 0 if there is none. */
    version: number;
    /** True if the stored record equals `record`. */
    recorded: boolean;
    writing: boolean;
    /** Ids of writes without a known result; each may have taken effect. */
    unresolvedWrites: Set<string>;
    /** Attempt in the last stored record; its anchor is stored too. */
    recordedAttempt: number;
    /** Attempts whose end was processed; a repeated report of one is only acknowledged. */
    endedAttempts: string[];
    waiters: Reply<JobReply>[];
    endedAt: number;
}

/** State of the jobs task. */
export interface JobsState {
    jobs: Map<string, Job>;
    agents: AgentView[];
    configuration: Configuration | undefined;
    /** Placement index of the current configuration, rebuilt when the configuration changes. */
    index: PlacementIndex | undefined;
    /** Accelerators reserved for the first waiting job that does not fit now. */
    plan: PlannedPlacement | undefined;
    runTimes: RunTimes;
    /** Health by agent name, learned from the gangs that this entry coordinates. */
    workerHealth: Map<string, ServerHealth>;
    platformDownUntil: number;
    handOver: Reply<void> | undefined;
    options: JobOptions;
}

/** Context of the jobs task's handlers. */
export type JobContext = TaskContext<JobMessage>;
