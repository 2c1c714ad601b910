import { expect } from "chai";
import type { Progress } from "../request/requestTypes.ts";
import { failure, type Failure, type Outcome } from "../verdict/verdictTypes.ts";
import { checkProgress } from "./answerCheck.ts";
import { nextStep, type CallResult, type CallStep } from "./callStep.ts";
import { countRequest, createRetryBudget, takeRetry } from "./retryBudget.ts";

const REFUSED = failure("not-run", "unreachable", "refused");
const TIMED_OUT = failure("may-have-run", "unreachable", "timed out");

describe("the step after a call", () => {
    describe("when the connection is refused", () => {
        it("finishes a submit with a ticket as not-run and retries a repeatable one on another agent", () => {
            expect(after("submit", REFUSED, false)).to.deep.equal({ kind: "finish", outcome: REFUSED });
            expect(after("submit", REFUSED, true)).to.deep.equal({ kind: "retry", failure: REFUSED });
        });

        it("does not answer not-run after the submit, since the agent had the request", () => {
            expect(after("result", REFUSED, false)).to.include({ kind: "call", step: "settle" });
            const next = after("settle", REFUSED, false);
            expect(next.kind === "finish" && next.outcome.verdict).to.equal("may-have-run");
        });
    });

    describe("when the reply is lost", () => {
        it("settles and never submits a ticket twice", () => {
            for (const step of ["submit", "result", "settle"] as const) {
                expect(after(step, TIMED_OUT, false)).to.include({ kind: "call", step: "settle" });
            }
        });

        it("retries a repeatable request on another agent when the reply to settle is lost too", () => {
            expect(after("settle", TIMED_OUT, true)).to.include({ kind: "retry" });
        });
    });

    describe("when the agent answers with a failure", () => {
        it("does not send a cancelled or conflicting request to another agent", () => {
            for (const reason of ["cancelled", "conflict", "deadline-exceeded"] as const) {
                const outcome = failure("not-run", reason, "refused");
                expect(done(outcome, true)).to.deep.equal({ kind: "finish", outcome });
            }
        });

        it("retries a request that a draining agent refused if it is repeatable, but not with a ticket", () => {
            const outcome = failure("not-run", "draining", "draining");
            expect(done(outcome, true)).to.deep.equal({ kind: "retry", failure: outcome });
            expect(done(outcome, false)).to.deep.equal({ kind: "finish", outcome });
        });

        it("does not retry a request that ran and failed", () => {
            const outcome = failure("ran", "backend-error", "status 500");
            expect(done(outcome, true)).to.deep.equal({ kind: "finish", outcome });
        });
    });

    describe("when the answer is damaged", () => {
        const answer = { body: "whole", length: 5, digest: "digest of whole" };

        it("detects a truncated body, an altered body and a reply to another request", () => {
            expect(check({ ...answer, body: "who" }).kind).to.equal("damaged");
            expect(check({ ...answer, body: "whale" }).kind).to.equal("damaged");
            expect(check(answer, "other").kind).to.equal("damaged");
            expect(check(answer).kind).to.equal("progress");
        });

        it("asks for the result once more and then answers ran, without the damaged answer", () => {
            const context = { repeatable: true, damagedAnswers: 1 };
            expect(nextStep("submit", { kind: "damaged" }, context)).to.include({ step: "result" });
            const last = nextStep("result", { kind: "damaged" }, { ...context, damagedAnswers: 2 });
            expect(last.kind === "finish" && last.outcome).to.include({
                verdict: "ran",
                reason: "answer-damaged",
            });
        });

        function check(value: typeof answer, id = "id"): CallResult {
            const outcome: Outcome = { kind: "answer", verdict: "ran", answer: value };
            const digestOf = (body: string) => `digest of ${body}`;
            return checkProgress("id", { kind: "done", id, outcome }, digestOf, body => body.length);
        }
    });

    function after(step: CallStep, problem: Failure, repeatable: boolean): ReturnType<typeof nextStep> {
        return nextStep(step, { kind: "failed", failure: problem }, { repeatable, damagedAnswers: 0 });
    }

    function done(outcome: Outcome, repeatable: boolean): ReturnType<typeof nextStep> {
        const progress: Progress = { kind: "done", id: "id", outcome };
        return nextStep("submit", { kind: "progress", progress }, { repeatable, damagedAnswers: 0 });
    }
});

describe("the retry budget", () => {
    describe("of an account with few requests", () => {
        it("allows 3 retries in 10 s, so that a single failure can be retried", () => {
            const budget = createRetryBudget();
            const taken = [1, 2, 3, 4].map(() => takeRetry(budget, 0));
            expect(taken).to.deep.equal([true, true, true, false]);
            expect(takeRetry(budget, 10_000)).to.equal(true);
        });
    });

    describe("of an account with many requests", () => {
        it("allows a tenth of them, so that retries do not multiply an overload", () => {
            const budget = createRetryBudget();
            for (let index = 0; index < 100; index++) {
                countRequest(budget, index);
            }
            const taken = Array.from({ length: 20 }, () => takeRetry(budget, 100));
            expect(taken.filter(Boolean)).to.have.length(10);
        });
    });
});
