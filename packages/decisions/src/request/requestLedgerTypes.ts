import type { Outcome } from "../verdict/verdictTypes.ts";

/** Memory limits of a request ledger. */
export interface LedgerLimits {
    /** Bytes of retained answer bodies. */
    bytes: number;
    records: number;
}

/** State of one request id that this incarnation has seen. Times are milliseconds of the ledger's clock. */
export interface LedgerRecord {
    key: string;
    id: string;
    clientAccount: string;
    /** Undefined for a tombstone, which stands for an id whose body never arrived. */
    bodyDigest: string | undefined;
    state: "waiting" | "running" | "done";
    outcome: Outcome | undefined;
    repeatable: boolean;
    /** Send attempts of a repeatable id that this record answers; delayed copies of them do not run the id again. */
    attempts: string[];
    expiresAt: number;
    deliveredAt: number | undefined;
}

/**
 * The requests that one incarnation of an agent has seen, so that no request runs twice. `now` never goes back.
 * A ticket without a record that expires at or before `closedUpTo` is refused, so the records of such tickets can
 * be removed.
 */
export interface RequestLedger {
    incarnation: string;
    limits: LedgerLimits;
    records: Map<string, LedgerRecord>;
    now: number;
    closedUpTo: number;
    retainedBytes: number;
}

/** One attempt of an entry to send a request. */
export interface SendAttempt {
    /** The agent incarnation to which the entry sent the request. */
    incarnation: string;
    /** Random id of the attempt. */
    attempt: string;
}

/** Identifies a request of a client account and one attempt to send it. */
export interface LedgerReference extends SendAttempt {
    id: string;
    clientAccount: string;
}

/** Creates an empty ledger whose clock starts at `now`. */
export function createRequestLedger(incarnation: string, limits: LedgerLimits, now: number): RequestLedger {
    return { incarnation, limits, records: new Map(), now, closedUpTo: now, retainedBytes: 0 };
}
