import { createHash } from "node:crypto";
import { Either, Left, Right } from "purify-ts/Either";
import { computeBindings } from "@tanagerdeck/decisions/binding/bindingSearch";
import { canReuseBindings } from "@tanagerdeck/decisions/document/bindingReuse";
import { crossReferenceProblems } from "@tanagerdeck/decisions/document/crossReferences";
import type {
    Binding,
    Configuration,
    ConfigurationDocument,
} from "@tanagerdeck/decisions/document/documentTypes";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { describeIssue } from "@tanagerdeck/runtime/settings/settingsFile";
import { documentSchema } from "./documentSchema.ts";

/** Largest size of a document's text; a larger one is refused before parsing. */
export const DOCUMENT_LIMIT_BYTES = 1_000_000;

/** A document that passed every check, with bindings that show that all its guarantees fit. */
export interface CheckedDocument {
    document: ConfigurationDocument;
    /** Hex SHA-256 of the document's exact bytes. */
    digest: string;
    bindings: Binding[];
}

/** Computes the hex SHA-256 digest of a document's exact bytes. */
export function documentDigest(text: string): string {
    return createHash("sha256").update(text, "utf8").digest("hex");
}

/**
 * Checks a document's text: its schema, its cross references, and that all guarantees fit the declared racks together.
 * Each line of the failure's detail names the path of an error. The bindings of `current` are kept if they still fit.
 */
export function checkDocument(text: string, current?: Configuration): Either<Failure, CheckedDocument> {
    return parseDocument(text)
        .chain(checkReferences)
        .chain(document => {
            const bindings =
                current && canReuseBindings(current, document)
                    ? Right<Binding[], Failure>(current.bindings)
                    : computeBindings(document);
            return bindings.map(fitting => ({ document, digest: documentDigest(text), bindings: fitting }));
        });
}

function parseDocument(text: string): Either<Failure, ConfigurationDocument> {
    const bytes = Buffer.byteLength(text, "utf8");
    if (bytes > DOCUMENT_LIMIT_BYTES) {
        return invalid(
            `(root): the document has ${bytes} bytes; at most ${DOCUMENT_LIMIT_BYTES} are allowed`,
        );
    }
    let value: unknown;
    try {
        value = JSON.parse(text);
    } catch (error) {
        return invalid(
            `(root): the document is not valid JSON, or it is cut off: ${(error as Error).message}`,
        );
    }
    const parsed = documentSchema.safeParse(value);
    return parsed.success
        ? Right(parsed.data)
        : invalid(parsed.error.issues.map(issue => describeIssue(issue, value)).join("\n"));
}

function checkReferences(document: ConfigurationDocument): Either<Failure, ConfigurationDocument> {
    const problems = crossReferenceProblems(document);
    return problems.length === 0
        ? Right(document)
        : invalid(problems.map(({ path, problem }) => `${path}: ${problem}`).join("\n"));
}

function invalid(detail: string): Either<Failure, never> {
    return Left(failure("not-run", "invalid", detail));
}
