import { expect } from "chai";
import { leaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import { scheduleRound } from "@tanagerdeck/decisions/schedule/schedulingRound";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import { noopSchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import type { Task } from "@tanagerdeck/runtime/task/task";
import { createMemoryStore, type MemoryStore } from "@tanagerdeck/standins/keyvalue/memoryStore";
import { descriptionOf, jobOf, reportOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { listAll } from "@tanagerdeck/store/keyvalue/listing";
import { encodeContent } from "@tanagerdeck/store/replica/storedValueCodec";
import { agentKey, jobKey, LEADER_KEY, ROOT_PREFIX } from "@tanagerdeck/store/replica/storeKeys";
import { startPlannerTask } from "./plannerTask.ts";
import type { PlannerMessage } from "./plannerTypes.ts";

describe("the planner", () => {
    const KEEP_MS = 60_000;
    let clock: ManualClock;
    let store: MemoryStore;
    let planner: Task<PlannerMessage> | undefined;
    let started: Set<string>;
    let addresses: Map<string, string>;
    let errors: string[];
    let writes: number;
    let wallOffsetMs: number;

    beforeEach(() => {
        clock = createManualClock();
        store = createMemoryStore(clock);
        planner = undefined;
        started = new Set();
        addresses = new Map();
        errors = [];
        writes = 0;
        wallOffsetMs = 0;
        const address = { name: "a", address: "h:1", availabilityZone: "z", incarnation: "n" };
        store.write(agentKey("a"), encodeContent("registration", address, "w"));
    });

    afterEach(() => planner?.stop());

    function accept(id: string): void {
        store.write(jobKey(id, "definition"), encodeContent("definition", jobOf(id, [stepOf()]), `w-${id}`));
    }

    async function start(): Promise<void> {
        const log: Log = { ...noopLog, error: message => errors.push(message) };
        const term = store.write(LEADER_KEY, "leader");
        planner = startPlannerTask({
            term,
            formerTerm: undefined,
            times: leaseTimes(6_000),
            clock: { ...clock, wall: () => clock.wall() + wallOffsetMs },
            log,
            metrics: noopSchedulerMetrics,
            newWriteId: () => `write-${writes++}`,
            list: () => listAll(store, ROOT_PREFIX),
            commit: transaction => store.commit(transaction),
            sessions: {
                open(agent, address) {
                    addresses.set(agent, address);
                },
                grants() {},
                withhold: () => Promise.resolve(),
                release() {},
                order(_agent, orders) {
                    for (const { task } of orders.starts) {
                        started.add(task);
                    }
                },
            },
            schedule: scheduleRound,
            termEnded() {},
            farFactor: 3,
            keepMs: KEEP_MS,
        });
        await clock.advance(50);
        planner.send({ kind: "report", agent: "a", report: reportOf(descriptionOf("a")) });
        await clock.advance(1_000);
    }

    describe("when the store holds malformed items of one job", () => {
        for (const value of ['{"write":"w","content":{}}', '{"write":"w","content":null}', "not JSON"]) {
            it(`plans all other jobs and leaves that one alone: ${value}`, async () => {
                accept("bad");
                store.write(jobKey("bad", "progress"), value);
                accept("good");
                await start();
                expect([...started]).to.deep.equal(["good.0.0.0"]);
                expect(store.item(jobKey("bad", "progress"))?.value).to.equal(value);
                expect(errors).to.deep.equal(["A stored item cannot be decoded; its job is left alone."]);
            });
        }

        // Guards against a RangeError when the progress is written again, which ended every scheduling round.
        it("plans all other jobs if progress is nested too deeply to be written again", async () => {
            const deep = "[".repeat(20_000) + "]".repeat(20_000);
            const odd = `{"write":"w","content":{"begun":false,"groups":{},"odd":${deep}}}`;
            accept("bad");
            store.write(jobKey("bad", "progress"), odd);
            accept("good");
            await start();
            expect([...started]).to.deep.equal(["good.0.0.0"]);
            expect(errors).to.deep.equal(["A stored item cannot be decoded; its job is left alone."]);
        });

        it("plans all other jobs if a definition cannot be decoded", async () => {
            store.write(jobKey("bad", "definition"), '{"write":"w","content":{"id":"bad"}}');
            accept("good");
            await start();
            expect([...started]).to.deep.equal(["good.0.0.0"]);
        });
    });

    describe("when another writer registers an agent under a foreign name", () => {
        // Guards against an odd entry that diverts the leader's calls from an agent.
        it("keeps the address that the agent itself has registered", async () => {
            const odd = { name: "a", address: "other:1", availabilityZone: "z", incarnation: "o" };
            store.write(agentKey("z"), encodeContent("registration", odd, "w"));
            await start();
            expect(addresses.get("a")).to.equal("h:1");
            const { key, value, revision } = store.item(agentKey("z"))!;
            planner!.send({ kind: "changed", change: { key, value, revision } });
            await clock.advance(100);
            expect(addresses.get("a")).to.equal("h:1");
        });
    });

    describe("when a conflict shows another writer's progress and a cancellation", () => {
        it("keeps the cancellation, so that no task starts and the job is not written twice", async () => {
            await start();
            accept("j");
            const progress = { begun: false, groups: {} };
            store.write(jobKey("j", "progress"), encodeContent("progress", progress, "other"));
            store.write(jobKey("j", "cancel"), encodeContent("cancel", { atMs: 1 }, "c"));
            const { key, value, revision } = store.item(jobKey("j", "definition"))!;
            planner!.send({ kind: "changed", change: { key, value, revision } });
            await clock.advance(2_000);
            expect(started.size).to.equal(0);
            // One write that conflicts, one that records the cancelled state.
            expect(writes).to.equal(2);
        });
    });

    describe("when the wall clock jumps ahead", () => {
        // Guards against a job that is unknown to its caller before the promised time after its end.
        it("keeps an ended job for as long as without the jump", async () => {
            accept("j");
            const progress = {
                begun: true,
                groups: {},
                final: "completed" as const,
                endedAtMs: clock.wall(),
            };
            store.write(jobKey("j", "progress"), encodeContent("progress", progress, "w"));
            await start();
            wallOffsetMs = KEEP_MS + 1_000;
            await clock.advance(2_000);
            expect(store.item(jobKey("j", "definition"))).to.not.equal(undefined);
            await clock.advance(KEEP_MS);
            expect(store.item(jobKey("j", "definition"))).to.equal(undefined);
        });
    });

    describe("when malformed progress appears while it plans", () => {
        it("records the other jobs of the same write, and does not repeat the conflicting one", async () => {
            await start();
            store.write(jobKey("bad", "progress"), '{"write":"w","content":{}}');
            for (const id of ["bad", "good"]) {
                accept(id);
                const { key, value, revision } = store.item(jobKey(id, "definition"))!;
                planner!.send({ kind: "changed", change: { key, value, revision } });
            }
            await clock.advance(2_000);
            expect([...started]).to.deep.equal(["good.0.0.0"]);
            expect(writes).to.be.below(10);
            expect(errors).to.have.length(1);
        });
    });
});
