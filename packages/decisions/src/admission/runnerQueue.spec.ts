import { expect } from "chai";
import type { Priority } from "../document/documentTypes.ts";
import { enqueue, expectedWaitMs, fairShortestFirst, startQueued, type RunnerQueue } from "./runnerQueue.ts";
import { learnRunTime, runEstimate, type RunEstimates } from "./runEstimates.ts";

describe("the queue of a runner", () => {
    let queue: RunnerQueue;

    beforeEach(() => {
        const weightOf = (account: string) => (account === "heavy" ? 3 : 1);
        queue = { slots: 8, waiting: [], running: [], served: new Map(), weightOf };
    });

    describe("with several priorities", () => {
        it("starts urgent before normal before batch", () => {
            add("b", "batch", 1);
            add("n", "normal", 1);
            add("u", "urgent", 100);
            expect(takeAll(3)).to.deep.equal(["u", "n", "b"]);
        });

        it("lets batch hold at most 6 of 8 slots, so that an urgent request finds a slot", () => {
            for (let index = 0; index < 8; index++) {
                add(`b${index}`, "batch", 1_000);
            }
            expect(takeAll(8)).to.have.length(6);
            expect(expectedWaitMs(queue, { priority: "urgent" }, 0)).to.equal(0);
            expect(expectedWaitMs(queue, { priority: "batch" }, 0)).to.equal((6_000 + 2_000) / 6);
        });
    });

    describe("with several expected times", () => {
        it("starts the shortest first, but a long one that waited long enough before it", () => {
            add("long", "normal", 100);
            add("short", "normal", 10);
            expect(takeAll(1)).to.deep.equal(["short"]);
            add("late", "normal", 10, "a", 1_000);
            expect(fairShortestFirst(queue, 1_000)?.key).to.equal("long");
        });
    });

    describe("with several client accounts", () => {
        it("serves accounts by weight, so that a burst of one does not delay another", () => {
            for (let index = 0; index < 12; index++) {
                add(`burst${index}`, "normal", 10, "heavy");
            }
            for (let index = 0; index < 3; index++) {
                add(`small${index}`, "normal", 10, "light");
            }
            queue.slots = 100;
            const firstEight = takeAll(8);
            expect(firstEight.filter(key => key.startsWith("small"))).to.have.length(2);
        });

        it("gives an account no credit for the time in which it was idle", () => {
            queue.served.set("busy", 1_000);
            add("x", "normal", 10, "busy");
            add("y", "normal", 10, "idle");
            expect(queue.served.get("idle")).to.equal(1_000);
        });
    });

    function add(key: string, priority: Priority, expectedMs: number, clientAccount = "a", at = 0): void {
        enqueue(queue, { key, clientAccount, priority, enqueuedAt: at, expectedMs });
    }

    function takeAll(limit: number): string[] {
        const taken: string[] = [];
        for (let next = fairShortestFirst(queue, 0); next && taken.length < limit;) {
            startQueued(queue, next, 0);
            taken.push(next.key);
            next = fairShortestFirst(queue, 0);
        }
        return taken;
    }
});

describe("learned run times", () => {
    let estimates: RunEstimates;

    beforeEach(() => {
        estimates = new Map();
    });

    describe("after runs of very different length", () => {
        it("keeps the optimistic time short, so that one slow run does not refuse feasible requests", () => {
            learnRunTime(estimates, "quote", 10, 0);
            learnRunTime(estimates, "quote", 1_000, 1);
            expect(runEstimate(estimates, "quote", 1)).to.include({ expectedMs: 208, optimisticMs: 109 });
        });
    });

    describe("without a finished run for a minute", () => {
        it("forgets the estimate, so that refusals cannot keep it alive", () => {
            learnRunTime(estimates, "quote", 10, 0);
            expect(runEstimate(estimates, "quote", 60_001)).to.equal(undefined);
        });
    });
});
