import type { Either } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";

/** A stored item. */
export interface Item {
    key: string;
    value: string;
    /** The store's revision at the item's last change. */
    revision: number;
}

/** One change of an item; `value` is undefined for a removal. */
export interface Change {
    key: string;
    revision: number;
    value: string | undefined;
}

/** A part of a listing. Pages of one listing are not a snapshot. */
export interface Page {
    items: Item[];
    /** Whether items follow the last one. */
    hasMore: boolean;
    /** The store's revision when the page was read. */
    revision: number;
}

/** Changes after a revision, or the news that the store has dropped that part of its history. */
export type WatchReply = { kind: "changes"; changes: Change[]; revision: number } | { kind: "compacted" };

/** Writes that apply together if every expected revision holds; revision 0 means that the key is absent. */
export interface Transaction {
    expected: { key: string; revision: number }[];
    puts: { key: string; value: string; lease?: number | undefined }[];
    removes: string[];
}

/** What became of a transaction whose reply arrived. */
export type CommitReply =
    | { kind: "committed"; revision: number }
    /** Nothing was written; `items` are the expected keys that exist. */
    | { kind: "conflict"; items: Item[] }
    | { kind: "lease-ended" };

/** What became of a lease's renewal. */
export type RenewReply = "kept" | "ended";

/**
 * The platform's key-value store. Replies are linearizable except for stale listings.
 * A failure's verdict says whether the call may have been executed, now or up to seconds later.
 */
export interface KeyValueStore {
    get(key: string): Promise<Either<Failure, Item | undefined>>;
    /** One page of the items below a prefix, after a key. A stale page costs less and may be seconds old. */
    page(prefix: string, after: string | undefined, allowStale: boolean): Promise<Either<Failure, Page>>;
    /** Waits up to `waitMs` for changes after a revision. */
    watch(prefix: string, after: number, waitMs: number): Promise<Either<Failure, WatchReply>>;
    commit(transaction: Transaction): Promise<Either<Failure, CommitReply>>;
    /** Grants a lease and returns its number. */
    grantLease(ttlMs: number): Promise<Either<Failure, number>>;
    renewLease(lease: number): Promise<Either<Failure, RenewReply>>;
    /** Ends a lease, which removes its keys. */
    revokeLease(lease: number): Promise<Either<Failure, void>>;
}

/** One call to the store as its adapter sends it; other processes can forward it without reading it. */
export interface StoreCall {
    /** What the call counts as, for metrics. */
    effect: "read" | "watch" | "write" | "lease";
    method: "GET" | "POST" | "DELETE";
    /** Path with query. */
    path: string;
    body?: string | undefined;
    /** Time after which the caller gives up. */
    timeoutMs: number;
    /** Time for which the store may hold the call before it answers; 0 but for watches. */
    heldMs: number;
}

/** The reply to a call. */
export interface StoreReply {
    status: number;
    body: string;
}

/** Sends one call to the store, directly or through another process. */
export type SendStoreCall = (call: StoreCall) => Promise<Either<Failure, StoreReply>>;
