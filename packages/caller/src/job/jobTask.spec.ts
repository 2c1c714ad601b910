import { expect } from "chai";
import type { JobStatus } from "@tanagerdeck/decisions/gang/jobTypes";
import {
    gangConfiguration,
    NON_REPEATABLE_KIND,
    REPEATABLE_KIND,
} from "@tanagerdeck/standins/gang/gangConfiguration";
import {
    startGangFixture,
    type GangFixture,
    type JobSubmission,
} from "@tanagerdeck/standins/gang/gangFixture";
import { noopMetrics } from "@tanagerdeck/runtime/metrics/metricsTypes";
import { doubleAllocations } from "@tanagerdeck/standins/gang/gangMeasures";
import type { JobReply } from "./jobTaskTypes.ts";

const JOB = { id: "job", clientAccount: "vans", kind: REPEATABLE_KIND, accelerators: 4, ms: 2_000 };

describe("jobs task", () => {
    let fixture: GangFixture;
    let ended: string[];

    beforeEach(async () => {
        ended = [];
        const configuration = gangConfiguration();
        configuration.document.clientAccounts[0]!.quota = {
            accelerators: 8,
            requestsPerSecond: 10,
            waiting: 20,
        };
        fixture = await startGangFixture({
            workers: 6,
            accelerators: 2,
            entries: 2,
            configuration,
            random: () => 0.5,
            metrics: { ...noopMetrics, ended: (form, end) => ended.push(`${form} ${end.verdict}`) },
        });
    });

    afterEach(() => fixture.stop());

    describe("metrics", () => {
        it("counts each end once, so that the share of may-have-run is correct", async () => {
            await submit(0, JOB);
            await fixture.clock.advance(8_000);
            expect(ended).to.deep.equal(["gang ran"]);
        });
    });

    describe("when the platform is down", () => {
        beforeEach(() => {
            fixture.platform.mode = "down";
        });

        it("runs a repeatable job unrecorded and stores its end once the platform is back", async () => {
            expect(await submit(0, JOB)).to.deep.include({ state: "queued", recorded: false });
            await fixture.clock.advance(8_000);
            expect(await lookUp(0)).to.deep.include({ state: "finished", recorded: false });
            fixture.platform.mode = "normal";
            await fixture.clock.advance(4_000);
            expect(await lookUp(1)).to.deep.include({ state: "finished", recorded: true });
        });

        it("does not start a non-repeatable job, since another entry may have accepted the same id", async () => {
            for (const entry of [0, 1]) {
                expect(await submit(entry, { ...JOB, kind: NON_REPEATABLE_KIND })).to.deep.include({
                    recorded: false,
                });
            }
            await fixture.clock.advance(8_000);
            expect(executedTasks()).to.deep.equal([]);
            fixture.platform.mode = "normal";
            await fixture.clock.advance(12_000);
            expect(new Set(executedTasks()).size, "attempts").to.equal(1);
            expect((await lookUp(0)).state).to.equal("finished");
            expect((await lookUp(1)).state).to.equal("finished");
        });

        it("does not commit a non-repeatable job, since an entry that claims it would run it again", async () => {
            fixture.platform.mode = "normal";
            fixture.network.chooseFault = ({ step }) => {
                fixture.platform.mode = step === "reserve" ? "down" : fixture.platform.mode;
                return "none";
            };
            await submit(0, { ...JOB, kind: NON_REPEATABLE_KIND });
            await fixture.clock.advance(3_000);
            fixture.network.chooseFault = () => "none";
            fixture.platform.mode = "normal";
            fixture.entries[0]!.process.kill();
            fixture.entries[1]!.jobs.send({ kind: "claim", owner: "entry-0" });
            await fixture.clock.advance(10_000);
            expect((await lookUp(1)).state).to.equal("finished");
            expect(new Set(executedTasks()).size, "attempts").to.equal(1);
        });

        it("does not report not-run for a cancelled job before its end is stored", async () => {
            await submit(0, { ...JOB, accelerators: 8, kind: NON_REPEATABLE_KIND });
            const reply = fixture.cancel(0, JOB.id, JOB.clientAccount);
            await fixture.clock.advance(4_000);
            expect(statusOf(await reply).end?.verdict).to.equal("may-have-run");
            fixture.platform.mode = "normal";
            await fixture.clock.advance(4_000);
            expect((await lookUp(0)).end?.verdict).to.equal("not-run");
        });
    });

    describe("when write replies are lost", () => {
        it("recognizes its own writes by reading the record and runs the job once", async () => {
            fixture.platform.mode = "lose-write-reply";
            await submit(0, { ...JOB, kind: NON_REPEATABLE_KIND });
            await fixture.clock.advance(15_000);
            expect(await lookUp(1)).to.deep.include({ state: "finished", recorded: true });
            expect(new Set(executedTasks()).size).to.equal(1);
        });
    });

    describe("when the same id is submitted to both entries", () => {
        it("runs the job once and refuses a different job with the id as a conflict", async () => {
            const first = fixture.submit(0, { ...JOB, kind: NON_REPEATABLE_KIND });
            const second = fixture.submit(1, { ...JOB, kind: NON_REPEATABLE_KIND });
            await fixture.clock.advance(8_000);
            expect((await first).kind).to.equal("status");
            expect((await second).kind).to.equal("status");
            expect(new Set(executedTasks()).size).to.equal(1);
            for (const entry of [0, 1]) {
                const other = fixture.submit(entry, { ...JOB, ms: 1 });
                await fixture.clock.advance(100);
                expect(await other).to.deep.include({ reason: "conflict", verdict: "not-run" });
            }
        });
    });

    describe("when many jobs are cancelled", () => {
        it("ends waiting, placing and running jobs and frees all accelerators", async () => {
            const ids = Array.from({ length: 12 }, (_, position) => `job-${position}`);
            for (const id of ids) {
                void fixture.submit(0, { ...JOB, id, ms: 15_000 });
            }
            await fixture.clock.advance(2_500);
            for (const id of ids) {
                void fixture.cancel(Number(id.at(-1)) % 2, id, JOB.clientAccount);
            }
            await fixture.clock.advance(12_000);
            const open = fixture.agents.flatMap(({ model }) => model.list());
            expect(open).to.deep.equal([]);
            const started = new Set(executedTasks().map(id => id.split("#")[0]));
            for (const id of ids) {
                const { state, end } = await lookUp(0, id);
                expect(state, id).to.equal("cancelled");
                expect(end!.verdict === "not-run" && started.has(`vans/${id}`), id).to.equal(false);
            }
        });
    });

    describe("with a quota of accelerators", () => {
        it("never exceeds it; jobs over it wait, or are refused at once if they can never fit", async () => {
            for (const id of ["a", "b", "c"]) {
                void fixture.submit(0, { ...JOB, id });
            }
            const overQuota = fixture.submit(0, { ...JOB, id: "over", accelerators: 9 });
            await fixture.clock.advance(20_000);
            expect(await overQuota).to.deep.include({ reason: "infeasible", verdict: "not-run" });
            for (const id of ["a", "b", "c"]) {
                expect((await lookUp(0, id)).state).to.equal("finished");
            }
            expect(peakAccelerators()).to.equal(8);
        });
    });

    describe("when a worker fails every task", () => {
        it("places the job's next attempt on other workers", async () => {
            fixture.agents[0]!.model.faults.failEverything = true;
            await submit(0, JOB);
            await fixture.clock.advance(15_000);
            expect((await lookUp(0)).state).to.equal("finished");
        });
    });

    describe("when a job crashes each worker that starts it", () => {
        // Guards against BUDGET: only failed parts counted, so the job took down one worker after the other.
        it("fails the job after a few attempts", async () => {
            await submit(0, JOB);
            for (let step = 0; step < 6_000; step++) {
                for (const model of models()) {
                    if (model.list().some(task => task.state === "computing")) {
                        model.fail();
                    }
                }
                await fixture.clock.advance(10);
            }
            expect(new Set(executedTasks()).size, "attempts").to.be.within(2, 5);
            expect((await lookUp(0)).end).to.deep.include({ verdict: "ran", reason: "backend-error" });
        });
    });

    describe("when a job runs much longer than declared", () => {
        it("fails the job at its kind's time limit, also after a checkpoint", async () => {
            await submit(0, { ...JOB, ms: 600_000 });
            await fixture.clock.advance(40_000);
            const { state, end } = await lookUp(0);
            expect(state).to.equal("failed");
            expect(end).to.deep.include({ verdict: "ran", reason: "deadline-exceeded" });
        });
    });

    describe("when an entry hands over its waiting jobs", () => {
        it("lets another entry claim and run them", async () => {
            void fixture.submit(0, { ...JOB, id: "first", accelerators: 8, ms: 6_000 });
            await fixture.clock.advance(1_000);
            await submit(0, JOB);
            let isDone = false;
            void fixture.entries[0]!.jobs.ask(reply => ({ kind: "hand-over", reply })).then(
                () => (isDone = true),
            );
            await fixture.clock.advance(500);
            expect(isDone).to.equal(true);
            fixture.entries[1]!.jobs.send({ kind: "claim", owner: "entry-0" });
            await fixture.clock.advance(20_000);
            expect((await lookUp(1)).state).to.equal("finished");
            expect(doubleAllocations(models(), fixture.clock.now())).to.deep.equal([]);
        });
    });

    async function submit(entry: number, job: JobSubmission): Promise<JobStatus> {
        const reply = fixture.submit(entry, job);
        await fixture.clock.advance(1_500);
        return statusOf(await reply);
    }

    async function lookUp(entry: number, id = JOB.id): Promise<JobStatus> {
        const reply = fixture.status(entry, id, JOB.clientAccount);
        await fixture.clock.advance(600);
        return statusOf(await reply);
    }

    function models() {
        return fixture.agents.map(({ model }) => model);
    }

    function executedTasks(): string[] {
        return models().flatMap(({ intervals }) => intervals.map(({ id }) => id));
    }

    /** Returns the highest number of accelerators in use at the same time. */
    function peakAccelerators(): number {
        const intervals = models().flatMap(model => model.intervals);
        const usedAt = (time: number) =>
            intervals
                .filter(({ begin, end }) => begin <= time && time < (end ?? Number.POSITIVE_INFINITY))
                .reduce((sum, { indexes }) => sum + indexes.length, 0);
        return Math.max(...intervals.map(({ begin }) => usedAt(begin)));
    }
});

function statusOf(reply: JobReply): JobStatus {
    expect(reply.kind, JSON.stringify(reply)).to.equal("status");
    return (reply as { status: JobStatus }).status;
}
