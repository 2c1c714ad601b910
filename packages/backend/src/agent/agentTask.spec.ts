import { expect } from "chai";
import type { CrashEnd } from "@tanagerdeck/decisions/worker/workerReport";
import type { ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import type { ScriptedWorker } from "@tanagerdeck/standins/agent/scriptedWorker";
import {
    FIRST_BOOT as boot,
    startAgentHarness,
    startOrder,
    type AgentHarness,
} from "./testing/agentHarness.ts";

describe("the agent task", () => {
    let harness: AgentHarness;
    let clock: ManualClock;
    let worker: ScriptedWorker;
    let times: AgentHarness["times"];

    beforeEach(() => {
        harness = startAgentHarness();
        ({ clock, worker, times } = harness);
    });

    afterEach(() => harness.stop());

    describe("under a grant", () => {
        it("renews the lease with each hold", async () => {
            await harness.startWithGrant();
            await clock.advance(3_000);
            const deadlines = worker.holds.flatMap(hold => hold.deadlineMs ?? []);
            expect(deadlines.length).to.be.at.least(3);
            expect(deadlines.at(-1)! - worker.clockMs()).to.be.within(times.leaseMs - 1_500, times.leaseMs);
        });

        it("stops renewing when the grant ends, so that the leader may place the tasks elsewhere", async () => {
            await harness.startWithGrant();
            await clock.advance(times.grantMs + 1_500);
            const last = worker.holds.at(-1);
            expect(last).to.not.equal(undefined);
            expect(last?.deadlineMs).to.equal(undefined);
        });

        it("ignores a grant that echoes another incarnation's stamp", async () => {
            await harness.sendHeartbeat();
            const { stamp } = await harness.report();
            await harness.sync({ grant: { stamp: { ...stamp, incarnation: "earlier" }, ms: times.grantMs } });
            await clock.advance(2_000);
            expect(worker.holds.flatMap(hold => hold.deadlineMs ?? [])).to.deep.equal([]);
        });

        it("measures the grant from its stamp, not from its arrival, as a call may be delayed", async () => {
            const stamp = await harness.startWithGrant();
            await clock.advance(times.grantMs + 500);
            worker.holds = [];
            await harness.sync({ grant: { stamp, ms: times.grantMs } });
            await clock.advance(1_500);
            expect(worker.holds.flatMap(hold => hold.deadlineMs ?? [])).to.deep.equal([]);
        });
    });

    describe("with an order to start", () => {
        it("starts the run once and reports it as running", async () => {
            await harness.startWithGrant();
            await harness.sync({ starts: [startOrder("j.0.0.0")] });
            await clock.settle();
            const { running, starts } = await harness.report({ starts: [startOrder("j.0.0.0")] });
            expect(worker.starts).to.have.length(1);
            expect(worker.starts[0]).to.include({ fence: 7, id: "i-1", run: 1 });
            expect(running.map(row => row.task)).to.deep.equal(["j.0.0.0"]);
            expect(starts[0]?.state.kind).to.equal("started");
        });

        it("retries a start that got no answer, and gives up before the gang's limit", async () => {
            await harness.startWithGrant();
            worker.behaviour = "silent";
            await harness.sync({ starts: [startOrder("j.0.0.0")] });
            await clock.advance(10_000);
            expect(worker.starts.length).to.be.within(2, 5);
        });

        it("refuses a start for another boot, as the new boot may not know which runs were stopped", async () => {
            await harness.startWithGrant();
            const other = { ...startOrder("j.0.0.0"), boot: { id: "i-1", bornMs: 999 } };
            await harness.sync({ starts: [other] });
            await clock.settle();
            const { starts } = await harness.report({ starts: [other] });
            expect(starts[0]?.state).to.deep.equal({ kind: "refused", reason: "other-boot" });
            expect(worker.starts).to.deep.equal([]);
        });

        it("refuses a start as soon as the worker drains", async () => {
            await harness.startWithGrant();
            await harness.sendHeartbeat({ isDraining: true, remainingMs: 2_000 });
            await harness.sync({ starts: [startOrder("j.0.0.0")] });
            await clock.settle();
            const { starts, worker: description } = await harness.report({ starts: [startOrder("j.0.0.0")] });
            expect(starts[0]?.state).to.deep.equal({ kind: "refused", reason: "draining" });
            expect(description?.condition).to.equal("draining");
        });

        it("sends no start after its own restart until a heartbeat arrives", async () => {
            const { stamp } = await harness.report();
            await harness.sync({ grant: { stamp, ms: times.grantMs }, starts: [startOrder("j.0.0.0")] });
            await clock.advance(1_000);
            expect(worker.starts).to.deep.equal([]);
        });
    });

    describe("with an order to stop", () => {
        const stop = { task: "j.0.0.0", run: 1, boot };

        it("is closed only when lists made after the stop no longer show the run", async () => {
            await harness.startWithGrant();
            worker.running = [{ task: "j.0.0.0", run: 1, percent: 10 }];
            await harness.sync({ stops: [stop] });
            await clock.advance(50);
            expect((await harness.report({ stops: [stop] })).stops[0]?.state.kind).to.equal("pending");
            worker.running = [];
            await clock.advance(1_500);
            expect((await harness.report({ stops: [stop] })).stops[0]?.state.kind).to.equal("closed");
        });

        it("stays pending when a heartbeat names the boot whose lists were read before it", async () => {
            // Seen on ckw-deck scale-1: a restarted agent lost the list of running tasks when the heartbeat arrived, so
            // the stop was reported as closed and the task was started a second time.
            worker.running = [{ task: "j.0.0.0", run: 1, percent: 10 }];
            const { stamp } = await harness.report();
            await harness.sync({ grant: { stamp, ms: times.grantMs }, stops: [stop] });
            await clock.advance(100);
            await harness.sendHeartbeat();
            expect((await harness.report({ stops: [stop] })).stops[0]?.state.kind).to.equal("pending");
        });

        it("is closed by a boot with another id, since that boot refuses late starts", async () => {
            await harness.startWithGrant();
            await harness.restartWorker({ id: "i-2", bornMs: 9_000 });
            await harness.sync({ stops: [stop] });
            await clock.settle();
            expect((await harness.report({ stops: [stop] })).stops[0]?.state.kind).to.equal("closed");
        });

        it("is sent to a new boot with the same id, which would execute a late start of the run", async () => {
            await harness.startWithGrant();
            await harness.restartWorker({ id: "i-1", bornMs: 9_000 });
            await harness.sync({ stops: [stop] });
            await clock.advance(50);
            expect(worker.stops.map(call => call.task)).to.deep.equal(["j.0.0.0"]);
            expect((await harness.report({ stops: [stop] })).stops[0]?.state.kind).to.equal("closed");
        });
    });

    describe("with a stop that counted as closed", () => {
        // Guards against a run that goes on for good because its stop was given up while the worker was silent.
        it("sends the stop when the worker answers again and still lists the run", async () => {
            const stop = { task: "j.0.0.0", run: 1, boot };
            await harness.startWithGrant();
            worker.behaviour = "silent";
            await clock.advance(12_000);
            expect((await harness.report({ stops: [stop] })).stops[0]?.state.kind).to.equal("closed");
            await clock.settle();
            expect(worker.stops).to.deep.equal([]);
            worker.running = [{ task: "j.0.0.0", run: 1, percent: 10 }];
            worker.behaviour = "answers";
            await clock.advance(2_000);
            await harness.sync({ stops: [stop] });
            await clock.settle();
            expect(worker.stops.map(call => call.task)).to.deep.equal(["j.0.0.0"]);
        });
    });

    describe("when the worker ends a run", () => {
        it("reports the end at once and lets the worker drop it only when it is recorded", async () => {
            await harness.startWithGrant();
            const waiting = harness.report({ seenVersion: (await harness.report()).version, waitMs: 5_000 });
            worker.ended = [{ number: 1, task: "j.0.0.0", run: 1, end: "done" }];
            await clock.advance(1_500);
            expect((await waiting).ended).to.have.length(1);
            expect(worker.holds.at(-1)?.recorded).to.equal(0);
            await harness.sync({ recorded: { boot, number: 1 } });
            await clock.advance(1_500);
            expect(worker.holds.at(-1)?.recorded).to.equal(1);
            expect((await harness.report()).ended).to.deep.equal([]);
        });

        // Guards against an end that is not recorded yet when all VMs lose power, so that the task runs again.
        it("reads the next end as soon as the one before is recorded", async () => {
            await harness.startWithGrant();
            worker.ended = [{ number: 1, task: "j.0.0.0", run: 1, end: "done" }];
            await clock.advance(1_500);
            const holds = worker.holds.length;
            while (worker.holds.length === holds) {
                await clock.advance(1);
            }
            worker.ended = [{ number: 2, task: "j.0.0.1", run: 1, end: "done" }];
            await harness.sync({ recorded: { boot, number: 1 } });
            await clock.advance(10);
            expect((await harness.report()).ended.map(({ number }) => number)).to.deep.equal([2]);
        });
    });

    describe("when the worker does not answer", () => {
        it("lets the lease expire and then reports it as lapsed", async () => {
            await harness.startWithGrant();
            worker.behaviour = "silent";
            await clock.advance(6_000);
            const early = await harness.report();
            expect(early.worker).to.include({ condition: "silent", hasLapsed: false });
            await clock.advance(6_000);
            expect((await harness.report()).worker?.hasLapsed).to.equal(true);
        });

        it("reports the worker as gone when its address refuses connections", async () => {
            await harness.startWithGrant();
            worker.behaviour = "refuses-connections";
            await clock.advance(2_000);
            expect((await harness.report()).worker?.condition).to.equal("gone");
        });
    });

    describe("when the worker crashes", () => {
        const task = "j.0.0.0";

        /** The worker starts the task and works on it for a time. */
        async function runFor(workedMs: number): Promise<void> {
            await harness.startWithGrant();
            await harness.sync({ starts: [startOrder(task)] });
            await clock.settle();
            worker.running = [{ task, run: 1, percent: 0 }];
            await clock.advance(workedMs);
        }

        /** The worker is away for three seconds and back as another boot; returns how the run ended. */
        async function endAfterCrash(): Promise<CrashEnd | undefined> {
            worker.behaviour = "refuses-connections";
            await clock.advance(3_000);
            worker.behaviour = "answers";
            worker.running = [];
            await harness.restartWorker({ id: "i-2", bornMs: 9_000 });
            const { stops } = await harness.report({ stops: [{ task, run: 1, boot }] });
            const state = stops[0]?.state;
            return state?.kind === "closed" ? state.end : undefined;
        }

        it("blames a task that had just started, also to a leader that takes over afterwards", async () => {
            await runFor(100);
            expect(await endAfterCrash()).to.equal("crashed-at-start");
            const { stops } = await harness.report({ term: 8, stops: [{ task, run: 1, boot }] });
            expect(stops[0]?.state).to.deep.equal({ kind: "closed", end: "crashed-at-start" });
        });

        it("tells a task that had worked for a while apart", async () => {
            await runFor(5_000);
            expect(await endAfterCrash()).to.equal("crashed");
        });

        it("blames a task whose start got no answer, as it may have been executed", async () => {
            await harness.startWithGrant();
            worker.behaviour = "silent";
            await harness.sync({ starts: [startOrder(task)] });
            await clock.advance(700);
            expect(await endAfterCrash()).to.equal("crashed-at-start");
        });

        it("does not blame a task that could not be sent to the worker", async () => {
            await harness.startWithGrant();
            worker.behaviour = "refuses-connections";
            await harness.sync({ starts: [startOrder(task)] });
            await clock.advance(700);
            expect(await endAfterCrash()).to.equal(undefined);
        });

        it("does not blame a task if the worker had announced its end", async () => {
            await runFor(100);
            await harness.sendHeartbeat({ isDraining: true });
            expect(await endAfterCrash()).to.equal(undefined);
        });

        it("blames a task also if the worker does not come back", async () => {
            await runFor(100);
            worker.behaviour = "refuses-connections";
            await clock.advance(12_000);
            const { stops } = await harness.report({ stops: [{ task, run: 1, boot }] });
            expect(stops[0]?.state).to.deep.equal({ kind: "closed", end: "crashed-at-start" });
        });
    });

    describe("when a message claims to speak for the worker", () => {
        const task = "j.0.0.0";

        async function expectRunGoesOn(): Promise<void> {
            const {
                worker: description,
                running,
                stops,
            } = await harness.report({ stops: [{ task, run: 1, boot }] });
            expect(description?.boot).to.deep.equal(boot);
            expect(running.map(row => row.task)).to.deep.equal([task]);
            expect(stops[0]?.state.kind).to.equal("pending");
        }

        beforeEach(async () => {
            await harness.startWithGrant();
            await harness.sync({ starts: [startOrder(task)] });
            await clock.settle();
            worker.running = [{ task, run: 1, percent: 10 }];
            await clock.advance(1_500);
        });

        // Guards against a heartbeat of another writer that closes the runs of the worker while they go on.
        it("keeps the boot if the heartbeat of a later one names another id than the worker has", async () => {
            await harness.sendHeartbeat({ id: "i-printer", bornMs: 9_000, sequence: 1 });
            await clock.settle();
            await expectRunGoesOn();
        });

        it("keeps the boot if the heartbeat names a later start than the worker has", async () => {
            await harness.sendHeartbeat({ bornMs: 9_000, sequence: 1 });
            await clock.settle();
            await expectRunGoesOn();
        });

        it("ignores a heartbeat that names another service", async () => {
            await harness.sendHeartbeat({ service: "ledger-printer", isDraining: true });
            await harness.sendHeartbeat({ id: "i-printer", bornMs: 9_000, service: "ledger-printer" });
            await clock.settle();
            await expectRunGoesOn();
            expect((await harness.report()).worker).to.include({ service: "desk", condition: "ready" });
        });

        it("goes on taking the worker's heartbeats after many of other writers", async () => {
            for (let number = 1; number <= 20; number++) {
                await harness.sendHeartbeat({ id: `i-odd-${number}`, bornMs: 9_000 + number });
            }
            await clock.settle();
            await expectRunGoesOn();
            await harness.sendHeartbeat({ isDraining: true });
            expect((await harness.report()).worker?.condition).to.equal("draining");
        });

        it("accepts the next boot once the worker answers as that boot", async () => {
            worker.behaviour = "silent";
            worker.running = [];
            await harness.restartWorker({ id: "i-2", bornMs: 9_000 });
            expect((await harness.report()).worker?.boot).to.deep.equal(boot);
            worker.behaviour = "answers";
            await clock.advance(1_000);
            expect((await harness.report()).worker?.boot).to.deep.equal({ id: "i-2", bornMs: 9_000 });
        });

        describe("and says that it leaves", () => {
            function sendLeave(changes: { id?: string; bornMs?: number | undefined } = {}): Promise<void> {
                return harness
                    .agent()
                    .ask((reply: Reply<void>) => ({ kind: "left", id: boot.id, ...changes, reply }));
            }

            async function isClosed(): Promise<boolean> {
                const { stops } = await harness.report({ stops: [{ task, run: 1, boot }] });
                return stops[0]?.state.kind === "closed";
            }

            // Guards against a late message of a former boot that closes the runs of the present one.
            it("keeps the boot if the message names an earlier start", async () => {
                await sendLeave({ bornMs: boot.bornMs - 500 });
                await expectRunGoesOn();
                expect((await harness.report()).worker?.condition).to.equal("ready");
            });

            it("closes the runs at once if the message names the boot", async () => {
                await sendLeave({ bornMs: boot.bornMs });
                expect(await isClosed()).to.equal(true);
            });

            describe("without a start time", () => {
                it("closes the runs as soon as nothing listens at the worker's address", async () => {
                    await sendLeave();
                    await clock.advance(200);
                    expect(await isClosed()).to.equal(false);
                    worker.behaviour = "refuses-connections";
                    await clock.advance(100);
                    expect(await isClosed()).to.equal(true);
                });

                it("blames no task if the next boot answers before the leave is confirmed", async () => {
                    await sendLeave();
                    worker.running = [];
                    await harness.restartWorker({ id: "i-2", bornMs: 9_000 });
                    const { stops } = await harness.report({ stops: [{ task, run: 1, boot }] });
                    expect(stops[0]?.state).to.deep.equal({ kind: "closed", end: undefined });
                });

                it("gives the worker no new tasks while it is checked, and goes on if it stays", async () => {
                    await sendLeave();
                    expect((await harness.report()).worker?.condition).to.equal("draining");
                    await clock.advance(2_500);
                    await expectRunGoesOn();
                    expect((await harness.report()).worker?.condition).to.equal("ready");
                });
            });

            it("does not come back through a late heartbeat of the boot that has left", async () => {
                await sendLeave({ bornMs: boot.bornMs });
                await harness.sendHeartbeat();
                expect((await harness.report()).worker?.condition).to.equal("gone");
            });
        });

        describe("after a restart of the agent", () => {
            // Guards against runs that count as open for good, as their worker stays away while its agent starts again.
            it("reports the lease of a worker that stays away as lapsed", async () => {
                await harness.stop();
                worker.behaviour = "refuses-connections";
                harness.start();
                await clock.advance(3_000);
                expect(await harness.report()).to.deep.include({ worker: undefined, hasLapsed: false });
                await clock.advance(6_000);
                expect(await harness.report()).to.deep.include({ worker: undefined, hasLapsed: true });
            });

            // Guards against a report that describes the worker and lists none of its tasks, which are then closed.
            it("describes the worker together with the tasks that it runs", async () => {
                await harness.stop();
                harness.start();
                await harness.report();
                await harness.sendHeartbeat();
                await clock.settle();
                const { worker: description, running } = await harness.report();
                expect(description?.boot).to.deep.equal(boot);
                expect(running.map(row => row.task)).to.deep.equal([task]);
            });

            // Guards against a late heartbeat of a former boot that is taken for the present one.
            it("ignores a heartbeat of the boot before the one that runs", async () => {
                await harness.stop();
                harness.start();
                await harness.sendHeartbeat({ id: "i-0", bornMs: 500 });
                await harness.report();
                await clock.settle();
                expect((await harness.report()).worker).to.equal(undefined);
                await harness.sendHeartbeat();
                await clock.settle();
                expect((await harness.report()).worker?.boot).to.deep.equal(boot);
            });
        });
    });

    describe("with calls from several leaders", () => {
        it("refuses an older term, whose orders may be revoked", async () => {
            await harness.startWithGrant();
            await harness.sync({ term: 9 });
            expect(await harness.sync({ term: 7 })).to.deep.equal({ kind: "stale", term: 9 });
        });

        it("answers an out-of-order call as stale", async () => {
            await harness.startWithGrant();
            const late = harness.lastSequence();
            expect((await harness.sync({ sequence: late })).kind).to.equal("stale");
        });
    });
});
