import { expect } from "chai";
import { MAX_STARTING_TASKS, pauseBeforeRoundMs, startingTasksAfter } from "./planPace.ts";

describe("the pace of scheduling rounds", () => {
    describe("after a short round", () => {
        it("collects the events of ten milliseconds", () => {
            expect(pauseBeforeRoundMs(1, 0)).to.equal(10);
        });
    });

    describe("after a long round", () => {
        it("leaves three quarters of the processor time to other work", () => {
            expect(pauseBeforeRoundMs(20, 0)).to.equal(60);
        });

        it("counts the time since its end", () => {
            expect(pauseBeforeRoundMs(20, 45)).to.equal(15);
            expect(pauseBeforeRoundMs(20, 500)).to.equal(10);
        });

        it("stays below the time in which urgent work must start", () => {
            expect(pauseBeforeRoundMs(4_000, 0)).to.equal(150);
        });
    });
});

/** Guards against a job that makes the rounds of each leader longer than its lease by the number of tasks that run. */
describe("the number of starting tasks of a large job", () => {
    it("is the full one after short rounds", () =>
        expect(startingTasksAfter(100)).to.equal(MAX_STARTING_TASKS));

    it("falls as rounds grow longer, but never to zero", () => {
        expect(startingTasksAfter(300)).to.be.within(1, MAX_STARTING_TASKS - 1);
        expect(startingTasksAfter(5_000)).to.be.within(1, 16);
    });
});
