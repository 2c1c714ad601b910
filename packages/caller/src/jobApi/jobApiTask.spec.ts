import { expect } from "chai";
import type { JobRequest } from "@tanagerdeck/decisions/job/jobTypes";
import { emptyProgress } from "@tanagerdeck/decisions/job/progressTypes";
import { stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog, type Log } from "@tanagerdeck/runtime/log/log";
import { noopSchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import type { Task } from "@tanagerdeck/runtime/task/task";
import { encodeContent } from "@tanagerdeck/store/replica/storedValueCodec";
import { jobKey } from "@tanagerdeck/store/replica/storeKeys";
import { createMemoryStore, type MemoryStore } from "@tanagerdeck/standins/keyvalue/memoryStore";
import { createJobApi, startJobApiTask, type JobApiMessage } from "./jobApiTask.ts";
import type { QueueCall, JobApi } from "./jobApiTypes.ts";

describe("job API task", () => {
    const call: QueueCall = {
        queue: {
            name: "quotes",
            host: "h",
            pathPrefix: "/q/",
            service: "desk",
            public: false,
            terms: { priority: 0, attempts: 2, stretch: 1.5, latencyTargetMs: 400 },
        },
        clientAccount: "okahandja",
    };
    const request: JobRequest = { id: "00000000000000aa", spec: "s", steps: [stepOf()] };
    let clock: ManualClock;
    let store: MemoryStore;
    let task: Task<JobApiMessage>;
    let jobApi: JobApi;
    let isStoreFailing: boolean;
    let announced: string[];
    let accepted: Record<string, unknown>[];

    beforeEach(() => {
        clock = createManualClock();
        store = createMemoryStore(clock);
        isStoreFailing = false;
        announced = [];
        accepted = [];
        const log: Log = {
            ...noopLog,
            info(message, fields = {}) {
                if (message === "A job was accepted.") {
                    accepted.push(fields);
                }
            },
        };
        let writes = 0;
        task = startJobApiTask({
            store,
            clock,
            log,
            newWriteId: () => `w${++writes}`,
            announce: item => announced.push(item.key),
            announceUncertainWrite: id => task.send({ kind: "doubt", id }),
            metrics: noopSchedulerMetrics,
            isStoreFailing: () => isStoreFailing,
        });
        jobApi = createJobApi(task);
    });

    afterEach(() => task.stop());

    /** Advances the clock until a reply arrives. */
    async function advanceUntilSettled<T>(reply: Promise<T>): Promise<T> {
        let isDone = false;
        void reply.finally(() => (isDone = true));
        for (let turn = 0; turn < 100 && !isDone; turn++) {
            await clock.advance(50);
        }
        return reply;
    }

    describe("with a new job", () => {
        it("accepts it only when the store has it", async () => {
            expect(await advanceUntilSettled(jobApi.submit(call, request, 3_000))).to.deep.equal({
                kind: "accepted",
            });
            expect(store.item(jobKey(request.id, "definition"))).to.not.equal(undefined);
            expect(announced).to.deep.equal([jobKey(request.id, "definition")]);
        });

        // Guards against a field that makes a repeated submission another job, or that a later release takes for its own.
        it("logs the fields that are not supported, and stores the job without them", async () => {
            const asking = { ...request, unsupported: ["fills", "target_ms"] };
            await advanceUntilSettled(jobApi.submit(call, asking, 3_000));
            expect((await advanceUntilSettled(jobApi.submit(call, request, 3_000))).kind).to.equal(
                "accepted",
            );
            expect(accepted.map(({ unsupported }) => unsupported)).to.deep.equal(["fills target_ms"]);
            expect(store.item(jobKey(request.id, "definition"))!.value).to.not.include("unsupported");
        });

        it("accepts a repeated submission without writing it again", async () => {
            await advanceUntilSettled(jobApi.submit(call, request, 3_000));
            const revision = store.revision();
            expect((await advanceUntilSettled(jobApi.submit(call, request, 3_000))).kind).to.equal(
                "accepted",
            );
            expect(store.revision()).to.equal(revision);
        });

        it("refuses a different job with the same id as a conflict", async () => {
            await advanceUntilSettled(jobApi.submit(call, request, 3_000));
            const other = { ...request, spec: "other" };
            expect(await advanceUntilSettled(jobApi.submit(call, other, 3_000))).to.include({
                kind: "refused",
                reason: "conflict",
            });
        });

        it("recognizes its own write after a lost reply and accepts the job", async () => {
            store.faults.mode = "lose-reply";
            const reply = jobApi.submit(call, request, 3_000);
            await clock.advance(20);
            store.faults.mode = "none";
            expect((await advanceUntilSettled(reply)).kind).to.equal("accepted");
        });
    });

    describe("while the store is unavailable", () => {
        it("refuses at once without a write", async () => {
            isStoreFailing = true;
            const reply = await jobApi.submit(call, request, 3_000);
            expect(reply).to.include({ kind: "refused", reason: "store-unavailable" });
            expect(store.calls.get("commit")).to.equal(undefined);
        });

        it("refuses within 1 s, before the caller's limit, if the store refuses the write", async () => {
            store.faults.mode = "refuse";
            const startedAt = clock.now();
            expect((await advanceUntilSettled(jobApi.submit(call, request, 3_000))).kind).to.equal("refused");
            expect(clock.now() - startedAt).to.be.below(1_000);
        });

        it("never reports a job as refused while its write may still take effect", async () => {
            store.faults.mode = "late";
            expect((await advanceUntilSettled(jobApi.submit(call, request, 3_000))).kind).to.equal("unclear");
            isStoreFailing = true;
            expect((await advanceUntilSettled(jobApi.submit(call, request, 3_000))).kind).to.equal("unclear");
            isStoreFailing = false;
            store.faults.mode = "refuse";
            expect((await advanceUntilSettled(jobApi.submit(call, request, 3_000))).kind).to.equal("unclear");
        });

        it("reports a state as unavailable instead of the job as unknown", async () => {
            store.faults.mode = "silent";
            expect((await advanceUntilSettled(jobApi.state(call, request.id, 3_000))).kind).to.equal(
                "unavailable",
            );
        });
    });

    describe("with a stale copy of the store", () => {
        // Soak seed 110: an entry whose watch of the store had failed showed a completed job as running.
        async function storeCompleted(): Promise<void> {
            await advanceUntilSettled(jobApi.submit(call, request, 3_000));
            task.send({ kind: "changed", change: store.item(jobKey(request.id, "definition"))! });
            const progress = { ...emptyProgress(), final: "completed" as const };
            store.write(jobKey(request.id, "progress"), encodeContent("progress", progress, "w9"));
        }

        it("reads the state from the store", async () => {
            await storeCompleted();
            await clock.advance(2_500);
            expect(await advanceUntilSettled(jobApi.state(call, request.id, 3_000))).to.deep.equal({
                kind: "state",
                state: "completed",
            });
        });

        // Soak seed 736: another entry had shown the job as completed 1.6 s before.
        it("reads the state from the store once the watch should have confirmed the copy", async () => {
            await storeCompleted();
            task.send({ kind: "confirmed", atMs: clock.now() });
            await clock.advance(1_200);
            expect(await advanceUntilSettled(jobApi.state(call, request.id, 3_000))).to.deep.equal({
                kind: "state",
                state: "completed",
            });
        });

        it("reports the state as unavailable while the store does not answer", async () => {
            await storeCompleted();
            await clock.advance(2_500);
            isStoreFailing = true;
            expect((await advanceUntilSettled(jobApi.state(call, request.id, 3_000))).kind).to.equal(
                "unavailable",
            );
        });

        it("shows a final state from the copy, since it cannot change", async () => {
            await storeCompleted();
            task.send({ kind: "changed", change: store.item(jobKey(request.id, "progress"))! });
            await clock.advance(2_500);
            isStoreFailing = true;
            expect((await advanceUntilSettled(jobApi.state(call, request.id, 3_000))).kind).to.equal("state");
        });

        it("answers from the copy again once it is confirmed", async () => {
            await storeCompleted();
            await clock.advance(2_500);
            task.send({ kind: "confirmed", atMs: clock.now() });
            isStoreFailing = true;
            expect((await advanceUntilSettled(jobApi.state(call, request.id, 3_000))).kind).to.equal("state");
        });
    });

    describe("with a query for a state", () => {
        it("finds a job that the copy does not have yet", async () => {
            await advanceUntilSettled(jobApi.submit(call, request, 3_000));
            expect(await advanceUntilSettled(jobApi.state(call, request.id, 3_000))).to.deep.equal({
                kind: "state",
                state: "queued",
            });
        });

        it("reports a job that was never submitted as unknown", async () => {
            expect((await advanceUntilSettled(jobApi.state(call, "00000000000000bb", 3_000))).kind).to.equal(
                "unknown-job",
            );
        });

        it("denies another account's job", async () => {
            await advanceUntilSettled(jobApi.submit(call, request, 3_000));
            const other = { ...call, clientAccount: "caroni" };
            expect((await advanceUntilSettled(jobApi.state(other, request.id, 3_000))).kind).to.equal(
                "denied",
            );
            expect((await advanceUntilSettled(jobApi.cancel(other, request.id, 3_000))).kind).to.equal(
                "denied",
            );
        });
    });

    describe("with a cancellation", () => {
        it("stores it and shows the job as cancelled", async () => {
            await advanceUntilSettled(jobApi.submit(call, request, 3_000));
            expect((await advanceUntilSettled(jobApi.cancel(call, request.id, 3_000))).kind).to.equal(
                "cancelled",
            );
            expect(await advanceUntilSettled(jobApi.state(call, request.id, 3_000))).to.deep.equal({
                kind: "state",
                state: "cancelled",
            });
        });

        it("refuses a submission that arrives after its cancellation", async () => {
            expect((await advanceUntilSettled(jobApi.cancel(call, request.id, 3_000))).kind).to.equal(
                "unknown-job",
            );
            const reply = await advanceUntilSettled(jobApi.submit(call, request, 3_000));
            expect(reply).to.include({ kind: "refused", reason: "cancelled" });
        });

        it("confirms a repeated cancellation", async () => {
            await advanceUntilSettled(jobApi.submit(call, request, 3_000));
            await advanceUntilSettled(jobApi.cancel(call, request.id, 3_000));
            expect((await advanceUntilSettled(jobApi.cancel(call, request.id, 3_000))).kind).to.equal(
                "cancelled",
            );
        });
    });

    describe("with a query for the number of waiting jobs", () => {
        it("counts the queue's accepted jobs that have not started", async () => {
            const change = (part: "definition" | "progress", value: string, revision: number): void =>
                task.send({ kind: "changed", change: { key: jobKey(request.id, part), value, revision } });
            const job = {
                ...request,
                queue: "quotes",
                service: "desk",
                terms: call.queue.terms,
                acceptedAtMs: 0,
            };
            task.send({ kind: "confirmed", atMs: clock.now() });
            change("definition", encodeContent("definition", job, "w"), 5);
            expect(await jobApi.waiting(call)).to.deep.equal({ kind: "waiting", count: 1 });
            change("progress", encodeContent("progress", { ...emptyProgress(), begun: true }, "w"), 6);
            expect(await jobApi.waiting(call)).to.deep.equal({ kind: "waiting", count: 0 });
        });
    });
});
