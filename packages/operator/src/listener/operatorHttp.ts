import type { IncomingMessage, ServerResponse } from "node:http";
import { Left, Right, type Either } from "purify-ts/Either";
import type { z } from "zod";
import { failure, type Failure, type FailureReason } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { sendJson } from "@tanagerdeck/runtime/http/listener";
import { describeIssue } from "@tanagerdeck/runtime/settings/settingsFile";

/** Limit of a body: enough for a document of the largest size with escaped characters, and the fields beside it. */
const BODY_LIMIT_BYTES = 4 * 1024 * 1024;
/** A body over the limit is read and dropped up to this size, so that the client receives the answer. */
const DISCARD_LIMIT_BYTES = 64 * 1024 * 1024;

/** HTTP status of each failure reason; other reasons get a status by their verdict. */
const STATUS_BY_REASON: Partial<Record<FailureReason, number>> = {
    invalid: 400,
    "limit-exceeded": 413,
    "not-found": 404,
    "revision-conflict": 409,
    conflict: 409,
};

/** Reads a JSON body and checks it against a schema. The failure's detail names the path of each error. */
export async function readOperatorBody<T>(
    request: IncomingMessage,
    schema: z.ZodType<T>,
): Promise<Either<Failure, T>> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes <= BODY_LIMIT_BYTES) {
            chunks.push(chunk);
        }
        if (bytes > DISCARD_LIMIT_BYTES) {
            break;
        }
    }
    if (bytes > BODY_LIMIT_BYTES) {
        const detail = `(root): the body is longer than ${BODY_LIMIT_BYTES} bytes`;
        return Left(failure("not-run", "limit-exceeded", detail));
    }
    return parseBody(Buffer.concat(chunks).toString("utf8"), schema);
}

function parseBody<T>(text: string, schema: z.ZodType<T>): Either<Failure, T> {
    let value: unknown;
    try {
        value = JSON.parse(text);
    } catch (error) {
        const detail = `(root): the body is not valid JSON, or it is cut off: ${(error as Error).message}`;
        return Left(failure("not-run", "invalid", detail));
    }
    const parsed = schema.safeParse(value);
    return parsed.success
        ? Right(parsed.data)
        : Left(
              failure(
                  "not-run",
                  "invalid",
                  parsed.error.issues.map(issue => describeIssue(issue, value)).join("\n"),
              ),
          );
}

/** Sends a value with status 200, or a failure with the status for its reason and verdict. */
export function sendResult<T>(response: ServerResponse, result: Either<Failure, T>): void {
    result.caseOf({
        Right: value => sendJson(response, 200, value, { "x-verdict": "ran" }),
        Left: problem => {
            const byVerdict = problem.verdict === "not-run" ? 503 : 504;
            const status = problem.verdict === "may-have-run" ? 504 : STATUS_BY_REASON[problem.reason];
            sendJson(response, status ?? byVerdict, problem, { "x-verdict": problem.verdict });
        },
    });
}
