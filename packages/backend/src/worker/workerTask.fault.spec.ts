import { expect } from "chai";
import type { GangAttemptId, PartReply, ReserveReply } from "@tanagerdeck/decisions/gang/gangTypes";
import { attemptKey, CHECKPOINT_GRACE_MS } from "@tanagerdeck/decisions/gang/gangTypes";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import type { Task } from "@tanagerdeck/runtime/task/task";
import { createProcessFixture, type ProcessFixture } from "@tanagerdeck/standins/gang/processFixture";
import { createWorkerCalls } from "@tanagerdeck/standins/gang/workerCallsFixture";
import {
    createWorkerModel,
    healthyWorkerFaults,
    type WorkerModel,
} from "@tanagerdeck/standins/worker/workerModel";
import { startWorkerTask } from "./workerTask.ts";
import type { WorkerMessage, WorkerStatus } from "./workerTypes.ts";

const BORROWER: GangAttemptId = { gang: "vans/long", attempt: 1 };
const OWNER: GangAttemptId = { gang: "owner/urgent", attempt: 1 };
const CALL_TIMEOUT_MS = 300;
const TASK_LEASE_MS = 1_500;
/** Worst case of a reclaim: the checkpoint grace period, one call without an answer, and the last task lease. */
const RECLAIM_LIMIT_MS = CHECKPOINT_GRACE_MS + CALL_TIMEOUT_MS + TASK_LEASE_MS;
const POLL_MS = 50;

describe("invariant 1: an account can always reclaim its guaranteed shape", () => {
    describe("step: reclaim", () => {
        it("fault: anchor never reacts: the agent ends the part itself", async () => {
            const member = await startMember();
            const order = await startComputing(member, BORROWER, 3_000);
            const grantDelayMs = await reclaim(member, OWNER, () => void renew(member, order));
            expect(grantDelayMs).to.be.at.most(CHECKPOINT_GRACE_MS + CALL_TIMEOUT_MS);
        });

        it("fault: worker silent: nothing is granted before the task has ended by its lease", async () => {
            const member = await startMember();
            const order = await startComputing(member, BORROWER, 3_000);
            member.model.faults.silent = true;
            const grantDelayMs = await reclaim(member, OWNER, () => void renew(member, order));
            expect(grantDelayMs).to.be.at.most(RECLAIM_LIMIT_MS + POLL_MS);
        });

        it("fault: worker silent shortly before the end: its last lease is waited out", async () => {
            const member = await startMember();
            const order = await startComputing(member, BORROWER, 10_000);
            member.clock.startTimer(CHECKPOINT_GRACE_MS - 100, () => (member.model.faults.silent = true));
            const grantDelayMs = await reclaim(member, OWNER, () => void renew(member, order));
            expect(grantDelayMs).to.be.at.most(RECLAIM_LIMIT_MS + POLL_MS);
        });
    });
});

describe("invariant 2: no part runs without the rest of its gang", () => {
    describe("step: renew", () => {
        it("fault: message delayed: the lease counts from the member's own stamp", async () => {
            const member = await startMember();
            const order = await startComputing(member, BORROWER, 2_000);
            const startedAt = member.clock.now();
            await member.clock.advance(1_500);
            await settleReply(member, renew(member, order));
            await member.clock.advance(3_000);
            expect(computedMs(member)).to.be.at.most(2_000);
            expect(member.model.intervals[0]!.end! - startedAt).to.be.at.most(2_000);
        });

        it("fault: message late but in time: the part goes on", async () => {
            const member = await startMember();
            const order = await startComputing(member, BORROWER, 3_000);
            await member.clock.advance(2_600);
            const lateOrder = { ...order, stamp: member.clock.now() - 1_000 };
            expect((await settleReply(member, renew(member, lateOrder))).kind).to.equal("confirmed");
            await member.clock.advance(1_200);
            expect(member.model.intervals[0]!.end).to.equal(undefined);
        });

        it("fault: member killed: its task does not outlive the run lease", async () => {
            const member = await startMember();
            await startComputing(member, BORROWER, 1_800);
            await member.clock.advance(1_100);
            member.process.kill();
            await member.clock.advance(3_000);
            expect(computedMs(member)).to.be.at.most(1_800);
        });

        it("fault: member frozen past its lease and resumed: its part is over", async () => {
            const member = await startMember();
            const order = await startComputing(member, BORROWER, 3_000);
            member.process.freeze();
            await member.clock.advance(8_000);
            const lateReply = renew(member, order);
            member.process.resume();
            expect(await settleReply(member, lateReply)).to.deep.equal({ kind: "lost", reason: "expired" });
            await member.clock.advance(1_000);
            expect(computedMs(member)).to.be.at.most(1_500);
            expect(await freeAccelerators(member)).to.equal(2);
        });

        it("fault: worker killed: the member stops confirming", async () => {
            const member = await startMember();
            const order = await startComputing(member, BORROWER, 3_000);
            member.model.fail();
            member.model.faults.silent = true;
            await member.clock.advance(1_600);
            expect((await settleReply(member, renew(member, order))).kind).to.equal("lost");
        });
    });

    describe("step: prepare", () => {
        it("fault: message delayed past the hold: the part is not loaded", async () => {
            const member = await startMember();
            await settleReply(member, reserve(member, BORROWER, "vans"));
            await member.clock.advance(3_000);
            const reply = await settleReply(member, prepare(member, BORROWER));
            expect(reply).to.deep.equal({ kind: "lost", reason: "stale" });
            expect(member.model.list()).to.deep.equal([]);
        });

        it("fault: agent restarted: the new incarnation waits for the old leases", async () => {
            const member = await startMember();
            await startComputing(member, BORROWER, 3_000);
            member.process.kill();
            const restarted = startAgent(member.clock, member.model);
            const refused = await settleReply(restarted, reserve(restarted, OWNER, "owner"));
            expect(refused).to.deep.equal({ kind: "refused", reason: "starting" });
            const grantDelayMs = await reclaim(restarted, OWNER, () => undefined);
            expect(grantDelayMs).to.be.at.most(TASK_LEASE_MS + CALL_TIMEOUT_MS + POLL_MS);
            expect(member.model.list()).to.deep.equal([]);
        });
    });

    describe("step: usage", () => {
        it("fault: reports late, repeated and out of order: use is counted once, from the first renewal", async () => {
            const member = await startMember();
            member.model.faults.usageLagMs = 1_000;
            let order = await startComputing(member, BORROWER, 3_000);
            for (let second = 0; second < 5; second++) {
                await member.clock.advance(1_000);
                const reply = await settleReply(member, renew(member, order));
                order = { ...order, stamp: reply.kind === "confirmed" ? reply.stamp : 0 };
            }
            await settleReply(member, stop(member, BORROWER));
            await member.clock.advance(10_000);
            const computed = computedMs(member) * 2;
            const { usage } = await status(member);
            expect(usage).to.have.length(1);
            expect(usage[0]!.milliseconds).to.be.within(computed - 2 * 1_000 - 50, computed - 2 * 1_000);
        });

        it("fault: anchor killed after the start: use of a part that was never confirmed whole is not counted", async () => {
            const member = await startMember();
            await startComputing(member, BORROWER, 3_000);
            await member.clock.advance(10_000);
            expect(computedMs(member)).to.be.above(1_000);
            expect((await status(member)).usage).to.deep.equal([]);
        });
    });
});

interface Member {
    clock: ManualClock;
    process: ProcessFixture;
    model: WorkerModel;
    task: Task<WorkerMessage>;
}

async function startMember(): Promise<Member> {
    const clock = createManualClock();
    const member = startAgent(clock, createWorkerModel(clock, healthyWorkerFaults()));
    await clock.advance(10);
    return member;
}

function startAgent(clock: ManualClock, model: WorkerModel): Member {
    const process = createProcessFixture("agent", clock);
    const task = startWorkerTask({
        rack: "rack-0",
        slot: 0,
        accelerators: 2,
        incarnation: "first",
        clock: process.clock,
        log: noopLog,
        calls: createWorkerCalls(process, model, clock),
        askReclaim: () => undefined,
    });
    task.send({ kind: "bindings", bound: ["owner", "owner"] });
    return { clock, process, model, task };
}

/** Prepares and starts a part under a lease of `leaseMs` that counts from the stamp of the preparation. */
async function startComputing(member: Member, reference: GangAttemptId, leaseMs: number) {
    await settleReply(member, reserve(member, reference, "vans"));
    await settleReply(member, prepare(member, reference));
    await member.clock.settle();
    const prepared = await settleReply(member, prepare(member, reference));
    const stamp = prepared.kind === "confirmed" ? prepared.stamp : 0;
    const order = { ...reference, stamp, leaseMs };
    const started = await settleReply(
        member,
        member.task.ask<PartReply>(reply => ({ kind: "start", order, reply })),
    );
    expect(started).to.deep.include({ kind: "confirmed", state: "computing" });
    return order;
}

/** Measures the time until the owner is granted the borrower's accelerators; `meanwhile` runs every 500 ms. */
async function reclaim(member: Member, owner: GangAttemptId, meanwhile: () => void): Promise<number> {
    const askedAt = member.clock.now();
    for (let polls = 0; polls < 200; polls++) {
        const reply = await settleReply(member, reserve(member, owner, "owner"));
        if (reply.kind === "granted") {
            const open = member.model.intervals.filter(({ end }) => end === undefined);
            expect(open, "the borrower still computes").to.deep.equal([]);
            return member.clock.now() - askedAt;
        }
        if (polls % 10 === 0) {
            meanwhile();
        }
        await member.clock.advance(POLL_MS);
    }
    return Number.POSITIVE_INFINITY;
}

function reserve({ task }: Member, reference: GangAttemptId, clientAccount: string) {
    const reservation = {
        ...reference,
        clientAccount,
        indexes: [0, 1],
        guaranteed: false,
        holdMs: 3_000,
        configurationRevision: 1,
    };
    return task.ask<ReserveReply>(reply => ({ kind: "reserve", reservation, reply }));
}

function prepare({ task }: Member, reference: GangAttemptId) {
    const body = JSON.stringify({ ms: 60_000 });
    const gangTask = { kind: "routes", clientAccount: "vans", body, limitMs: 60_000 };
    const preparation = { ...reference, anchor: "anchor", task: gangTask };
    return task.ask<PartReply>(reply => ({ kind: "prepare", preparation, reply }));
}

/** Sends a renewal with the order's old stamp, like an anchor whose messages are delayed. */
function renew({ task }: Member, order: GangAttemptId & { stamp: number; leaseMs: number }) {
    return task.ask<PartReply>(reply => ({ kind: "renew", order, reply }));
}

function stop({ task }: Member, reference: GangAttemptId) {
    return task.ask(reply => ({ kind: "stop", order: { ...reference, checkpoint: false }, reply }));
}

async function settleReply<T>(member: Member, reply: Promise<T>): Promise<T> {
    await member.clock.settle();
    return reply;
}

function status({ task }: Member): Promise<WorkerStatus> {
    return task.ask<WorkerStatus>(reply => ({ kind: "status", reply }));
}

async function freeAccelerators(member: Member): Promise<number> {
    const { load } = await status(member);
    return load.accelerators.filter(({ kind }) => kind === "free").length;
}

function computedMs({ model, clock }: Member): number {
    const own = model.intervals.filter(({ id }) => id === attemptKey(BORROWER));
    return own.reduce((sum, { begin, end }) => sum + (end ?? clock.now()) - begin, 0);
}
