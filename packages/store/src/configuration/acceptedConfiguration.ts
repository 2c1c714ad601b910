import { Either, Left, Right } from "purify-ts/Either";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Store, Write } from "../store/storeTypes.ts";
import { decodeConfiguration, encodeConfiguration, VALUE_LIMIT_BYTES } from "./configurationCodec.ts";
import { currentKey, historyKey, historyPrefix } from "./configurationKeys.ts";

/** Number of revisions kept in the history: several hours at the target rate of changes. */
export const MAX_HISTORY_REVISIONS = 1_000;
const WRITE_ATTEMPTS = 3;

/** Why a revision exists: an operator's document, or new bindings for the same document. */
export type RevisionCause = "applied" | "rebound";

/** History record of an accepted revision. `acceptedAt` is in wall-clock milliseconds of the entry that wrote it. */
export interface HistoryRecord {
    revision: number;
    digest: string;
    changeId: string;
    cause: RevisionCause;
    acceptedAt: number;
}

/** The accepted configuration with its stored version, which the next compare-and-swap must expect. */
export interface StoredConfiguration {
    configuration: Configuration;
    version: number;
}

/** Reads the accepted configuration; returns undefined if none has been accepted yet. */
export async function readCurrent(
    store: Store,
    environment: string,
): Promise<Either<Failure, StoredConfiguration | undefined>> {
    const read = await store.get(currentKey(environment));
    return read.chain(stored => {
        if (!stored) {
            return Right(undefined);
        }
        const { value, version } = stored;
        return decodeConfiguration(value).map(configuration => ({ configuration, version }));
    });
}

/** Reads the history record of one revision; returns undefined if it does not exist. */
export async function readHistory(
    store: Store,
    environment: string,
    revision: number,
): Promise<Either<Failure, HistoryRecord | undefined>> {
    const read = await store.get(historyKey(environment, revision));
    return read.map(stored => (stored ? (JSON.parse(stored.value) as HistoryRecord) : undefined));
}

/** Lists the history records that are still kept, oldest first. */
export async function listHistory(
    store: Store,
    environment: string,
): Promise<Either<Failure, HistoryRecord[]>> {
    const listed = await store.list(historyPrefix(environment));
    return listed.map(values => values.map(({ value }) => JSON.parse(value) as HistoryRecord));
}

/** A configuration that replaces the one stored with `version`; 0 means that none is stored. */
export interface AcceptRequest {
    environment: string;
    version: number;
    configuration: Configuration;
    cause: RevisionCause;
    acceptedAt: number;
}

/**
 * Stores a configuration and its history record in one compare-and-swap transaction.
 * After an unsuccessful attempt it reads the history back. If no record exists, it sends the same transaction again;
 * an earlier attempt may still arrive, but whichever is applied first makes the other fail its comparison.
 */
export async function acceptConfiguration(
    store: Store,
    request: AcceptRequest,
): Promise<Either<Failure, Configuration>> {
    const { environment, configuration } = request;
    const value = encodeConfiguration(configuration);
    if (Buffer.byteLength(value) > VALUE_LIMIT_BYTES) {
        const detail = `(root): the configuration takes more than the ${VALUE_LIMIT_BYTES} bytes of one stored value.`;
        return Left(failure("not-run", "invalid", detail));
    }
    const writes = encodeWrites(request, value);
    let mayHaveRun = false;
    for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
        const result = await store.write(writes);
        if (result.extract() === "written") {
            return Right(configuration);
        }
        mayHaveRun ||= result.isLeft() && result.extract().verdict !== "not-run";
        const readBack = await readHistory(store, environment, configuration.revision);
        if (readBack.isLeft()) {
            return Left(unresolvedFailure(mayHaveRun, result.isRight(), readBack.extract()));
        }
        const record = readBack.unsafeCoerce();
        if (record) {
            return record.changeId === configuration.changeId
                ? Right(configuration)
                : Left(conflictFailure(record));
        }
    }
    const detail = "The platform's service did not confirm the change; ask again with the same change id.";
    return Left(failure(mayHaveRun ? "may-have-run" : "not-run", "platform-unavailable", detail));
}

function encodeWrites(request: AcceptRequest, value: string): Write[] {
    const { environment, version, configuration, cause, acceptedAt } = request;
    const { revision, digest, changeId } = configuration;
    const record: HistoryRecord = { revision, digest, changeId, cause, acceptedAt };
    const writes: Write[] = [
        { key: currentKey(environment), value, expectedVersion: version },
        { key: historyKey(environment, revision), value: JSON.stringify(record), expectedVersion: 0 },
    ];
    if (revision > MAX_HISTORY_REVISIONS) {
        const key = historyKey(environment, revision - MAX_HISTORY_REVISIONS);
        writes.push({ key, value: undefined, expectedVersion: undefined });
    }
    return writes;
}

function conflictFailure(record: HistoryRecord): Failure {
    const detail = `Another change was accepted first as revision ${record.revision}.`;
    return failure("not-run", "revision-conflict", detail);
}

/** Unless an attempt may have run, a conflict proves that nothing was written, even if the record cannot be read. */
function unresolvedFailure(mayHaveRun: boolean, hadConflict: boolean, problem: Failure): Failure {
    if (mayHaveRun) {
        const detail = `${problem.detail} Ask again with the same change id.`;
        return failure("may-have-run", "platform-unavailable", detail);
    }
    return hadConflict
        ? failure("not-run", "revision-conflict", "Another change was accepted first.")
        : { ...problem, verdict: "not-run" };
}
