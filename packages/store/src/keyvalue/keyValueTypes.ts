import type { Either } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";

/** A key with its value and the revision of its last change. */
export interface Item {
    key: string;
    value: string;
    /** Store revision of the item's last change. */
    revision: number;
}

/** A change to one key; `value` is undefined if the key was removed. */
export interface Change {
    key: string;
    revision: number;
    value: string | undefined;
}

/** One page of a listing. The pages of a listing do not form a consistent snapshot. */
export interface Page {
    items: Item[];
    /** Whether another page follows. */
    hasMore: boolean;
    /** Store revision at which the page was read. */
    revision: number;
}

/** Changes after a revision; `compacted` if the store no longer keeps the history since that revision. */
export type WatchReply = { kind: "changes"; changes: Change[]; revision: number } | { kind: "compacted" };

/** Writes that are applied atomically if every expected revision matches; revision 0 means that the key is absent. */
export interface Transaction {
    expected: { key: string; revision: number }[];
    puts: { key: string; value: string; lease?: number | undefined }[];
    removes: string[];
}

/** Outcome of a transaction whose reply arrived. */
export type CommitReply =
    | { kind: "committed"; revision: number }
    /** Nothing was written; `items` holds those of the expected keys that exist. */
    | { kind: "conflict"; items: Item[] }
    | { kind: "lease-ended" };

/** Outcome of a lease renewal; `ended` means that the lease has expired. */
export type RenewReply = "kept" | "ended";

/**
 * The platform's key-value store. Replies are linearizable, except listings that allow stale data.
 * The verdict of a failure says whether the call may have been executed, possibly seconds after it was sent.
 */
export interface KeyValueStore {
    get(key: string): Promise<Either<Failure, Item | undefined>>;
    /** Reads one page of the items below a prefix, after a key. A stale page is cheaper and may be seconds old. */
    page(prefix: string, after: string | undefined, allowStale: boolean): Promise<Either<Failure, Page>>;
    /** Waits up to `waitMs` for changes after the revision `after`. */
    watch(prefix: string, after: number, waitMs: number): Promise<Either<Failure, WatchReply>>;
    commit(transaction: Transaction): Promise<Either<Failure, CommitReply>>;
    /** Grants a lease and returns its id. */
    grantLease(ttlMs: number): Promise<Either<Failure, number>>;
    renewLease(lease: number): Promise<Either<Failure, RenewReply>>;
    /** Revokes a lease and removes the keys bound to it. */
    revokeLease(lease: number): Promise<Either<Failure, void>>;
}

/** An encoded call to the store; a relay forwards it without decoding it. */
export interface StoreCall {
    /** Kind of the call in the metrics. */
    effect: "read" | "watch" | "write" | "lease";
    method: "GET" | "POST" | "DELETE";
    /** Path and query string. */
    path: string;
    body?: string | undefined;
    /**
     * Time without progress after which the caller gives up: until the reply begins, and then between its parts. A large
     * reply on a slow link may take longer, up to `REPLY_LIMIT_MS`.
     */
    timeoutMs: number;
    /** Long-poll time: how long the store may hold the call before it replies; 0 except for watches. */
    heldMs: number;
}

/** The store's reply to a call, still encoded. */
export interface StoreReply {
    status: number;
    body: string;
}

/** Time after which a call is given up although its reply still makes progress. */
export const REPLY_LIMIT_MS = 10_000;

/**
 * Sends one call to the store, directly or through another process. Calls `onReplyStarted` when the reply begins to
 * arrive, if that can be observed.
 */
export type SendStoreCall = (
    call: StoreCall,
    onReplyStarted?: () => void,
) => Promise<Either<Failure, StoreReply>>;
