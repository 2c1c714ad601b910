import type { Progress } from "../request/requestTypes.ts";
import { failure, type Failure, type FailureReason, type Outcome } from "../verdict/verdictTypes.ts";

/** A call of an entry to an agent about one request. */
export type CallStep = "submit" | "result" | "settle";

/** Result of a call. `damaged` is a reply whose id, length or digest does not match. */
export type CallResult =
    { kind: "progress"; progress: Progress } | { kind: "failed"; failure: Failure } | { kind: "damaged" };

/** What the entry does next about a request. */
export type NextStep =
    | { kind: "finish"; outcome: Outcome }
    | { kind: "call"; step: CallStep; delayMs: number }
    /** Sends the request to another agent if retry budget and deadline allow it, else finishes with `failure`. */
    | { kind: "retry"; failure: Failure };

/** State of a request that the next step depends on. */
export interface StepContext {
    repeatable: boolean;
    /** Number of damaged replies that arrived for this request. */
    damagedAnswers: number;
}

/** Delay between two settle calls to an agent that does not answer. */
const SETTLE_RETRY_DELAY_MS = 500;
const MAX_DAMAGED_ANSWERS = 2;
/** Reasons of failures that may not occur on another agent. */
const RETRYABLE_REASONS = new Set<FailureReason>([
    "backend-error",
    "draining",
    "incarnation-gone",
    "infeasible",
    "limit-exceeded",
    "not-found",
    "quarantined",
    "unreachable",
]);

/** Decides the next step after a call. Section 4.1 of the design page explains the rules. */
export function nextStep(step: CallStep, result: CallResult, context: StepContext): NextStep {
    if (result.kind === "damaged") {
        return afterDamagedAnswer(context);
    }
    if (result.kind === "failed") {
        return afterFailure(step, result.failure, context);
    }
    if (result.progress.kind === "pending") {
        return { kind: "call", step: "result", delayMs: 0 };
    }
    const { outcome } = result.progress;
    if (outcome.kind === "failure" && outcome.verdict !== "ran") {
        return retryOrFinish(outcome, context);
    }
    return { kind: "finish", outcome };
}

function afterDamagedAnswer(context: StepContext): NextStep {
    if (context.damagedAnswers < MAX_DAMAGED_ANSWERS) {
        return { kind: "call", step: "result", delayMs: 0 };
    }
    return {
        kind: "finish",
        outcome: failure("ran", "answer-damaged", "The answer arrived damaged."),
    };
}

function afterFailure(step: CallStep, problem: Failure, context: StepContext): NextStep {
    if (step === "submit" && problem.verdict === "not-run") {
        return retryOrFinish(problem, context);
    }
    if (step !== "settle") {
        return { kind: "call", step: "settle", delayMs: 0 };
    }
    const unknown = failure("may-have-run", problem.reason, problem.detail);
    const refused = problem.verdict === "not-run";
    if (context.repeatable || refused) {
        return retryOrFinish(unknown, context);
    }
    return { kind: "call", step: "settle", delayMs: SETTLE_RETRY_DELAY_MS };
}

function retryOrFinish(problem: Failure, context: StepContext): NextStep {
    if (context.repeatable && RETRYABLE_REASONS.has(problem.reason)) {
        return { kind: "retry", failure: problem };
    }
    return { kind: "finish", outcome: problem };
}
