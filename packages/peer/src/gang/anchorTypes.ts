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

/** The call that a round makes to all members. */
export type RoundStep = "prepare" | "start" | "renew";

/** Messages of the anchor task. `round` identifies the round that a reply or a timer belongs to. */
export type AnchorMessage =
    | { kind: "commit"; commitment: CommitRequest; reply: Reply<CommitReply> }
    | { kind: "settle"; settlement: SettleRequest; reply: Reply<SettleReply> }
    | { kind: "reclaim"; reference: GangAttemptId; reply: Reply<{ accepted: true }> }
    | { kind: "part"; key: string; round: number; member: number; result: Either<Failure, PartReply> }
    | { kind: "call-part"; key: string; round: number; member: number }
    | { kind: "next-round"; key: string; round: number }
    | { kind: "round-timeout"; key: string; round: number }
    | { kind: "time-limit"; key: string }
    | { kind: "stop-part"; key: string; member: number }
    | { kind: "part-stopped"; key: string; member: number; result: Either<Failure, StopReply> }
    | { kind: "stop-timeout"; key: string }
    | { kind: "recorded"; keys: string[] }
    | { kind: "reports"; reply: Reply<GangReport[]> }
    | { kind: "sweep" };

/** Dependencies of the anchor task. */
export interface AnchorOptions {
    /** `ip:port` of this agent, for the members' reclaim calls. */
    address: () => string;
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

/** Lease that the next order gives a member. */
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

/** A committed attempt. Members are known by their position. */
export interface Gang {
    key: string;
    commitment: CommitRequest;
    state: GangState;
    round: Round;
    leases: Map<number, MemberLease>;
    committedAt: number;
    /** Set when the first order to compute is sent. */
    startedAt: number | undefined;
    /** Begin of the last round in which every part was confirmed. */
    allConfirmedAt: number;
    stopReason: GangStopReason | undefined;
    checkpoint: boolean;
    lostMember: number | undefined;
    stopped: Map<number, string | undefined>;
    endedAt: number | undefined;
}

/** State of the anchor task. */
export interface AnchorState {
    gangs: Map<string, Gang>;
    /** Highest attempt of each gang that was committed or refused here. */
    fences: Map<string, { attempt: number; committed: boolean; touchedAt: number }>;
    options: AnchorOptions;
}

/** Context of the anchor task's handlers. */
export type AnchorContext = TaskContext<AnchorMessage>;
