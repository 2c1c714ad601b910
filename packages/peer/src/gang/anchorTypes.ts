// Messages, options and state of the anchor task, which coordinates the members of gangs.
import type { Either } from "purify-ts/Either";
import type { GangReport, GangState, GangStopReason } from "@tanagerdeck/decisions/fleet/reportTypes";
import type {
    CommitReply,
    CommitRequest,
    GangAttemptId,
    PartReply,
    PartState,
    SettleRequest,
    SettleReply,
    StopReply,
} from "@tanagerdeck/decisions/gang/gangTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Reply, TaskContext } from "@tanagerdeck/runtime/task/task";
import type { MemberCalls } from "./gangCalls.ts";

/** The call that is made to every member in one round. */
export type RoundStep = "prepare" | "start" | "renew";

/**
 * Messages that the anchor task handles. `key` identifies a gang's attempt, `member` is the index of a member,
 * `round` is the number of the round that a reply or a timer belongs to.
 */
export type AnchorMessage =
    | { kind: "commit"; commitment: CommitRequest; reply: Reply<CommitReply> }
    | { kind: "settle"; settlement: SettleRequest; reply: Reply<SettleReply> }
    | { kind: "reclaim"; reference: GangAttemptId; reply: Reply<{ accepted: true }> }
    /** Result of a round's call to a member. */
    | { kind: "part"; key: string; round: number; member: number; result: Either<Failure, PartReply> }
    /** Timer: repeats a call that failed. */
    | { kind: "call-part"; key: string; round: number; member: number }
    | { kind: "next-round"; key: string; round: number }
    | { kind: "round-timeout"; key: string; round: number }
    /** Timer: the job's declared run time is over. */
    | { kind: "time-limit"; key: string }
    /** Timer: repeats a stop. */
    | { kind: "stop-part"; key: string; member: number }
    /** Result of a stop. */
    | { kind: "part-stopped"; key: string; member: number; result: Either<Failure, StopReply> }
    | { kind: "stop-timeout"; key: string }
    /** Entries have recorded the ends of these gangs, which are then removed. */
    | { kind: "recorded"; keys: string[] }
    | { kind: "reports"; reply: Reply<GangReport[]> }
    /** Timer: removes ended gangs and fences whose retention is over. */
    | { kind: "sweep" };

/** Settings and dependencies of the anchor task. */
export interface AnchorOptions {
    /** `ip:port` of this agent, for the members' reclaim calls. */
    address: () => string;
    /** Identifies this run of the agent; commits for another one are refused. */
    incarnation: string;
    clock: Clock;
    log: Log;
    calls: MemberCalls;
}

/** A member's confirmation in the last round. */
export interface MemberConfirmation {
    state: PartState;
    stamp: number;
    receivedAt: number;
    staleMs: number;
}

/** Lease that the next call grants to a member; `stamp` is that of the member's confirmation. */
export interface MemberLease {
    stamp: number;
    leaseMs: number;
}

/** One round of calls to all members; it completes when all have confirmed. */
export interface Round {
    number: number;
    step: RoundStep;
    startedAt: number;
    confirmations: Map<number, MemberConfirmation>;
}

/** A committed attempt of a gang. Its maps are keyed by the member's index. */
export interface Gang {
    key: string;
    commitment: CommitRequest;
    state: GangState;
    round: Round;
    leases: Map<number, MemberLease>;
    committedAt: number;
    /** Monotonic time at which the start round began; undefined before. */
    startedAt: number | undefined;
    /** Monotonic start time of the last start or renew round that all members confirmed. */
    allConfirmedAt: number;
    stopReason: GangStopReason | undefined;
    /** Whether members write a checkpoint when they stop. */
    shouldWriteCheckpoints: boolean;
    lostMember: number | undefined;
    /** Members that have stopped, with the checkpoint that they wrote. */
    checkpointsByStoppedMember: Map<number, string | undefined>;
    /** Monotonic time of the end; undefined before. */
    endedAt: number | undefined;
}

/** State of the anchor task. */
export interface AnchorState {
    gangs: Map<string, Gang>;
    /** Highest attempt of each gang that was committed or refused here; it and lower ones are refused. */
    fences: Map<string, { attempt: number; committed: boolean; touchedAt: number }>;
    options: AnchorOptions;
}

/** Context of the anchor task's handlers. */
export type AnchorContext = TaskContext<AnchorMessage>;
