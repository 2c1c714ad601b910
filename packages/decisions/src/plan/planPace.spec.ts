import { expect } from "chai";
import { pauseBeforeRoundMs } from "./planPace.ts";

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
