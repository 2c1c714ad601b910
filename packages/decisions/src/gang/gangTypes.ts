import type { GangReport } from "../fleet/reportTypes.ts";

/** Longest time for which a part may compute without the whole gang. */
export const MAX_PARTIAL_RUN_MS = 4_000;
/** Longest lease that one renewal gives a part. */
export const MAX_RUN_LEASE_MS = 3_000;
/** Interval of the anchor's renewals. */
export const RENEW_INTERVAL_MS = 1_000;
/** Time that a stopped part has to write its checkpoint. */
export const CHECKPOINT_GRACE_MS = 2_000;
/** A hold ends by itself after this time unless it is reserved again. */
export const HOLD_MS = 3_000;

/** One attempt to run a gang. `gang` is `<client account>/<job id>`. */
export interface GangAttemptId {
    gang: string;
    attempt: number;
}

/** A request for accelerators of one worker; repeating it renews the hold. */
export interface Reservation extends GangAttemptId {
    clientAccount: string;
    indexes: number[];
    /** True if the shape is one of the account's guarantees; borrowed tasks then give way. */
    guaranteed: boolean;
    holdMs: number;
    /** Revision that the coordinating entry holds; an agent with a newer one refuses. */
    configurationRevision: number;
}

/** Why a member refuses a reservation. */
export type ReserveRefusal =
    "stale" | "stale-configuration" | "occupied" | "draining" | "starting" | "invalid";

/** Reply to a reservation; `reclaiming` means ask again. */
export type ReserveReply =
    | { kind: "granted"; incarnation: string }
    | { kind: "reclaiming"; incarnation: string }
    | { kind: "refused"; reason: ReserveRefusal };

/** One agent's part of a gang. */
export interface GangMember {
    agent: string;
    address: string;
    indexes: number[];
}

/** What every part runs. */
export interface GangTask {
    kind: string;
    clientAccount: string;
    body: string;
    /** Time that the gang may compute in this attempt. */
    limitMs: number;
    /** Checkpoints of an earlier attempt, one for each part. */
    checkpoint?: string;
}

/** Asks the first member to run a gang. `incarnation` is the anchor's, so that a restarted agent refuses it. */
export interface CommitRequest extends GangAttemptId {
    incarnation: string;
    members: GangMember[];
    task: GangTask;
}

/** Reply to a commitment. */
export type CommitReply = { kind: "committed" } | { kind: "refused"; reason: "stale" | "incarnation-gone" };

/** Asks for the state of an attempt; an unknown attempt is refused from then on. */
export interface SettleRequest extends GangAttemptId {
    incarnation: string;
    action: "ask" | "cancel";
}

/** Reply to a settlement; `unknown` means that a former incarnation may have run the attempt. */
export type SettleReply = { kind: "known"; report: GangReport } | { kind: "not-run" } | { kind: "unknown" };

/** Asks a member to load its part without computing. */
export interface PrepareRequest extends GangAttemptId {
    /** `ip:port` of the anchor's agent. */
    anchor: string;
    task: GangTask;
}

/**
 * Permission to compute for `leaseMs` after `stamp`. The stamp is the member's own monotonic time from its
 * last confirmation, so a delayed message gives no more time than a punctual one.
 */
export interface LeaseRequest extends GangAttemptId {
    stamp: number;
    leaseMs: number;
}

/** Asks a member to end its part and to refuse the attempt from then on. */
export interface StopRequest extends GangAttemptId {
    checkpoint: boolean;
}

/** State of a part at its member. */
export type PartState = "loading" | "prepared" | "starting" | "computing" | "finished";

/** Why a member no longer runs its part. */
export type PartLossReason = "stale" | "expired" | "reclaimed" | "draining" | "failed" | "worker-lost";

/** A member's confirmation. `staleMs` is the age of the worker's last sign of life for this part. */
export type PartReply =
    | { kind: "confirmed"; state: PartState; stamp: number; staleMs: number }
    | { kind: "lost"; reason: PartLossReason };

/** Reply to a stop order. `checkpoint` is present if the part wrote one. */
export type StopReply = { kind: "stopping" } | { kind: "stopped"; checkpoint?: string };

/** Text that identifies an attempt, also the id of its tasks on workers. */
export function attemptKey(reference: GangAttemptId): string {
    return `${reference.gang}#${reference.attempt}`;
}
