import { expect } from "chai";
import { leaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import type {
    StartOrder,
    SyncReply,
    SyncReport,
    SyncRequest,
} from "@tanagerdeck/decisions/worker/workerReport";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import { noopSchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import type { Reply, Task } from "@tanagerdeck/runtime/task/task";
import { createScriptedWorker, type ScriptedWorker } from "@tanagerdeck/standins/agent/scriptedWorker";
import { startAgentTask } from "./agentTask.ts";
import type { AgentMessage } from "./agentTypes.ts";
import type { WorkerHeartbeat } from "./workerPort.ts";

describe("the agent beside a worker", () => {
    const times = leaseTimes(6_000);
    const boot = { id: "i-1", bornMs: 1_000 };
    let clock: ManualClock;
    let worker: ScriptedWorker;
    let agent: Task<AgentMessage>;
    let sequence: number;

    function startAgent(): void {
        agent = startAgentTask({
            port: worker,
            times,
            incarnation: "first",
            clock,
            log: noopLog,
            metrics: noopSchedulerMetrics,
        });
    }

    beforeEach(() => {
        clock = createManualClock();
        worker = createScriptedWorker(clock);
        sequence = 0;
        startAgent();
    });

    afterEach(() => agent.stop());

    function beat(changes: Partial<WorkerHeartbeat> = {}): Promise<void> {
        const heartbeat: WorkerHeartbeat = {
            id: boot.id,
            bornMs: boot.bornMs,
            sequence: ++sequence,
            service: "desk",
            availabilityZone: "zone",
            isDraining: false,
            labels: ["a", "r1"],
            rack: "r1",
            capacity: { cpuMillis: 64_000, memoryMb: 1_000, gpus: 8 },
            clockMs: worker.clockMs(),
            ...changes,
        };
        return agent.ask((reply: Reply<void>) => ({ kind: "heartbeat", heartbeat, reply }));
    }

    let calls = 0;

    function sync(changes: Partial<SyncRequest> = {}): Promise<SyncReply> {
        const request: SyncRequest = {
            term: 7,
            sequence: ++calls,
            starts: [],
            stops: [],
            seenVersion: 0,
            waitMs: 0,
            ...changes,
        };
        return agent.ask((reply: Reply<SyncReply>) => ({ kind: "sync", request, reply }));
    }

    async function report(changes: Partial<SyncRequest> = {}): Promise<SyncReport> {
        const reply = await sync(changes);
        if (reply.kind !== "report") {
            throw new Error("The call was stale.");
        }
        return reply.report;
    }

    /** Makes the worker known and gives a grant. */
    async function begin(): Promise<SyncReport["stamp"]> {
        await beat();
        const { stamp } = await report();
        await sync({ grant: { stamp, ms: times.grantMs } });
        await clock.settle();
        return stamp;
    }

    function startOf(task: string, run = 1): StartOrder {
        return { task, run, boot, spec: "spec" };
    }

    describe("under a grant", () => {
        it("renews the lease with each hold", async () => {
            await begin();
            await clock.advance(3_000);
            const deadlines = worker.holds.flatMap(hold => hold.deadlineMs ?? []);
            expect(deadlines.length).to.be.at.least(3);
            expect(deadlines.at(-1)! - worker.clockMs()).to.be.within(times.leaseMs - 1_500, times.leaseMs);
        });

        it("stops renewing when the grant ends, so that the leader may place the tasks elsewhere", async () => {
            await begin();
            await clock.advance(times.grantMs + 1_500);
            const last = worker.holds.at(-1);
            expect(last).to.not.equal(undefined);
            expect(last?.deadlineMs).to.equal(undefined);
        });

        it("does not take a grant that echoes another incarnation's stamp", async () => {
            await beat();
            const { stamp } = await report();
            await sync({ grant: { stamp: { ...stamp, incarnation: "earlier" }, ms: times.grantMs } });
            await clock.advance(2_000);
            expect(worker.holds.flatMap(hold => hold.deadlineMs ?? [])).to.deep.equal([]);
        });

        it("counts the grant from the stamp, not from its arrival, as a call may be held up", async () => {
            const stamp = await begin();
            await clock.advance(times.grantMs + 500);
            worker.holds = [];
            await sync({ grant: { stamp, ms: times.grantMs } });
            await clock.advance(1_500);
            expect(worker.holds.flatMap(hold => hold.deadlineMs ?? [])).to.deep.equal([]);
        });
    });

    describe("with an order to start", () => {
        it("starts the run once and reports it as running", async () => {
            await begin();
            await sync({ starts: [startOf("j.0.0.0")] });
            await clock.settle();
            const { running, starts } = await report({ starts: [startOf("j.0.0.0")] });
            expect(worker.starts).to.have.length(1);
            expect(worker.starts[0]).to.include({ fence: 7, id: "i-1", run: 1 });
            expect(running.map(row => row.task)).to.deep.equal(["j.0.0.0"]);
            expect(starts[0]?.state.kind).to.equal("started");
        });

        it("repeats a start that got no answer, and gives up before the gang's limit", async () => {
            await begin();
            worker.behaviour = "silent";
            await sync({ starts: [startOf("j.0.0.0")] });
            await clock.advance(10_000);
            expect(worker.starts.length).to.be.within(2, 5);
        });

        it("refuses a start for another boot, which may not know what it stopped", async () => {
            await begin();
            const other = { ...startOf("j.0.0.0"), boot: { id: "i-1", bornMs: 999 } };
            await sync({ starts: [other] });
            await clock.settle();
            const { starts } = await report({ starts: [other] });
            expect(starts[0]?.state).to.deep.equal({ kind: "refused", reason: "other-boot" });
            expect(worker.starts).to.deep.equal([]);
        });

        it("refuses a start as soon as the worker drains", async () => {
            await begin();
            await beat({ isDraining: true, remainingMs: 2_000 });
            await sync({ starts: [startOf("j.0.0.0")] });
            await clock.settle();
            const { starts, worker: description } = await report({ starts: [startOf("j.0.0.0")] });
            expect(starts[0]?.state).to.deep.equal({ kind: "refused", reason: "draining" });
            expect(description?.condition).to.equal("draining");
        });

        it("waits for a heartbeat before it starts anything after its own restart", async () => {
            const { stamp } = await report();
            await sync({ grant: { stamp, ms: times.grantMs }, starts: [startOf("j.0.0.0")] });
            await clock.advance(1_000);
            expect(worker.starts).to.deep.equal([]);
        });
    });

    describe("with an order to stop", () => {
        const stop = { task: "j.0.0.0", run: 1, boot };

        it("is settled only when lists made after the stop no longer show the run", async () => {
            await begin();
            worker.running = [{ task: "j.0.0.0", run: 1, percent: 10 }];
            await sync({ stops: [stop] });
            await clock.advance(50);
            expect((await report({ stops: [stop] })).stops[0]?.state.kind).to.equal("pending");
            worker.running = [];
            await clock.advance(1_500);
            expect((await report({ stops: [stop] })).stops[0]?.state.kind).to.equal("closed");
        });

        it("stays unsettled when a heartbeat names the boot whose lists were read before it", async () => {
            // Found on ckw-deck scale-1: the restarted agent forgot what ran, and the task was started a second time.
            worker.running = [{ task: "j.0.0.0", run: 1, percent: 10 }];
            const { stamp } = await report();
            await sync({ grant: { stamp, ms: times.grantMs }, stops: [stop] });
            await clock.advance(100);
            await beat();
            expect((await report({ stops: [stop] })).stops[0]?.state.kind).to.equal("pending");
        });

        it("is settled by another boot's name, which refuses late starts by itself", async () => {
            await begin();
            await beat({ id: "i-2", bornMs: 9_000 });
            worker.bornMs = 9_000;
            await sync({ stops: [stop] });
            await clock.settle();
            expect((await report({ stops: [stop] })).stops[0]?.state.kind).to.equal("closed");
        });

        it("tells a new boot of the same name to refuse the run, as a late start would be executed there", async () => {
            await begin();
            await beat({ bornMs: 9_000 });
            worker.bornMs = 9_000;
            await sync({ stops: [stop] });
            await clock.advance(50);
            expect(worker.stops.map(call => call.task)).to.deep.equal(["j.0.0.0"]);
            expect((await report({ stops: [stop] })).stops[0]?.state.kind).to.equal("closed");
        });
    });

    describe("when the worker ends a run", () => {
        it("reports the end at once and lets the worker forget it only when it is recorded", async () => {
            await begin();
            const waiting = report({ seenVersion: (await report()).version, waitMs: 5_000 });
            worker.ended = [{ number: 1, task: "j.0.0.0", run: 1, end: "done" }];
            await clock.advance(1_500);
            expect((await waiting).ended).to.have.length(1);
            expect(worker.holds.at(-1)?.recorded).to.equal(0);
            await sync({ recorded: { boot, number: 1 } });
            await clock.advance(1_500);
            expect(worker.holds.at(-1)?.recorded).to.equal(1);
            expect((await report()).ended).to.deep.equal([]);
        });
    });

    describe("when the worker is silent", () => {
        it("lets the lease run out and then reports that nothing runs", async () => {
            await begin();
            worker.behaviour = "silent";
            await clock.advance(6_000);
            const early = await report();
            expect(early.worker).to.include({ condition: "silent", hasLapsed: false });
            await clock.advance(6_000);
            expect((await report()).worker?.hasLapsed).to.equal(true);
        });

        it("is gone when nobody listens at its address", async () => {
            await begin();
            worker.behaviour = "refuses-connections";
            await clock.advance(2_000);
            expect((await report()).worker?.condition).to.equal("gone");
        });
    });

    describe("with calls of several leaders", () => {
        it("refuses an older term, whose orders may be revoked", async () => {
            await begin();
            await sync({ term: 9 });
            expect(await sync({ term: 7 })).to.deep.equal({ kind: "stale", term: 9 });
        });

        it("ignores a call that was overtaken", async () => {
            await begin();
            const late = calls;
            expect((await sync({ sequence: late })).kind).to.equal("stale");
        });
    });
});
