import { createHash } from "node:crypto";
import { Either, Left, Right } from "purify-ts/Either";
import { z } from "zod";
import type { Configuration, Document } from "@tanagerdeck/decisions/document/documentTypes";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { currentKey, historyKey } from "@tanagerdeck/platform/configuration/configurationKeys";
import type { Store } from "@tanagerdeck/platform/store/storeTypes";
import { documentSchema } from "./documentSchema.ts";

/** A document to apply: `text` is its exact bytes, `expectedRevision` the revision that it replaces (0: none). */
export interface Change {
    text: string;
    expectedRevision: number;
    changeId: string;
}

/** Checks a document's text. */
export function checkDocument(text: string): Either<Failure, Document> {
    let value: unknown;
    try {
        value = JSON.parse(text);
    } catch (error) {
        return Left(failure("not-run", "invalid", `The document is not JSON: ${String(error)}.`));
    }
    const parsed = documentSchema.safeParse(value);
    if (!parsed.success) {
        return Left(failure("not-run", "invalid", z.prettifyError(parsed.error)));
    }
    return Right(parsed.data);
}

/** Accepts a change by one compare-and-swap. A refused change writes nothing. */
export async function applyDocument(store: Store, change: Change): Promise<Either<Failure, Configuration>> {
    const checked = checkDocument(change.text);
    if (checked.isLeft()) {
        return checked;
    }
    const document = checked.unsafeCoerce();
    const key = currentKey(document.environment);
    const read = await store.get(key);
    if (read.isLeft()) {
        return Left({ ...read.extract(), verdict: "not-run" });
    }
    const stored = read.unsafeCoerce();
    const currentRevision = stored ? (JSON.parse(stored.value) as Configuration).revision : 0;
    if (currentRevision !== change.expectedRevision) {
        const detail = `The current revision is ${currentRevision}, not ${change.expectedRevision}.`;
        return Left(failure("not-run", "revision-conflict", detail));
    }
    const configuration: Configuration = {
        revision: currentRevision + 1,
        digest: createHash("sha256").update(change.text).digest("hex"),
        changeId: change.changeId,
        document,
        bindings: [],
    };
    const value = JSON.stringify(configuration);
    const result = await store.write([
        { key, value, expectedVersion: stored?.version ?? 0 },
        { key: historyKey(document.environment, configuration.revision), value, expectedVersion: 0 },
    ]);
    return result.chain(outcome =>
        outcome === "written"
            ? Right(configuration)
            : Left(failure("not-run", "revision-conflict", "Another change was accepted first.")),
    );
}
