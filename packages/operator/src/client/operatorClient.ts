import { createHash } from "node:crypto";
import { Left, Right, type Either } from "purify-ts/Either";
import { request } from "undici";
import { failure, type Failure, type Verdict } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { NOT_SENT_CODES } from "@tanagerdeck/runtime/http/notSentCodes";

const VERDICTS = new Set<unknown>(["not-run", "ran", "may-have-run"] satisfies Verdict[]);

/** One HTTP call to an entry. `timeoutMs` limits the whole call. */
export interface EntryCall {
    address: string;
    token: string;
    method: "GET" | "POST" | "DELETE";
    path: string;
    body?: object;
    timeoutMs: number;
}

/** A complete response; `value` is undefined if the body is not JSON. */
export interface EntryResponse {
    body: string;
    value: unknown;
}

/**
 * Calls an entry. An error status becomes a failure with the verdict from the response's header or body. A response that
 * is missing or incomplete after the call was sent becomes a failure with `may-have-run`.
 */
export async function callEntry(call: EntryCall): Promise<Either<Failure, EntryResponse>> {
    try {
        const response = await request(`http://${call.address}${call.path}`, {
            method: call.method,
            headers: { authorization: `Bearer ${call.token}`, "content-type": "application/json" },
            body: call.body ? JSON.stringify(call.body) : undefined,
            signal: AbortSignal.timeout(call.timeoutMs),
        });
        const body = await response.body.text();
        if (response.statusCode !== 200) {
            return Left(responseFailure(response.statusCode, response.headers["x-verdict"], body));
        }
        if (!matchesContentDigest(body, response.headers["content-digest"])) {
            return Left(
                failure(
                    "ran",
                    "backend-error",
                    "The response body does not match its content-digest header.",
                ),
            );
        }
        return Right({ body, value: parseJson(body) });
    } catch (error) {
        const code = (error as { code?: string }).code ?? String(error);
        const verdict = NOT_SENT_CODES.has(code) ? "not-run" : "may-have-run";
        return Left(failure(verdict, "unreachable", `The call to ${call.address} failed: ${code}.`));
    }
}

function responseFailure(status: number, header: unknown, body: string): Failure {
    const value = parseJson(body) as Partial<Failure> | undefined;
    const reportedVerdict = header ?? value?.verdict;
    const verdict = VERDICTS.has(reportedVerdict) ? (reportedVerdict as Verdict) : "may-have-run";
    const detail = value?.detail ?? `The entry answered with status ${status}.`;
    return { ...value, ...failure(verdict, value?.reason ?? "unreachable", detail) };
}

function matchesContentDigest(body: string, header: string | string[] | undefined): boolean {
    if (typeof header !== "string") {
        return true;
    }
    return header === `sha-256=:${createHash("sha256").update(body, "utf8").digest("base64")}:`;
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    } catch {
        return undefined;
    }
}
