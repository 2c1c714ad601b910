import type { ServerResponse } from "node:http";
import type { Failure, FailureReason, Outcome, Verdict } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { sendJson } from "@tanagerdeck/runtime/http/listener";

const STATUS_BY_VERDICT: Record<Verdict, number> = { "not-run": 503, ran: 502, "may-have-run": 504 };
const STATUS_BY_REASON: Partial<Record<FailureReason, number>> = {
    "access-denied": 401,
    conflict: 409,
    infeasible: 422,
    invalid: 400,
    "limit-exceeded": 429,
    "not-found": 404,
    "too-large": 413,
};

/** Sends an outcome as an HTTP response; an answer's length, digest and verdict are in the headers. */
export function sendOutcome(response: ServerResponse, outcome: Outcome): void {
    if (outcome.kind === "failure") {
        sendFailure(response, outcome);
        return;
    }
    const { body, digest } = outcome.answer;
    const bytes = Buffer.from(body, "utf8");
    response.writeHead(200, {
        "content-type": "application/json",
        "content-length": String(bytes.length),
        "content-digest": `sha-256=:${digest}:`,
        "x-verdict": outcome.verdict,
    });
    response.end(bytes);
}

/** Sends a failure; its verdict is in the body and in the `x-verdict` header. */
export function sendFailure(response: ServerResponse, problem: Failure): void {
    const status = STATUS_BY_REASON[problem.reason] ?? STATUS_BY_VERDICT[problem.verdict];
    sendJson(response, status, problem, { "x-verdict": problem.verdict });
}
