import type { Either } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";

/** A stored value. `version` is the revision of the last write; 0 stands for an absent key. */
export interface StoredValue {
    key: string;
    value: string;
    version: number;
}

/** One write of a transaction with its condition; `expectedVersion` 0 means that the key must not exist. */
export interface Write {
    key: string;
    value: string | undefined;
    expectedVersion: number | undefined;
    lease?: string;
}

/** Outcome of a transaction whose reply arrived. */
export type WriteResult = "written" | "conflict";

/**
 * Client of the platform's etcd service. Every call counts against the service's call budget.
 * A failed write has the verdict `not-run` if it was not sent or was refused, and `may-have-run` otherwise.
 */
export interface Store {
    get(key: string): Promise<Either<Failure, StoredValue | undefined>>;
    list(prefix: string): Promise<Either<Failure, StoredValue[]>>;
    /** Writes all keys if all conditions hold; the value undefined deletes a key. */
    write(writes: Write[]): Promise<Either<Failure, WriteResult>>;
    grantLease(seconds: number): Promise<Either<Failure, string>>;
    /** Renews a lease; returns false if it has expired. */
    renewLease(lease: string): Promise<Either<Failure, boolean>>;
    revokeLease(lease: string): Promise<Either<Failure, boolean>>;
    /**
     * Watches a prefix: calls `onChange` when the stream opens and on each change, and `onEnd` once the stream ends.
     * The returned function stops the watch.
     */
    watch(prefix: string, onChange: () => void, onEnd: () => void): () => void;
    close(): Promise<void>;
}
