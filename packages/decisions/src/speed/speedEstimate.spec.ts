import { expect } from "chai";
import { uniformFloat32 } from "pure-rand/distribution/uniformFloat32";
import { congruential32 } from "pure-rand/generator/congruential32";
import { bootOf, jobOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import type { Step } from "../job/jobTypes.ts";
import { taskGroupsOf } from "../job/taskGroups.ts";
import { forgetOtherBoots, refreshSpeeds, restoreSpeed, speedOf, speedViewOf } from "./speedEstimate.ts";
import { observeTask, paceOrigin } from "./speedObservations.ts";
import { createSpeedRecord, speedKey, type SpeedRecord } from "./speedTypes.ts";

describe("the learned speeds of workers", () => {
    const WORKERS = Array.from({ length: 57 }, (_, number) => `w${number}`);
    const BOOT = bootOf("boot");
    const BASE_MS = 7_400;
    let record: SpeedRecord;
    let steps: number;
    let random: ReturnType<typeof congruential32>;

    beforeEach(() => {
        record = createSpeedRecord();
        steps = 0;
        random = congruential32(3);
    });

    /** A worker of the given name, in the boot that all tests begin with. */
    function workerOf(name: string, description: { rack?: string; coldRemainingMs?: number } = {}) {
        return { name, description: { boot: BOOT, ...description } };
    }

    /** Runs one task of a step on each of the workers; run times vary by 30 percent if `varies`. */
    function runStep(
        workers: string[],
        trueSpeedOf: (worker: string) => number,
        {
            varies = true,
            percent = 100,
            ...changes
        }: Partial<Step> & { varies?: boolean; percent?: number } = {},
    ): void {
        const job = jobOf(`j${steps++}`, [stepOf({ count: workers.length, ...changes })]);
        // The estimates and the sizes of steps differ by more than the workers do.
        const stepMs = BASE_MS * 3 ** (uniformFloat32(random) - 0.5);
        for (const [index, name] of workers.entries()) {
            const variation = varies ? 1.3 ** (2 * uniformFloat32(random) - 1) : 1;
            const runMs = (stepMs * variation) / trueSpeedOf(name);
            const group = taskGroupsOf(job, 0).find(({ indexes }) => indexes.includes(index))!;
            const origin = { at: 1_000, percent: 0 };
            const latest = { at: 1_000 + (runMs * percent) / 100, percent };
            observeTask(record, workerOf(name), { entry: { job }, group, index }, origin, latest);
        }
    }

    function learn(now = 0): void {
        refreshSpeeds(record, now);
    }

    function speedsOf(workers: string[]): number[] {
        return workers.map(name => speedOf(record, name, BOOT));
    }

    /** Enough slow workers, among 20 or 30, that speeds count. */
    const SLOW = new Set(WORKERS.slice(0, 8));
    const speedByTurn = (name: string) => [0.6, 1, 1.6][Number(name.slice(1)) % 3]!;

    it("tell three speeds apart after ten tasks per worker whose run times vary by 30 percent", () => {
        for (let step = 0; step < 10; step++) {
            runStep(WORKERS, speedByTurn);
        }
        learn();
        let right = 0;
        for (const name of WORKERS) {
            const speed = speedOf(record, name, BOOT);
            const side = speed < 0.8 ? 0.6 : speed > 1.25 ? 1.6 : 1;
            right += Number(side === speedByTurn(name));
        }
        expect(right / WORKERS.length).to.be.at.least(0.9);
    });

    for (const tasks of [1, 2, 10]) {
        it(`stay at 1 where workers are alike, after ${tasks} tasks per worker`, () => {
            for (let step = 0; step < tasks; step++) {
                runStep(WORKERS, () => 1);
            }
            learn();
            expect(new Set(speedsOf(WORKERS))).to.deep.equal(new Set([1]));
        });
    }

    it("are learned from tasks that still run, from 20 percent on", () => {
        for (let step = 0; step < 6; step++) {
            runStep(WORKERS.slice(0, 6), speedByTurn, { varies: false, percent: 19 });
        }
        learn();
        expect(new Set(speedsOf(WORKERS))).to.deep.equal(new Set([1]));
        for (let step = 0; step < 6; step++) {
            runStep(WORKERS.slice(0, 6), speedByTurn, { varies: false, percent: 20 });
        }
        learn(1_000);
        expect(speedsOf(["w0"])[0]).to.be.below(0.8);
        expect(speedsOf(["w2"])[0]).to.be.above(1.25);
    });

    describe("are not learned from", () => {
        const cases: [string, Partial<Step>][] = [
            ["gangs, whose tasks end together", { gang: true }],
            ["tasks that run until they are cancelled", { longRunning: true }],
            ["tasks away from their data", { dataRack: "elsewhere" }],
        ];
        for (const [name, changes] of cases) {
            it(name, () => {
                for (let step = 0; step < 10; step++) {
                    runStep(WORKERS, speedByTurn, changes);
                }
                learn();
                expect(new Set(speedsOf(WORKERS))).to.deep.equal(new Set([1]));
            });
        }

        it("a step that ran on one worker", () => {
            for (let step = 0; step < 20; step++) {
                runStep(["w0", "w0", "w0"], () => 0.5);
            }
            learn();
            expect(record.estimate.size).to.equal(0);
        });

        it("the time for which a worker is cold", () => {
            const cold = workerOf("w0", { coldRemainingMs: 500 });
            const first = paceOrigin(undefined, cold, { at: 0, percent: 0 });
            const later = paceOrigin(first, cold, { at: 900, percent: 5 });
            expect(paceOrigin(later, workerOf("w0"), { at: 1_500, percent: 30 })).to.deep.equal({
                at: 900,
                percent: 5,
            });
        });
    });

    it("are estimated at most once a second", () => {
        runStep(WORKERS, speedByTurn);
        learn();
        const { estimate } = record;
        runStep(WORKERS, speedByTurn);
        learn(999);
        expect(record.estimate).to.equal(estimate);
        learn(1_000);
        expect(record.estimate).to.not.equal(estimate);
    });

    // Guards against a deployment of alike workers that is served otherwise than before, for one odd task or one faulty worker.
    it("change nothing for one slow worker among many", () => {
        for (let step = 0; step < 10; step++) {
            runStep(WORKERS.slice(0, 20), name => (name === "w0" ? 0.5 : 1));
        }
        learn();
        expect(new Set(speedsOf(WORKERS))).to.deep.equal(new Set([1]));
    });

    it("are not told by one task", () => {
        runStep(WORKERS, speedByTurn);
        learn();
        expect(new Set(speedsOf(WORKERS))).to.deep.equal(new Set([1]));
    });

    it("follow a worker whose speed changes", () => {
        const some = WORKERS.slice(0, 30);
        for (let step = 0; step < 20; step++) {
            runStep(some, name => (SLOW.has(name) ? 0.5 : 1));
            learn(step * 1_000);
        }
        expect(speedsOf(["w0"])[0]).to.be.below(0.6);
        for (let step = 0; step < 20; step++) {
            runStep(some, () => 1);
            learn(100_000 + step * 1_000);
        }
        expect(speedsOf(["w0"])).to.deep.equal([1]);
    });

    it("stay with a worker that has no new observations", () => {
        const some = WORKERS.slice(0, 20);
        for (let step = 0; step < 10; step++) {
            runStep(some, name => (SLOW.has(name) ? 0.5 : 1));
        }
        learn();
        for (let step = 0; step < 60; step++) {
            runStep(some.slice(1), name => (SLOW.has(name) ? 0.5 : 1));
            learn((step + 1) * 1_000);
        }
        expect(speedsOf(["w0"])[0]).to.be.within(0.4, 0.75);
    });

    it("stay within 0.3 and 3", () => {
        for (let step = 0; step < 20; step++) {
            runStep(WORKERS.slice(0, 20), name => (name === "w0" ? 0.01 : 1));
        }
        learn();
        expect(speedsOf(["w0"])).to.deep.equal([0.3]);
    });

    describe("of a former leader", () => {
        it("are the same until there are new observations, over any number of leaders", () => {
            for (let leader = 0; leader < 5; leader++) {
                const key = speedKey("w0", BOOT);
                const known = record.estimate.get(key) ?? { factor: 0.6 ** (8 / 10), observations: 8 };
                record = createSpeedRecord();
                restoreSpeed(record, key, known);
                // Other observations bring about an estimate, and tell that the other workers are alike.
                runStep(["w1", "w2", "w3"], () => 1, { varies: false });
                runStep(["w1", "w2", "w3"], () => 1, { varies: false });
                learn();
                expect(speedsOf(["w0"])[0]).to.be.closeTo(0.6, 0.01);
            }
        });

        it("count as at most four observations, so that a changed speed is soon found", () => {
            restoreSpeed(record, speedKey("w0", BOOT), { factor: 0.6, observations: 500 });
            for (let step = 0; step < 10; step++) {
                runStep(WORKERS.slice(0, 20), () => 1);
            }
            learn();
            expect(speedsOf(["w0"])).to.deep.equal([1]);
        });

        it("do not hold for another boot", () => {
            restoreSpeed(record, speedKey("w0", BOOT), { factor: 0.6, observations: 9 });
            expect(speedOf(record, "w0", bootOf("next"))).to.equal(1);
            forgetOtherBoots(record, () => bootOf("next"));
            expect(record.estimate.size).to.equal(0);
        });
    });

    it("of a worker without observations count as hardly above the slowest where workers differ", () => {
        const seen = WORKERS.slice(0, 30);
        for (let step = 0; step < 10; step++) {
            runStep(seen, () => 1);
        }
        learn();
        expect(speedViewOf(record, "w40", BOOT)).to.deep.equal({ speed: 1, isSpeedUnknown: false });
        for (let step = 0; step < 10; step++) {
            runStep(seen, speedByTurn);
        }
        learn(1_000);
        const { speed, isSpeedUnknown } = speedViewOf(record, "w40", BOOT);
        expect(isSpeedUnknown).to.equal(true);
        expect(speed).to.be.within(0.4, 0.8);
    });
});
