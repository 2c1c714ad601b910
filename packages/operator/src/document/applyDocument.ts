import { Either, Left, Right } from "purify-ts/Either";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import {
    acceptConfiguration,
    readCurrent,
    readHistory,
    type HistoryRecord,
} from "@tanagerdeck/store/configuration/acceptedConfiguration";
import type { Store } from "@tanagerdeck/store/store/storeTypes";
import { checkDocument, documentDigest } from "./checkDocument.ts";

/** A document to apply: `text` has its exact bytes, `expectedRevision` is the revision that it replaces (0 if none). */
export interface ConfigurationChange {
    text: string;
    expectedRevision: number;
    /** Chosen by the operator. A repeated change with the same id tells whether the first attempt was accepted. */
    changeId: string;
}

/** An accepted change. `configuration` is undefined if a later revision has replaced it. */
export interface AcceptedChange {
    revision: number;
    digest: string;
    configuration: Configuration | undefined;
}

/** Store and environment to which a change is applied. `now` returns wall-clock milliseconds. */
export interface ApplyTarget {
    store: Store;
    environment: string;
    now: () => number;
}

/** Checks a change and accepts it by a single compare-and-swap. A refused change writes nothing. */
export async function applyDocument(
    target: ApplyTarget,
    change: ConfigurationChange,
): Promise<Either<Failure, AcceptedChange>> {
    const wellFormed = checkDocument(change.text);
    if (wellFormed.isLeft()) {
        return wellFormed;
    }
    const read = await readCurrent(target.store, target.environment);
    if (read.isLeft()) {
        return Left(asUndetermined(read.extract()));
    }
    const stored = read.unsafeCoerce();
    const current = stored?.configuration;
    if ((current?.revision ?? 0) !== change.expectedRevision) {
        return resolveRepeat(target, change, current);
    }
    const checked = checkDocument(change.text, current);
    if (checked.isLeft()) {
        return checked;
    }
    const { document, digest, bindings } = checked.unsafeCoerce();
    const revision = change.expectedRevision + 1;
    const accepted = await acceptConfiguration(target.store, {
        environment: target.environment,
        version: stored?.version ?? 0,
        configuration: { revision, digest, changeId: change.changeId, document, bindings },
        cause: "applied",
        acceptedAt: target.now(),
    });
    return accepted.map(configuration => ({ revision, digest, configuration }));
}

/**
 * Turns a failed read into `may-have-run`: an earlier attempt with the same change id may have been accepted, which
 * cannot be determined while the store is unreadable.
 */
function asUndetermined(problem: Failure): Failure {
    return {
        ...problem,
        verdict: "may-have-run",
        detail: `${problem.detail} Ask again with the same change id.`,
    };
}

/**
 * Answers a change whose expected revision is no longer current. It is the accepted change if its earlier reply was
 * lost; otherwise another change was accepted first.
 */
async function resolveRepeat(
    target: ApplyTarget,
    change: ConfigurationChange,
    current: Configuration | undefined,
): Promise<Either<Failure, AcceptedChange>> {
    const record = await readHistory(target.store, target.environment, change.expectedRevision + 1);
    return record
        .mapLeft(asUndetermined)
        .chain(found => (found?.changeId === change.changeId ? repeated(found, change, current) : stale()));

    function stale(): Either<Failure, AcceptedChange> {
        const detail = `expectedRevision: the current revision is ${current?.revision ?? 0}, not ${change.expectedRevision}.`;
        return Left(failure("not-run", "revision-conflict", detail));
    }
}

/** Answers a change id that was accepted before; the same id with another document is a conflict. */
function repeated(
    record: HistoryRecord,
    change: ConfigurationChange,
    current: Configuration | undefined,
): Either<Failure, AcceptedChange> {
    const { revision, digest } = record;
    if (digest !== documentDigest(change.text)) {
        const detail = `changeId: revision ${revision} was accepted with this change id and another document.`;
        return Left(failure("not-run", "conflict", detail));
    }
    return Right({ revision, digest, configuration: current?.revision === revision ? current : undefined });
}
