import { expect } from "chai";
import type { ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import type { ScriptedWorker } from "@tanagerdeck/standins/agent/scriptedWorker";
import { FIRST_BOOT, startAgentHarness, startOrder, type AgentHarness } from "./testing/agentHarness.ts";

const TASK = "j.0.0.599";
const STOP = { task: TASK, run: 1, boot: FIRST_BOOT };

describe("a worker with more ends than it lists at once", () => {
    let harness: AgentHarness;
    let clock: ManualClock;
    let worker: ScriptedWorker;

    /** The worker ends 600 tasks, the last of which is behind the first page. */
    beforeEach(async () => {
        harness = startAgentHarness();
        ({ clock, worker } = harness);
        await harness.startWithGrant();
        await harness.sync({ starts: [startOrder(TASK)] });
        await clock.settle();
        for (let index = 0; index < 600; index++) {
            worker.ended.push({ number: index + 1, task: `j.0.0.${index}`, run: 1, end: "done" });
        }
        await clock.advance(1_500);
    });

    afterEach(() => harness.stop());

    // Guards against a task that runs again although it has ended as done: its end was behind the first 500.
    describe("and a stop of a run whose end is not listed yet", () => {
        async function stopState(): Promise<string | undefined> {
            return (await harness.report({ stops: [STOP] })).stops[0]?.state.kind;
        }

        beforeEach(async () => {
            await harness.sync({ stops: [STOP] });
            await clock.advance(1_000);
        });

        it("does not close the run as long as the page is full", async () => {
            expect((await harness.report({ stops: [STOP] })).ended).to.have.length(500);
            expect(await stopState()).to.equal("pending");
        });

        it("does not close it when the page is acknowledged and the next one is not read yet", async () => {
            await harness.sync({ stops: [STOP], recorded: { boot: FIRST_BOOT, number: 500 } });
            expect(await stopState()).to.equal("pending");
            expect(await harness.report({ stops: [STOP] })).to.deep.include({ ended: [], hasMoreEnds: true });
        });

        it("lists the end with the next page and closes the run", async () => {
            await harness.sync({ stops: [STOP], recorded: { boot: FIRST_BOOT, number: 500 } });
            await clock.advance(100);
            const { ended, stops, hasMoreEnds } = await harness.report({ stops: [STOP] });
            expect(ended.at(-1)).to.deep.include({ task: TASK, end: "done" });
            expect(stops[0]?.state.kind).to.equal("closed");
            expect(hasMoreEnds).to.equal(false);
        });
    });

    // Guards against a leader that waits for ends that do not exist, until the next report for another reason.
    it("reports with the next lists that there are no more ends", async () => {
        worker.ended = worker.ended.slice(0, 500);
        const { version } = await harness.report();
        const recorded = { boot: FIRST_BOOT, number: 500 };
        const next = harness.report({ recorded, seenVersion: version, waitMs: 60_000 });
        await clock.advance(1_500);
        const stillWaiting = Symbol("still waiting");
        expect(await Promise.race([next, Promise.resolve(stillWaiting)])).to.deep.include({
            ended: [],
            hasMoreEnds: false,
        });
    });

    // Guards against a job that is given up for a crash, although its task had ended before.
    it("does not blame a crash on a run whose end may be behind the page", async () => {
        worker.behaviour = "refuses-connections";
        await clock.advance(3_000);
        worker.behaviour = "answers";
        worker.ended = [];
        await harness.restartWorker({ id: "i-2", bornMs: 9_000 });
        const { stops } = await harness.report({ stops: [STOP] });
        expect(stops[0]?.state).to.deep.equal({ kind: "closed", end: undefined });
    });
});
