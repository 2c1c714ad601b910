import { expect } from "chai";
import {
    costFactor,
    createHealth,
    isProbeDue,
    hasRefusedSince,
    medianMs,
    quarantinedServers,
    recordOutcome,
    recordConnectionRefused,
    recordTimeout,
    type ServerHealth,
} from "./serverHealth.ts";

describe("the health of a backend server", () => {
    let health: ServerHealth;

    beforeEach(() => {
        health = createHealth();
    });

    describe("on which all work fails", () => {
        beforeEach(() => {
            recordOutcome(health, "succeeded", 0);
            for (let index = 0; index < 5; index++) {
                recordOutcome(health, "failed", 0);
            }
        });

        it("is quarantined after 5 of 6 failures and probed after 10 s, doubling to 160 s", () => {
            const intervals: number[] = [];
            let now = 0;
            for (let probe = 0; probe < 6; probe++) {
                const interval = health.quarantine?.intervalMs ?? 0;
                intervals.push(interval);
                expect(isProbeDue(health, now + interval - 1)).to.equal(false);
                now += interval;
                expect(isProbeDue(health, now)).to.equal(true);
                recordOutcome(health, "failed", now);
            }
            expect(intervals).to.deep.equal([10_000, 20_000, 40_000, 80_000, 160_000, 160_000]);
        });

        it("serves again after one successful probe", () => {
            recordOutcome(health, "succeeded", 10_000);
            expect(health.quarantine).to.equal(undefined);
            recordOutcome(health, "failed", 10_001);
            expect(health.quarantine).to.equal(undefined);
        });

        it("is not excluded when more than half of the servers fail, since the work is at fault", () => {
            const servers: [string, ServerHealth][] = [
                ["a", health],
                ["b", health],
            ];
            expect(quarantinedServers(servers, 4)).to.deep.equal(new Set(["a", "b"]));
            expect(quarantinedServers(servers, 3)).to.deep.equal(new Set());
        });
    });

    describe("on which 4 of 6 requests fail", () => {
        it("is not quarantined", () => {
            for (const outcome of [
                "failed",
                "succeeded",
                "failed",
                "failed",
                "succeeded",
                "failed",
            ] as const) {
                recordOutcome(health, outcome, 0);
            }
            expect(health.quarantine).to.equal(undefined);
        });
    });

    describe("that refuses a connection", () => {
        it("gets no work until a newer report or incarnation", () => {
            recordConnectionRefused(health, { incarnation: "one", sequence: 7 });
            expect(hasRefusedSince(health, { incarnation: "one", sequence: 7 })).to.equal(true);
            expect(hasRefusedSince(health, { incarnation: "one", sequence: 8 })).to.equal(false);
            expect(hasRefusedSince(health, { incarnation: "two", sequence: 0 })).to.equal(false);
        });
    });

    describe("that is slow", () => {
        it("has a higher cost for 10 s after timeouts but is not quarantined or excluded", () => {
            for (let index = 0; index < 6; index++) {
                recordTimeout(health, 0);
            }
            expect(health.quarantine).to.equal(undefined);
            expect(hasRefusedSince(health, { incarnation: "one", sequence: 0 })).to.equal(false);
            expect(costFactor(health, 10, 10, 5_000)).to.equal(64);
            expect(costFactor(health, 10, 10, 10_000)).to.equal(1);
        });

        it("has a higher cost only if its typical run time is over 3 times the median", () => {
            expect(costFactor(health, 30, 10, 0)).to.equal(1);
            expect(costFactor(health, 40, 10, 0)).to.equal(4);
            expect(medianMs([0, 10, 40, 10])).to.equal(10);
        });
    });
});
