import { expect } from "chai";
import type { ScriptedWorker } from "@tanagerdeck/standins/agent/scriptedWorker";
import type { ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { FIRST_BOOT, startAgentHarness, startOrder, type AgentHarness } from "./testing/agentHarness.ts";

const TASK = "j.0.0.0";
const STOP = { task: TASK, run: 1, boot: FIRST_BOOT };

describe("a worker that starts again", () => {
    let harness: AgentHarness;
    let clock: ManualClock;
    let worker: ScriptedWorker;

    beforeEach(async () => {
        harness = startAgentHarness();
        ({ clock, worker } = harness);
        await harness.startWithGrant();
    });

    afterEach(() => harness.stop());

    /** The worker has lost what it ran and knew, its clock starts at 0, and it describes itself after a second. */
    async function restartUnderSameId(bornMs = 9_000): Promise<void> {
        worker.behaviour = "answers";
        worker.running = [];
        worker.ended = [];
        worker.clockOffsetMs = -clock.now();
        worker.bornMs = bornMs;
        await clock.advance(1_000);
        await harness.restartWorker({ ...FIRST_BOOT, bornMs });
    }

    async function stopState(): Promise<string | undefined> {
        return (await harness.report({ stops: [STOP] })).stops[0]?.state.kind;
    }

    async function runTask(): Promise<void> {
        await harness.sync({ starts: [startOrder(TASK)] });
        await clock.settle();
        worker.running = [{ task: TASK, run: 1, percent: 10 }];
        await clock.advance(1_500);
    }

    describe("while a stop is carried out", () => {
        // Guards against a stop that stays open for as long as the former boot had been up, as their clocks are compared.
        it("confirms a stop that the former boot has answered", async () => {
            await runTask();
            await harness.sync({ stops: [STOP] });
            await clock.advance(50);
            expect(await stopState()).to.equal("pending");
            await restartUnderSameId();
            await clock.advance(1_000);
            expect(await stopState()).to.equal("closed");
        });

        // Guards against a late start that the new boot carries out, as only the former one was told to stop the run.
        it("sends the stop to the new boot too", async () => {
            await runTask();
            await harness.sync({ stops: [STOP] });
            await clock.advance(50);
            const sent = worker.stops.length;
            await restartUnderSameId();
            await clock.advance(100);
            expect(worker.stops.length).to.be.greaterThan(sent);
        });

        // Guards against the answer of the former boot, whose clock is far ahead, that arrives after the new one's lists.
        it("does not take an answer that was on its way for one of the new boot", async () => {
            await runTask();
            worker.answerDelayMs = 3_000;
            await harness.sync({ stops: [STOP] });
            await clock.settle();
            worker.answerDelayMs = 0;
            await restartUnderSameId();
            await clock.advance(3_000);
            expect(await stopState()).to.equal("closed");
        });
    });

    describe("with a wall clock that was set back", () => {
        // Guards against a worker that is never used again, as its boot counts as an earlier one.
        it("is the known boot although its start time lies before that of the former one", async () => {
            await restartUnderSameId(500);
            await clock.advance(1_500);
            expect((await harness.report()).worker).to.deep.include({
                boot: { ...FIRST_BOOT, bornMs: 500 },
                condition: "ready",
            });
        });

        it("is the known boot also under another id", async () => {
            await harness.restartWorker({ id: "i-2", bornMs: 500 });
            await clock.advance(1_500);
            expect((await harness.report()).worker?.boot).to.deep.equal({ id: "i-2", bornMs: 500 });
        });
    });

    describe("while ends are not recorded", () => {
        // Guards against an end that a late hold makes the worker forget, with the number that a former boot's ends had.
        it("reports an end that it has read until the leader has recorded it", async () => {
            worker.ended = [{ number: 1, task: TASK, run: 1, end: "done" }];
            await clock.advance(1_500);
            worker.ended = [];
            await clock.advance(1_500);
            expect((await harness.report()).ended.map(row => row.task)).to.deep.equal([TASK]);
            await harness.sync({ recorded: { boot: FIRST_BOOT, number: 1 } });
            await clock.advance(1_500);
            expect((await harness.report()).ended).to.deep.equal([]);
        });
    });

    describe("while a start is carried out", () => {
        // Guards against a run that counts as running for good: the answer's clock is ahead of all lists of the new boot.
        it("does not list a run whose start the former boot has answered late", async () => {
            worker.answerDelayMs = 3_000;
            await harness.sync({ starts: [startOrder(TASK)] });
            await clock.settle();
            worker.answerDelayMs = 0;
            await restartUnderSameId();
            await harness.sync({ starts: [startOrder(TASK)] });
            await clock.advance(3_000);
            const { running } = await harness.report({ starts: [startOrder(TASK)] });
            expect(running).to.deep.equal([]);
        });

        // Guards against a late start that a boot carries out although the run was stopped at the boot before.
        it("stops a run whose start got no answer at each later boot", async () => {
            worker.behaviour = "silent";
            await harness.sync({ starts: [startOrder(TASK)] });
            await clock.advance(700);
            await harness.sync({ stops: [STOP] });
            worker.behaviour = "answers";
            await clock.advance(1_000);
            await harness.sync({});
            for (const bornMs of [9_000, 12_000]) {
                worker.stops = [];
                await restartUnderSameId(bornMs);
                await clock.advance(500);
                expect(worker.stops.map(({ task, run }) => ({ task, run }))).to.deep.equal([
                    { task: TASK, run: 1 },
                ]);
            }
        });
    });
});
