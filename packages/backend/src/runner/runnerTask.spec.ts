import { expect } from "chai";
import type { RunnerLoad, UsageCounter } from "@tanagerdeck/decisions/fleet/reportTypes";
import { formatTicket, type Progress, type Request } from "@tanagerdeck/decisions/request/requestTypes";
import type { Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import type { Reply, Task } from "@tanagerdeck/runtime/task/task";
import { createAnswer } from "./runnerClient.ts";
import { startRunnerTask, type RunnerMessage } from "./runnerTask.ts";

const SEND_ATTEMPT = { incarnation: "one", attempt: "a" };

describe("the runner task", () => {
    let clock: ManualClock;
    let task: Task<RunnerMessage>;
    let started: string[];

    beforeEach(() => {
        clock = createManualClock();
        started = [];
        task = startRunnerTask({
            incarnation: "one",
            slots: 8,
            clock,
            log: noopLog,
            digestOf: body => body,
            run(request, signal) {
                started.push(request.id);
                return runFor(Number(request.body), signal);
            },
        });
    });

    afterEach(() => task.stop());

    describe("when batch requests fill the queue", () => {
        it("starts an urgent request at once, so that it does not wait behind batch requests", async () => {
            for (let index = 0; index < 20; index++) {
                submit({ id: `b${index}`, priority: "batch", body: "10000" });
            }
            submit({ id: "u", priority: "urgent", body: "10" });
            await clock.settle();
            expect(started).to.have.length(7);
            expect(started).to.include("u");
        });
    });

    describe("when one account sends a burst", () => {
        it("alternates with the other account's requests, so that their completion time does not grow", async () => {
            for (let index = 0; index < 80; index++) {
                submit({ id: `burst${index}`, clientAccount: "loud", body: "100" });
            }
            for (let index = 0; index < 4; index++) {
                submit({ id: `quiet${index}`, clientAccount: "quiet", body: "100" });
            }
            await clock.advance(150);
            const secondRound = started.slice(8, 16);
            expect(secondRound.filter(id => id.startsWith("quiet"))).to.have.length(4);
        });

        it("refuses requests over the account's limit of waiting requests as not run", async () => {
            for (let index = 0; index < 108; index++) {
                submit({ id: `burst${index}`, clientAccount: "loud", body: "100" });
            }
            const refused = await outcomeOf(submit({ id: "one-more", clientAccount: "loud", body: "100" }));
            expect(refused).to.include({ verdict: "not-run", reason: "limit-exceeded" });
            submit({ id: "quiet", clientAccount: "quiet", body: "100" });
            await clock.advance(150);
            expect(started).to.include("quiet");
        });
    });

    describe("when a deadline cannot be met", () => {
        it("refuses at once, based on the learned run time instead of a declared one", async () => {
            submit({ id: "first", body: "500" });
            await clock.advance(600);
            const refused = await outcomeOf(submit({ id: "late", body: "500", remainingMs: 400 }));
            expect(refused).to.include({ verdict: "not-run", reason: "infeasible" });
            expect(started).to.deep.equal(["first"]);
        });

        it("refuses at once when the requests ahead in the queue leave no time for the run", async () => {
            submit({ id: "first", body: "500" });
            await clock.advance(600);
            for (let index = 0; index < 8; index++) {
                submit({ id: `full${index}`, body: "500" });
            }
            const behind = submit({ id: "behind", body: "500", remainingMs: 600 });
            const refused = await Promise.race([outcomeOf(behind), clock.settle()]);
            expect(refused).to.include({ verdict: "not-run", reason: "infeasible" });
        });

        it("ends a request whose deadline passes in the queue as not run and never runs it", async () => {
            for (let index = 0; index < 8; index++) {
                submit({ id: `long${index}`, body: "5000" });
            }
            const waiting = submit({ id: "w", body: "1", remainingMs: 300 });
            await clock.advance(301);
            expect(await outcomeOf(waiting)).to.include({ verdict: "not-run", reason: "deadline-exceeded" });
            await clock.advance(10_000);
            expect(started).not.to.include("w");
        });

        it("frees the slot 2 s after the deadline when the runner never answers", async () => {
            submit({ id: "stuck", body: "1000000", remainingMs: 1_000 });
            await clock.advance(3_001);
            const load = await task.ask((reply: Reply<RunnerLoad>) => ({ kind: "load", reply }));
            expect(load.running).to.equal(0);
        });
    });

    describe("when the wall clock jumps back", () => {
        it("does not reopen an expired ticket", async () => {
            const wall = clock.wall();
            const id = formatTicket({ agent: "a", incarnation: "one", random: "r", expiresAt: wall + 1_000 });
            await clock.advance(2_000);
            clock.wall = () => wall - 3_600_000;
            const refused = await outcomeOf(submit({ id, repeatable: false, body: "1" }));
            expect(refused).to.include({ verdict: "may-have-run", reason: "ticket-expired" });
            expect(started).to.deep.equal([]);
        });
    });

    describe("when requests have run", () => {
        it("counts the slot time of each account and kind, including aborted runs", async () => {
            submit({ id: "one", body: "300" });
            submit({ id: "two", body: "200" });
            submit({ id: "other", clientAccount: "quiet", body: "50" });
            submit({ id: "stuck", clientAccount: "quiet", body: "1000000", remainingMs: 1_000 });
            await clock.advance(4_000);
            const usage = await task.ask((reply: Reply<UsageCounter[]>) => ({ kind: "usage", reply }));
            expect(usage).to.have.deep.members([
                { clientAccount: "counter", kind: "quote", milliseconds: 500, count: 2 },
                { clientAccount: "quiet", kind: "quote", milliseconds: 3_050, count: 2 },
            ]);
        });

        it("does not count a request that did not run", async () => {
            submit({ id: "refused", body: "1" });
            task.send({ kind: "drain" });
            submit({ id: "late", clientAccount: "quiet", body: "1" });
            await clock.advance(100);
            const usage = await task.ask((reply: Reply<UsageCounter[]>) => ({ kind: "usage", reply }));
            expect(usage.map(({ clientAccount }) => clientAccount)).to.deep.equal(["counter"]);
        });
    });

    function submit(change: Partial<Request>): Promise<Progress> {
        const request: Request = {
            id: "id",
            clientAccount: "counter",
            kind: "quote",
            priority: "normal",
            repeatable: true,
            remainingMs: 60_000,
            body: "1",
            ...change,
        };
        return task.ask((reply: Reply<Progress>) => ({ kind: "submit", request, send: SEND_ATTEMPT, reply }));
    }

    async function outcomeOf(progress: Promise<Progress>): Promise<Outcome | undefined> {
        const ended = await progress;
        return ended.kind === "done" ? ended.outcome : undefined;
    }

    function runFor(milliseconds: number, signal: AbortSignal): Promise<Outcome> {
        return new Promise((resolve, reject) => {
            clock.startTimer(milliseconds, () =>
                resolve({ kind: "answer", verdict: "ran", answer: createAnswer("done") }),
            );
            signal.addEventListener("abort", () => reject(new Error("aborted")));
        });
    }
});
