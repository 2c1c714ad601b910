/**
 * Messages between the processes that run a gang, and their time limits. A gang is a job whose parts run at
 * the same time, one on each member, which is an agent with a worker. The agent of the first member is the
 * anchor: it starts the parts, renews their leases and stops them together.
 */
import type { GangReport } from "../fleet/reportTypes.ts";

/** Longest time for which a part may compute while other parts of its gang do not. */
export const MAX_PARTIAL_RUN_MS = 4_000;
/** Longest lease that one renewal grants to a part. */
export const MAX_RUN_LEASE_MS = 3_000;
/** Interval at which the anchor renews the leases of all parts. */
export const RENEW_INTERVAL_MS = 1_000;
/** Time that a part has to write its checkpoint after a stop request. */
export const CHECKPOINT_GRACE_MS = 2_000;
/** A hold on accelerators expires after this time unless the reservation is repeated. */
export const HOLD_MS = 3_000;

/** Identifies one attempt to run a gang. `gang` is `<client account>/<job id>`. */
export interface GangAttemptId {
    gang: string;
    attempt: number;
}

/** Asks a member to hold accelerators of its worker for an attempt; repeating it renews the hold. */
export interface Reservation extends GangAttemptId {
    clientAccount: string;
    indexes: number[];
    /** True if the shape is one of the account's guarantees; tasks on borrowed accelerators are then preempted. */
    guaranteed: boolean;
    holdMs: number;
    /** Configuration revision of the entry that coordinates the job; an agent with a newer one refuses. */
    configurationRevision: number;
}

/** Why a member refuses a reservation. */
export type ReserveRefusal =
    "stale" | "stale-configuration" | "occupied" | "draining" | "starting" | "invalid";

/** Reply to a reservation. `reclaiming`: tasks are being preempted, so the entry must ask again. */
export type ReserveReply =
    | { kind: "granted"; incarnation: string }
    | { kind: "reclaiming"; incarnation: string }
    | { kind: "refused"; reason: ReserveRefusal };

/** An agent that runs a part of a gang, and the accelerators of its worker that the part uses. */
export interface GangMember {
    agent: string;
    address: string;
    indexes: number[];
}

/** The task that every part of a gang runs. */
export interface GangTask {
    kind: string;
    clientAccount: string;
    body: string;
    /** Time for which the gang may compute in this attempt. */
    limitMs: number;
    /** Checkpoints of an earlier attempt, one for each part. */
    checkpoint?: string;
}

/** Asks the anchor to run a gang. `incarnation` is the anchor's, so that a restarted agent refuses the request. */
export interface CommitRequest extends GangAttemptId {
    incarnation: string;
    members: GangMember[];
    task: GangTask;
}

/** Reply to a `CommitRequest`. */
export type CommitReply = { kind: "committed" } | { kind: "refused"; reason: "stale" | "incarnation-gone" };

/** Asks the anchor for the state of an attempt, or to cancel it; an unknown attempt is refused from then on. */
export interface SettleRequest extends GangAttemptId {
    incarnation: string;
    action: "ask" | "cancel";
}

/** Reply to a `SettleRequest`; `unknown` means that an earlier incarnation of the agent may have run the attempt. */
export type SettleReply = { kind: "known"; report: GangReport } | { kind: "not-run" } | { kind: "unknown" };

/** Asks a member to load its part but not to start computing. */
export interface PrepareRequest extends GangAttemptId {
    /** `ip:port` of the anchor's agent. */
    anchor: string;
    task: GangTask;
}

/**
 * Allows a part to compute until `leaseMs` after `stamp`. The stamp is a time of the member's own monotonic clock,
 * taken from its last confirmation, so a delayed message does not extend the lease.
 */
export interface LeaseRequest extends GangAttemptId {
    stamp: number;
    leaseMs: number;
}

/** Asks a member to end its part and to refuse the attempt from then on; `checkpoint` asks for a checkpoint first. */
export interface StopRequest extends GangAttemptId {
    checkpoint: boolean;
}

/** State of a part as its member sees it. */
export type PartState = "loading" | "prepared" | "starting" | "computing" | "finished";

/** Why a member no longer runs its part. */
export type PartLossReason = "stale" | "expired" | "reclaimed" | "draining" | "failed" | "worker-lost";

/** A member's reply about its part. `staleMs` is the time since the worker last reported that the part is alive. */
export type PartReply =
    | { kind: "confirmed"; state: PartState; stamp: number; staleMs: number }
    | { kind: "lost"; reason: PartLossReason };

/** Reply to a `StopRequest`. `checkpoint` is present if the part wrote one. */
export type StopReply = { kind: "stopping" } | { kind: "stopped"; checkpoint?: string };

/** Formats an attempt as `<gang>#<attempt>`. Workers use this text as the id of the attempt's tasks. */
export function attemptKey(reference: GangAttemptId): string {
    return `${reference.gang}#${reference.attempt}`;
}
