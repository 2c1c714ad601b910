import { expect } from "chai";
import { closedAfterMs, leaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import { scheduleRound } from "@tanagerdeck/decisions/schedule/schedulingRound";
import type { RunningTask } from "@tanagerdeck/decisions/worker/workerReport";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import { noopSchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import type { Reply, Task } from "@tanagerdeck/runtime/task/task";
import { createMemoryStore, type MemoryStore } from "@tanagerdeck/standins/keyvalue/memoryStore";
import { descriptionOf, jobOf, reportOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { listForPlanner } from "@tanagerdeck/store/replica/plannerListing";
import { decodeContent, encodeContent } from "@tanagerdeck/store/replica/storedValueCodec";
import { ABSENCES_KEY, agentKey, jobKey, LEADER_KEY } from "@tanagerdeck/store/replica/storeKeys";
import { startPlannerTask } from "./plannerTask.ts";
import type { PlannerMessage } from "./plannerTypes.ts";

const TIMES = leaseTimes(6_000);
/** A recorded age may be this old when the leader changes. */
const RECORD_INTERVAL_MS = 1_000;
/** Time for which an agent is silent before its absence is recorded. */
const ABSENT_AFTER_MS = 2_000;
const STEP_MS = 250;

describe("an agent that no longer reports", () => {
    let clock: ManualClock;
    let store: MemoryStore;
    let planner: Task<PlannerMessage>;
    /** Agents that report to the leader. */
    let present: Set<string>;
    let running: Map<string, RunningTask[]>;
    /** Agents without grants in the present term. */
    let withheld: Set<string>;
    /** Agents that were granted leases although the store named them as absent. */
    let wrongGrants: string[];
    /** Time of the latest report of agent "a". */
    let reportedAt: number;

    beforeEach(async () => {
        clock = createManualClock();
        store = createMemoryStore(clock);
        term = undefined;
        present = new Set(["a", "b"]);
        running = new Map([
            ["a", []],
            ["b", []],
        ]);
        wrongGrants = [];
        for (const name of present) {
            const address = { name, address: "h:1", availabilityZone: "z", incarnation: "n" };
            store.write(agentKey(name), encodeContent("registration", address, `w-${name}`));
        }
        store.write(jobKey("j", "definition"), encodeContent("definition", jobOf("j", [stepOf()]), "w-j"));
        await lead();
        await advance(2_000);
        // The worker on which the job runs is lost with its agent.
        const [lost] = [...running].find(([, tasks]) => tasks.length > 0)!;
        expect(lost).to.equal("a");
        present.delete("a");
        running.set("a", []);
    });

    afterEach(async () => {
        await planner.stop();
        expect(wrongGrants).to.deep.equal([]);
    });

    let terms = 0;
    /** Revision of the leader key of the latest term. */
    let term: number | undefined;

    /** Another process leads from now on; the one before has ended without a further call. */
    async function lead(): Promise<void> {
        terms += 1;
        const name = `write-${terms}`;
        let writes = 0;
        withheld = new Set();
        const ofTerm = withheld;
        const formerTerm = term;
        term = store.write(LEADER_KEY, `leader-${terms}`);
        planner = startPlannerTask({
            term,
            formerTerm,
            times: TIMES,
            clock,
            log: noopLog,
            metrics: noopSchedulerMetrics,
            newWriteId: () => `${name}-${writes++}`,
            list: () => listForPlanner(store),
            commit: transaction => store.commit(transaction),
            sessions: {
                open() {},
                grants() {},
                order(agent, { starts }) {
                    for (const { task, run } of starts) {
                        if (present.has(agent) && !running.get(agent)!.some(row => row.task === task)) {
                            running.get(agent)!.push({ task, run, percent: 0 });
                        }
                    }
                },
                withhold(agent) {
                    ofTerm.add(agent);
                    return Promise.resolve();
                },
                release: agent => ofTerm.delete(agent),
            },
            schedule: scheduleRound,
            termEnded() {},
            farFactor: 3,
            keepMs: 60_000,
        });
        await clock.advance(50);
    }

    async function changeLeader(): Promise<void> {
        await planner.ask((reply: Reply<void>) => ({ kind: "halt", reply }));
        await planner.stop();
        await lead();
    }

    function recordedAges(): Record<string, number> {
        const item = store.item(ABSENCES_KEY);
        return (item && decodeContent("absences", item.value)?.agents) ?? {};
    }

    /** The agents that are present report, and are granted leases unless their grants are withheld. */
    async function advance(ms: number): Promise<void> {
        for (const endsAt = clock.now() + ms; clock.now() < endsAt;) {
            for (const name of present) {
                const report = reportOf(descriptionOf(name), { running: running.get(name)! });
                if (!withheld.has(name) && recordedAges()[name] !== undefined) {
                    wrongGrants.push(name);
                }
                reportedAt = name === "a" ? clock.now() : reportedAt;
                planner.send({ kind: "report", agent: name, report });
            }
            await clock.advance(Math.min(STEP_MS, endsAt - clock.now()));
        }
    }

    /** Time from the last report until the job runs on the other worker. */
    async function restartedAfterMs(limitMs: number): Promise<number> {
        while (running.get("b")!.length === 0 && clock.now() - reportedAt < limitMs) {
            await advance(STEP_MS);
        }
        return clock.now() - reportedAt;
    }

    // Guards against work that waits again for as long as a lease may last when the leader changes after its worker was lost.
    describe("while the leader changes", () => {
        it("has its runs started elsewhere about as soon as under one leader", async () => {
            await advance(8_000);
            await changeLeader();
            expect(await restartedAfterMs(60_000)).to.be.within(
                closedAfterMs(TIMES),
                closedAfterMs(TIMES) + RECORD_INTERVAL_MS + 1_000,
            );
        });

        it("has its runs started elsewhere although no leader lasts for the whole wait", async () => {
            const changes = 6;
            await advance(ABSENT_AFTER_MS + 1_000);
            for (let change = 0; change < changes; change++) {
                await changeLeader();
                await advance(2_500);
            }
            const limitMs = closedAfterMs(TIMES) + changes * RECORD_INTERVAL_MS + 1_000;
            expect(await restartedAfterMs(60_000)).to.be.within(closedAfterMs(TIMES), limitMs);
        });

        it("loses only the time before its absence is recorded if the leader changes before", async () => {
            await advance(ABSENT_AFTER_MS - 500);
            await changeLeader();
            const limitMs = closedAfterMs(TIMES) + ABSENT_AFTER_MS + 1_000;
            expect(await restartedAfterMs(60_000)).to.be.below(limitMs);
        });
    });

    // Guards against runs that are closed while a lease that a leader without a record has granted keeps them running.
    it("is waited for anew after a term of an earlier release, which knows no record", async () => {
        await advance(8_000);
        term = store.write(LEADER_KEY, "leader of an earlier release");
        reportedAt = clock.now();
        await changeLeader();
        expect(await restartedAfterMs(60_000)).to.be.at.least(closedAfterMs(TIMES));
    });

    describe("and comes back", () => {
        // Guards against runs that are closed while a lease granted meanwhile keeps them running.
        it("is granted no lease before the store no longer names it", async () => {
            await advance(5_000);
            expect(recordedAges()).to.have.property("a");
            expect(withheld.has("a")).to.equal(true);
            store.faults.mode = "silent";
            present.add("a");
            await advance(2_000);
            expect(withheld.has("a")).to.equal(true);
            store.faults.mode = "none";
            await advance(3_000);
            expect(recordedAges()).to.deep.equal({});
            expect(withheld.has("a")).to.equal(false);
        });

        it("is granted none by the next leader either, until that one has recorded its return", async () => {
            await advance(5_000);
            await changeLeader();
            expect(withheld.has("a")).to.equal(true);
            present.add("a");
            await advance(1_000);
            expect(recordedAges()).to.deep.equal({});
            expect(withheld.has("a")).to.equal(false);
        });

        it("is waited for anew when it is lost again", async () => {
            await advance(5_000);
            present.add("a");
            running.set("a", [{ task: "j.0.0.0", run: 1, percent: 1 }]);
            await advance(1_000);
            present.delete("a");
            await advance(3_000);
            await changeLeader();
            expect(await restartedAfterMs(60_000)).to.be.at.least(closedAfterMs(TIMES));
        });
    });

    it("costs one write a second until its runs are closed, and none when it had none", async () => {
        const before = store.calls.get("commit") ?? 0;
        await advance(30_000);
        const seconds = closedAfterMs(TIMES) / 1_000;
        expect((store.calls.get("commit") ?? 0) - before).to.be.below(seconds + 8);
        const settled = store.calls.get("commit") ?? 0;
        await advance(5_000);
        expect(store.calls.get("commit")).to.equal(settled);
    });

    it("does not keep a leader from planning if the record cannot be decoded", async () => {
        store.write(ABSENCES_KEY, '{"write":"w","content":{"agents":7}}');
        await changeLeader();
        expect(await restartedAfterMs(60_000)).to.be.below(closedAfterMs(TIMES) + 2_000);
    });
});
