import { expect } from "chai";
import { Left } from "purify-ts/Either";
import type { Step } from "@tanagerdeck/decisions/job/jobTypes";
import { GROUPS_PER_PART } from "@tanagerdeck/decisions/plan/progressSlots";
import { leaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import { scheduleRound } from "@tanagerdeck/decisions/schedule/schedulingRound";
import { failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import {
    runKey,
    type EndedTask,
    type RunningTask,
    type StartOrder,
} from "@tanagerdeck/decisions/worker/workerReport";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import { noopSchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import type { Task } from "@tanagerdeck/runtime/task/task";
import { createMemoryStore, type MemoryStore } from "@tanagerdeck/standins/keyvalue/memoryStore";
import { descriptionOf, jobOf, reportOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import type { Transaction } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { listForPlanner } from "@tanagerdeck/store/replica/plannerListing";
import { decodeContent, encodeContent } from "@tanagerdeck/store/replica/storedValueCodec";
import {
    agentKey,
    jobKey,
    LEADER_KEY,
    progressPartKey,
    PROGRESS_PARTS_PREFIX,
    ROOT_PREFIX,
} from "@tanagerdeck/store/replica/storeKeys";
import { startPlannerTask } from "./plannerTask.ts";
import type { PlannerMessage } from "./plannerTypes.ts";

/** Guards against a large job whose progress the store refuses, or whose every change writes all of it again. */
describe("the progress of a job of many tasks", () => {
    /** Limits of the platform's store. */
    const MAX_VALUE_BYTES = 1_048_576;
    const MAX_ENTRIES = 32;
    const KEEP_MS = 60_000;
    let clock: ManualClock;
    let store: MemoryStore;
    let planner: Task<PlannerMessage>;
    let writes: number;
    let writtenBytes: number;
    let largestValue: number;
    let largestTransaction: number;
    /** Removing transactions that the store still takes. */
    let removals: number;
    /** The tasks that the worker runs, and those that have ended, by run. */
    let running: Map<string, RunningTask>;
    let ended: EndedTask[];
    let starts: string[];
    let known: Set<string>;

    beforeEach(() => {
        clock = createManualClock();
        store = createMemoryStore(clock);
        writes = 0;
        writtenBytes = 0;
        largestValue = 0;
        largestTransaction = 0;
        removals = Infinity;
        running = new Map();
        ended = [];
        starts = [];
        known = new Set();
        const address = { name: "a", address: "h:1", availabilityZone: "z", incarnation: "n" };
        store.write(agentKey("a"), encodeContent("registration", address, "w"));
    });

    afterEach(() => planner.stop());

    function measure({ expected, puts, removes }: Transaction): void {
        largestTransaction = Math.max(largestTransaction, expected.length + puts.length + removes.length);
        for (const { value } of puts) {
            writtenBytes += value.length;
            largestValue = Math.max(largestValue, value.length);
        }
    }

    function accept(id: string, step: Partial<Step>): void {
        const small = { cpuMillis: 1, memoryMb: 1, gpus: 0 };
        const job = jobOf(id, [stepOf({ resources: small, ...step })]);
        store.write(jobKey(id, "definition"), encodeContent("definition", job, `w-${id}`));
    }

    function applyStarts(orders: StartOrder[]): void {
        for (const { task, run } of orders) {
            const key = runKey({ task, run });
            if (!known.has(key)) {
                known.add(key);
                starts.push(key);
                running.set(key, { task, run, percent: 1 });
            }
        }
    }

    async function startLeader(): Promise<void> {
        const term = store.write(LEADER_KEY, "leader");
        planner = startPlannerTask({
            term,
            formerTerm: undefined,
            times: leaseTimes(6_000),
            clock,
            log: noopLog,
            metrics: noopSchedulerMetrics,
            newWriteId: () => `write-${writes++}`,
            list: () => listForPlanner(store),
            commit(transaction) {
                measure(transaction);
                if (transaction.removes.length > 0 && removals-- <= 0) {
                    return Promise.resolve(Left(failure("not-run", "platform-unavailable", "refused")));
                }
                return store.commit(transaction);
            },
            sessions: {
                open() {},
                grants() {},
                withhold: () => Promise.resolve(),
                release() {},
                order: (_agent, orders) => applyStarts(orders.starts),
            },
            schedule: scheduleRound,
            termEnded() {},
            farFactor: 3,
            keepMs: KEEP_MS,
        });
        await clock.advance(50);
        report();
        await clock.advance(50);
    }

    function report(): void {
        const lists = { running: [...running.values()], ended };
        planner.send({ kind: "report", agent: "a", report: reportOf(descriptionOf("a"), lists) });
    }

    /** The worker runs what it was told for one round, and ends all of it. */
    async function playRound(): Promise<void> {
        report();
        await clock.advance(120);
        for (const { task, run } of running.values()) {
            ended.push({ task, run, end: "done", number: ended.length + 1 });
        }
        running.clear();
        report();
        await clock.advance(120);
    }

    function stateOf(id: string) {
        const value = store.item(jobKey(id, "progress"))?.value;
        return value === undefined ? undefined : decodeContent("progress", value);
    }

    /** Plays a job to its end and returns the bytes that were written for it. */
    async function playJob(count: number): Promise<number> {
        accept("large", { count });
        await startLeader();
        for (let round = 0; round < 100 && stateOf("large")?.final === undefined; round++) {
            await playRound();
        }
        expect(stateOf("large")?.final).to.equal("completed");
        expect(starts).to.have.length(count);
        return writtenBytes;
    }

    it("is written in values and transactions that the store takes, at a cost linear in its size", async () => {
        const small = await playJob(1_000);
        await planner.stop();
        store = createMemoryStore(clock);
        const address = { name: "a", address: "h:1", availabilityZone: "z", incarnation: "n" };
        store.write(agentKey("a"), encodeContent("registration", address, "w"));
        [running, ended, starts, known, writtenBytes] = [new Map(), [], [], new Set(), 0];
        const large = await playJob(4_000);
        expect(large / small).to.be.below(5);
        expect(largestValue).to.be.below(MAX_VALUE_BYTES);
        expect(largestTransaction).to.be.at.most(MAX_ENTRIES);
    }).timeout(60_000);

    it("fits into the store's values while thousands of tasks run", async () => {
        accept("large", { count: 8_000 });
        await startLeader();
        for (let round = 0; round < 40; round++) {
            report();
            await clock.advance(200);
        }
        expect(starts).to.have.length(8_000);
        expect(largestValue).to.be.below(MAX_VALUE_BYTES);
    }).timeout(60_000);

    it("is not read by the entries, whose answers need the state of the job only", async () => {
        accept("large", { count: 1_000 });
        await startLeader();
        await playRound();
        expect(stateOf("large")).to.deep.equal({ begun: true, layout: "parts" });
        const watched = (await store.page(ROOT_PREFIX, undefined, false)).unsafeCoerce().items;
        expect(watched.map(item => item.key).filter(key => key.includes("large"))).to.have.length(2);
    });

    describe("when another leader takes over", () => {
        it("starts no task again that runs or has ended", async () => {
            accept("large", { count: 1_000 });
            await startLeader();
            await playRound();
            report();
            await clock.advance(200);
            expect(running.size).to.be.above(0);
            await planner.stop();
            await startLeader();
            for (let round = 0; round < 10; round++) {
                await playRound();
            }
            expect(stateOf("large")?.final).to.equal("completed");
            expect(new Set(starts.map(key => key.split("#")[0])).size).to.equal(1_000);
            expect(starts).to.have.length(1_000);
        });

        it("leaves the job alone if a part cannot be decoded", async () => {
            accept("large", { count: 1_000 });
            await startLeader();
            await playRound();
            await planner.stop();
            store.write(progressPartKey("large", 0), '{"write":"w","content":{}}');
            accept("other", { count: 1 });
            const before = starts.length;
            await startLeader();
            await clock.advance(1_000);
            expect(starts.slice(before)).to.deep.equal(["other.0.0.0#1"]);
        });
    });

    describe("when another writer has changed a part", () => {
        it("takes over that part and still records the others before it starts their tasks", async () => {
            accept("large", { count: 300 });
            await startLeader();
            const { value } = store.item(progressPartKey("large", 0))!;
            store.write(progressPartKey("large", 0), value.replace("write-", "other-"));
            for (let round = 0; round < 20; round++) {
                await playRound();
            }
            expect(stateOf("large")?.final).to.equal("completed");
            expect(starts).to.have.length(300);
        });
    });

    it("is removed with the job, in transactions that the store takes", async () => {
        await playJob(10_000);
        await clock.advance(KEEP_MS + 2_000);
        const left = (await store.page("tanagerdeck", undefined, false)).unsafeCoerce().items;
        expect(left.map(item => item.key)).to.have.members([agentKey("a"), LEADER_KEY]);
        expect(left.filter(item => item.key.startsWith(PROGRESS_PARTS_PREFIX))).to.deep.equal([]);
        expect(largestTransaction).to.be.at.most(MAX_ENTRIES);
    }).timeout(60_000);

    // Guards against a definition that outlives its progress: the next leader would run the job again.
    it("does not end before the definition when the removal stops half-way", async () => {
        removals = 1;
        await playJob(29 * GROUPS_PER_PART);
        await clock.advance(KEEP_MS + 2_000);
        expect(store.item(jobKey("large", "definition"))).to.not.equal(undefined);
        expect(stateOf("large")?.final).to.equal("completed");
    }).timeout(60_000);
});
