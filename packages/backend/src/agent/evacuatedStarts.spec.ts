import { expect } from "chai";
import type {
    EvacuationNotice,
    OrderState,
    Stamp,
    SyncRequest,
} from "@tanagerdeck/decisions/worker/workerReport";
import type { ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopSchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import type { ScriptedWorker } from "@tanagerdeck/standins/agent/scriptedWorker";
import { FIRST_BOOT, startAgentHarness, startOrder, type AgentHarness } from "./testing/agentHarness.ts";

const LIMIT_MS = 5_000;
const TASK = "j.0.0.0";
const MATE = "j.0.0.1";
const REFUSED: OrderState = { kind: "refused", reason: "evacuated" };

describe("the agent in a deployment that uses evacuations", () => {
    let harness: AgentHarness;
    let clock: ManualClock;
    let worker: ScriptedWorker;
    let stamp: Stamp;
    let refusals: string[];

    beforeEach(async () => {
        refusals = [];
        const metrics = { ...noopSchedulerMetrics, startRefused: (reason: string) => refusals.push(reason) };
        harness = startAgentHarness({ evacuationLimitMs: LIMIT_MS, metrics });
        ({ clock, worker } = harness);
        stamp = await harness.startWithGrant();
    });

    afterEach(() => harness.stop());

    function notice(zones: string[], changes: Partial<EvacuationNotice> = {}): EvacuationNotice {
        return { zones, stamp, ageMs: 0, ...changes };
    }

    /** Makes a call that lists starts of the tasks; returns the states of the starts once the agent has settled. */
    async function listStarts(
        tasks: string[],
        evacuation: EvacuationNotice | undefined,
        changes: Partial<SyncRequest> = {},
    ): Promise<(OrderState | undefined)[]> {
        const request = { starts: tasks.map(task => startOrder(task)), evacuation, ...changes };
        await harness.sync(request);
        await clock.settle();
        const { starts } = await harness.report(request);
        return tasks.map(task => starts.find(({ run }) => run.task === task)?.state);
    }

    function sentTasks(calls: { task: string }[]): string[] {
        return calls.map(({ task }) => task);
    }

    describe("under a fresh notice", () => {
        it("refuses a start in an evacuated zone, and counts the refusal", async () => {
            expect(await listStarts([TASK], notice(["zone"]))).to.deep.equal([REFUSED]);
            expect(worker.starts).to.deep.equal([]);
            expect(refusals).to.deep.equal(["evacuated"]);
        });

        it("starts tasks while another zone is evacuated, and again once the evacuation has ended", async () => {
            expect(await listStarts([TASK], notice(["zone"]))).to.deep.equal([REFUSED]);
            expect(await listStarts([MATE], notice(["zone-2"]))).to.deep.equal([{ kind: "started" }]);
            expect(sentTasks(worker.starts)).to.deep.equal([MATE]);
        });

        // Guards against a call that the network holds up so long that the worker executes it after the limit.
        it("lets the worker execute a start only up to the limit", async () => {
            await listStarts([TASK], notice([], { ageMs: 3_500 }));
            // 1,500 ms are left; the worker's clock may run 2 percent slow.
            expect(worker.starts[0]!.deadlineMs - worker.clockMs()).to.equal(Math.floor(1_500 / 1.02));
            await listStarts([TASK, MATE], notice([], { ageMs: 0 }));
            expect(worker.starts[1]!.deadlineMs - worker.clockMs()).to.equal(harness.times.startMs);
        });
    });

    describe("without a fresh notice", () => {
        // Guards against a task that starts in an evacuated zone as the leader or the call knows nothing of it.
        const cases: Record<string, () => EvacuationNotice | undefined> = {
            "it is missing": () => undefined,
            "it was too old when it was sent": () => notice([], { ageMs: LIMIT_MS - 1_000 }),
            "it is for another incarnation of the agent": () =>
                notice([], { stamp: { ...stamp, incarnation: "earlier" } }),
        };
        for (const [name, evacuation] of Object.entries(cases)) {
            it(`makes starts wait until there is one: ${name}`, async () => {
                expect(await listStarts([TASK], evacuation())).to.deep.equal([{ kind: "pending" }]);
                await clock.advance(500);
                expect(worker.starts).to.deep.equal([]);
                const { stamp: now } = await harness.report({
                    starts: [startOrder(TASK)],
                    evacuation: evacuation(),
                });
                await listStarts([TASK], notice([], { stamp: now }));
                await clock.advance(150);
                expect(sentTasks(worker.starts)).to.deep.equal([TASK]);
            });
        }

        // Guards against a call that shows a time before the evacuation as if it were the present.
        it("makes starts wait after a call that was held up in the network", async () => {
            const heldUp = notice([], { ageMs: 200 });
            await clock.advance(3_800);
            expect(await listStarts([TASK], heldUp)).to.deep.equal([{ kind: "pending" }]);
            await clock.advance(500);
            expect(worker.starts).to.deep.equal([]);
        });

        it("makes starts wait after a call of a leader that was suspended before it sent the call", async () => {
            const written = notice([], { ageMs: 0 });
            await clock.advance(9_000);
            const { stamp: now } = await harness.report();
            const grant = { stamp: now, ms: harness.times.grantMs };
            expect(await listStarts([TASK], written, { grant })).to.deep.equal([{ kind: "pending" }]);
            await clock.advance(500);
            expect(worker.starts).to.deep.equal([]);
        });

        it("makes starts wait after a call of a leader that was suspended before it wrote the call", async () => {
            const states = await listStarts([TASK], notice([], { ageMs: 60_000 }));
            expect(states).to.deep.equal([{ kind: "pending" }]);
            await clock.advance(500);
            expect(worker.starts).to.deep.equal([]);
        });

        it("sends a start no more once the notice has become too old", async () => {
            worker.behaviour = "refuses-connections";
            await listStarts([TASK], notice([], { ageMs: 2_500 }));
            await clock.advance(1_400);
            expect(worker.starts.length).to.be.greaterThan(1);
            await clock.advance(200);
            worker.behaviour = "answers";
            worker.starts = [];
            await clock.advance(1_000);
            expect(worker.starts).to.deep.equal([]);
        });

        it("makes starts wait after a newer call that has no notice", async () => {
            await listStarts([], notice([]));
            expect(await listStarts([TASK], undefined)).to.deep.equal([{ kind: "pending" }]);
            await clock.advance(500);
            expect(worker.starts).to.deep.equal([]);
        });

        it("does not take over the notice of a stale call", async () => {
            await listStarts([TASK], undefined);
            const stale = [
                { term: 7, sequence: 1 },
                { term: 6, sequence: 900 },
            ];
            for (const call of stale) {
                const reply = await harness.sync({ ...call, evacuation: notice([]) });
                expect(reply.kind).to.equal("stale");
            }
            await clock.advance(500);
            expect(worker.starts).to.deep.equal([]);
        });

        it("makes starts wait after its restart until the leader has its new stamp", async () => {
            await harness.stop();
            harness.start("second");
            await harness.sendHeartbeat();
            const { stamp: now } = await harness.report();
            // Starts that were listed before the agent knows the boot are dropped, which would hide one that is sent too early.
            await clock.settle();
            const grant = { stamp: now, ms: harness.times.grantMs };
            await harness.sync({ grant, evacuation: notice([]), starts: [startOrder(TASK)] });
            await clock.advance(500);
            expect(worker.starts).to.deep.equal([]);
            await listStarts([TASK], notice([], { stamp: now }), { grant });
            await clock.advance(150);
            expect(sentTasks(worker.starts)).to.deep.equal([TASK]);
        });
    });

    describe("when an evacuation becomes known", () => {
        // Guards against a gang that is placed elsewhere a retry later than it could be.
        it("refuses a start that waits at once", async () => {
            await listStarts([TASK], undefined);
            expect(await listStarts([TASK], notice(["zone"]))).to.deep.equal([REFUSED]);
        });

        it("tells a leader that waits for a change", async () => {
            await listStarts([TASK], undefined);
            const { version } = await harness.report({ starts: [startOrder(TASK)] });
            const report = await harness.report({
                starts: [startOrder(TASK)],
                evacuation: notice(["zone"]),
                seenVersion: version,
                waitMs: 5_000,
            });
            expect(report.starts[0]?.state).to.deep.equal(REFUSED);
        });

        // Guards against a run that nobody knows of, as its start is executed after it was refused.
        it("refuses a start whose call got no answer, and its stop reaches the worker", async () => {
            worker.behaviour = "silent";
            await listStarts([TASK], notice([]));
            expect(worker.starts).to.have.length(1);
            await clock.advance(600);
            expect(await listStarts([TASK], notice(["zone"]))).to.deep.equal([REFUSED]);
            worker.behaviour = "answers";
            worker.running = [{ task: TASK, run: 1, percent: 0 }];
            const stops = [{ task: TASK, run: 1, boot: FIRST_BOOT }];
            await harness.sync({ stops, evacuation: notice(["zone"]) });
            await clock.advance(300);
            expect(sentTasks(worker.stops)).to.deep.equal([TASK]);
            expect((await harness.report({ stops })).stops[0]?.state.kind).to.equal("pending");
            worker.running = [];
            await clock.advance(1_500);
            expect((await harness.report({ stops })).stops[0]?.state.kind).to.equal("closed");
            expect(worker.starts).to.have.length(1);
        });

        it("waits for the answer to a start that is under way, and lets the run go on if it is confirmed", async () => {
            worker.answerDelayMs = 400;
            await listStarts([TASK], notice([]));
            expect(await listStarts([TASK, MATE], notice(["zone"]))).to.deep.equal([
                { kind: "pending" },
                REFUSED,
            ]);
            await clock.advance(400);
            expect(await listStarts([TASK, MATE], notice(["zone"]))).to.deep.equal([
                { kind: "started" },
                REFUSED,
            ]);
            expect(worker.stops).to.deep.equal([]);
        });

        it("refuses a start that is under way if its call gets no answer", async () => {
            worker.behaviour = "silent";
            await listStarts([TASK], notice([]));
            expect(await listStarts([TASK], notice(["zone"]))).to.deep.equal([{ kind: "pending" }]);
            await clock.advance(800);
            expect(await listStarts([TASK], notice(["zone"]))).to.deep.equal([REFUSED]);
            expect(worker.starts).to.have.length(1);
        });

        // Guards against a stop that is held back by the start's call, while the worker executes the start.
        it("sends a stop also while the start's call is under way", async () => {
            worker.answerDelayMs = 3_000;
            await listStarts([TASK], notice([]));
            expect(await listStarts([TASK, MATE], notice(["zone"]))).to.deep.equal([
                { kind: "pending" },
                REFUSED,
            ]);
            const stops = [{ task: TASK, run: 1, boot: FIRST_BOOT }];
            await harness.sync({ stops, evacuation: notice(["zone"]) });
            await clock.settle();
            expect(sentTasks(worker.stops)).to.deep.equal([TASK]);
            await clock.advance(5_000);
            const { stops: states, running } = await harness.report({ stops });
            expect(states[0]?.state.kind).to.equal("closed");
            expect(running).to.deep.equal([]);
            expect(sentTasks(worker.starts)).to.deep.equal([TASK]);
        });

        it("lets a run go on that the worker has confirmed or lists, and refuses the other starts", async () => {
            await listStarts([TASK], notice([]));
            const listed = "k.0.0.0";
            worker.running = [TASK, listed].map(task => ({ task, run: 1, percent: 5 }));
            await clock.advance(1_500);
            const states = await listStarts([TASK, listed, MATE], notice(["zone"]));
            expect(states).to.deep.equal([{ kind: "started" }, { kind: "started" }, REFUSED]);
            expect(worker.stops).to.deep.equal([]);
        });

        // Guards against a gang of which one member waits for another that can no longer start.
        it("refuses the member of a gang that has not started, and keeps the one that has until its stop", async () => {
            await listStarts([TASK], notice([]));
            worker.running = [{ task: TASK, run: 1, percent: 5 }];
            worker.behaviour = "silent";
            await listStarts([TASK, MATE], notice([]));
            await clock.advance(600);
            worker.behaviour = "answers";
            const states = await listStarts([TASK, MATE], notice(["zone"]));
            expect(states).to.deep.equal([{ kind: "started" }, REFUSED]);
            const stops = [TASK, MATE].map(task => ({ task, run: 1, boot: FIRST_BOOT }));
            await harness.sync({ stops, evacuation: notice(["zone"]) });
            await clock.settle();
            expect(sentTasks(worker.stops)).to.have.members([TASK, MATE]);
        });

        it("keeps what runs after its own restart, and refuses what does not", async () => {
            worker.running = [{ task: TASK, run: 1, percent: 5 }];
            await harness.stop();
            harness.start("second");
            const { stamp: now } = await harness.report();
            const grant = { stamp: now, ms: harness.times.grantMs };
            const evacuation = notice(["zone"], { stamp: now });
            expect(await listStarts([TASK, MATE], evacuation, { grant })).to.deep.equal([
                { kind: "pending" },
                { kind: "pending" },
            ]);
            await harness.sendHeartbeat();
            await clock.advance(200);
            expect(await listStarts([TASK, MATE], evacuation)).to.deep.equal([{ kind: "started" }, REFUSED]);
            expect(worker.starts).to.deep.equal([]);
        });
    });
});

describe("the agent in a deployment without evacuations", () => {
    it("starts a task whatever a call says of evacuations", async () => {
        const harness = startAgentHarness();
        const stamp = await harness.startWithGrant();
        for (const evacuation of [undefined, { zones: ["zone"], stamp, ageMs: 0 }]) {
            const task = evacuation ? TASK : MATE;
            await harness.sync({ starts: [startOrder(task)], evacuation });
            await harness.clock.settle();
            const { starts } = await harness.report({ starts: [startOrder(task)], evacuation });
            expect(starts[0]?.state).to.deep.equal({ kind: "started" });
        }
        const limits = harness.worker.starts.map(({ deadlineMs }) => deadlineMs - harness.worker.clockMs());
        expect(limits).to.deep.equal([harness.times.startMs, harness.times.startMs]);
        await harness.stop();
    });
});
