import type { Outcome } from "../verdict/verdictTypes.ts";

/** Bounds of a ledger's memory. */
export interface LedgerLimits {
    /** Bytes of retained answer bodies. */
    bytes: number;
    records: number;
}

/** One id that this incarnation has seen. Times are ledger milliseconds. */
export interface LedgerRecord {
    key: string;
    id: string;
    clientAccount: string;
    /** Undefined for a tombstone of an id whose body never arrived. */
    bodyDigest: string | undefined;
    state: "waiting" | "running" | "done";
    outcome: Outcome | undefined;
    repeatable: boolean;
    /** Sends of a repeatable id that are closed with this record; a delayed copy of one is refused, a new one runs. */
    attempts: string[];
    expiresAt: number;
    deliveredAt: number | undefined;
}

/**
 * Memory of one incarnation of an agent. `now` never goes back.
 * A ticket that is unknown and expires at or before `closedUpTo` never runs,
 * so records at or before it can be forgotten.
 */
export interface RequestLedger {
    incarnation: string;
    limits: LedgerLimits;
    records: Map<string, LedgerRecord>;
    now: number;
    closedUpTo: number;
    retainedBytes: number;
}

/** One send of a request by an entry. */
export interface SendAttempt {
    /** The incarnation that the entry has sent the request to. */
    incarnation: string;
    /** Random for each send. */
    attempt: string;
}

/** Names a request of a client account and the send that it belongs to. */
export interface LedgerReference extends SendAttempt {
    id: string;
    clientAccount: string;
}

/** Builds an empty ledger at `now`. */
export function createRequestLedger(incarnation: string, limits: LedgerLimits, now: number): RequestLedger {
    return { incarnation, limits, records: new Map(), now, closedUpTo: now, retainedBytes: 0 };
}
