import type { Either } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";

/** A stored value. `version` is 0 for an absent key and changes with each write. */
export interface StoredValue {
    key: string;
    value: string;
    version: number;
}

/** One condition or write of a transaction. `expectedVersion` 0 means that the key must be absent. */
export interface Write {
    key: string;
    value: string | undefined;
    expectedVersion: number | undefined;
    lease?: string;
}

/** Result of a transaction whose reply arrived. */
export type WriteResult = "written" | "conflict";

/**
 * The platform's key-value service. Every call counts against its budget.
 * A failed write has the verdict `not-run` if it was not sent, else `may-have-run`.
 */
export interface Store {
    get(key: string): Promise<Either<Failure, StoredValue | undefined>>;
    list(prefix: string): Promise<Either<Failure, StoredValue[]>>;
    /** Writes all keys if all conditions hold; a `value` of undefined deletes the key. */
    write(writes: Write[]): Promise<Either<Failure, WriteResult>>;
    grantLease(seconds: number): Promise<Either<Failure, string>>;
    /** Renews a lease; `false` if it has expired. */
    renewLease(lease: string): Promise<Either<Failure, boolean>>;
    revokeLease(lease: string): Promise<Either<Failure, boolean>>;
    /** Calls `changed` on each change below the prefix until stopped; `ended` if the stream breaks. */
    watch(prefix: string, onChange: () => void, onEnd: () => void): () => void;
    close(): Promise<void>;
}
