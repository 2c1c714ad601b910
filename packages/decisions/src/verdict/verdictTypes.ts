/**
 * What is known about the execution of a request.
 * - `not-run`: it did not run and will not run under this id.
 * - `ran`: it ran; the answer is attached, or the failure reason says why there is none.
 * - `may-have-run`: no reachable process knows whether it ran.
 */
export type Verdict = "not-run" | "ran" | "may-have-run";

/** Why a request, job or call failed. */
export type FailureReason =
    | "access-denied"
    | "answer-damaged"
    | "answer-released"
    | "backend-error"
    | "cancelled"
    | "conflict"
    | "deadline-exceeded"
    | "draining"
    | "incarnation-gone"
    | "infeasible"
    | "invalid"
    | "limit-exceeded"
    | "name-in-use"
    | "no-backend-server"
    | "no-configuration"
    | "not-found"
    | "platform-unavailable"
    | "quarantined"
    | "revision-conflict"
    | "stale-configuration"
    | "ticket-expired"
    | "ticket-required"
    | "too-large"
    | "unreachable"
    | "wrong-availability-zone";

/** A failure with its verdict. `detail` is one short sentence for the reader of the message. */
export interface Failure {
    kind: "failure";
    verdict: Verdict;
    reason: FailureReason;
    detail: string;
}

/** A complete answer; `digest` is the base64 SHA-256 of the UTF-8 body, `length` its size in bytes. */
export interface Answer {
    body: string;
    length: number;
    digest: string;
}

/** The outcome of a request as its caller sees it. */
export type Outcome = { kind: "answer"; verdict: "ran"; answer: Answer } | Failure;

/** Builds a failure. */
export function failure(verdict: Verdict, reason: FailureReason, detail: string): Failure {
    return { kind: "failure", verdict, reason, detail };
}
