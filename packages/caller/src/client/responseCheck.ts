import { failure, type Failure, type Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { bodyDigest } from "@tanagerdeck/runtime/access/bodyDigest";

/** HTTP response of an entry. */
export interface EntryResponse {
    status: number;
    headers: Record<string, string | string[] | undefined>;
    bytes: Buffer;
}

/** Verifies a response and returns its outcome; undefined if it is damaged or belongs to another request. */
export function checkResponse(id: string, response: EntryResponse): Outcome | undefined {
    const { status, headers, bytes } = response;
    const body = bytes.toString("utf8");
    if (status !== 200) {
        return parseFailure(body);
    }
    const digest = bodyDigest(body);
    const isComplete =
        headers["content-length"] === String(bytes.length) &&
        headers["content-digest"] === `sha-256=:${digest}:` &&
        headers["x-request-id"] === encodeURIComponent(id);
    if (!isComplete) {
        return undefined;
    }
    return { kind: "answer", verdict: "ran", answer: { body, length: bytes.length, digest } };
}

function parseFailure(body: string): Failure | undefined {
    try {
        const { verdict, reason, detail } = JSON.parse(body) as Failure;
        return failure(verdict, reason, detail);
    } catch {
        return undefined;
    }
}
