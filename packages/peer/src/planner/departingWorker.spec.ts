import { expect } from "chai";
import { leaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import { scheduleRound } from "@tanagerdeck/decisions/schedule/schedulingRound";
import type { StartOrder, StopOrder, SyncReport } from "@tanagerdeck/decisions/worker/workerReport";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import { noopSchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import type { Reply, Task } from "@tanagerdeck/runtime/task/task";
import { createMemoryStore, type MemoryStore } from "@tanagerdeck/standins/keyvalue/memoryStore";
import { descriptionOf, jobOf, reportOf, resourcesOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { listForPlanner } from "@tanagerdeck/store/replica/plannerListing";
import { encodeContent } from "@tanagerdeck/store/replica/storedValueCodec";
import { agentKey, jobKey, LEADER_KEY } from "@tanagerdeck/store/replica/storeKeys";
import { startPlannerTask } from "./plannerTask.ts";
import type { PlannerMessage } from "./plannerTypes.ts";

/** Interval of the reports. */
const STEP_MS = 50;
/** The worker that the job runs on at first, and the one with room for it. */
const [LEAVING, OTHER] = ["a", "b"] as const;

describe("a job on a worker that announces its departure", () => {
    let clock: ManualClock;
    let store: MemoryStore;
    let planner: Task<PlannerMessage>;
    let leavesAt: number | undefined;
    let moves: number;
    /** Starts and stops that the agents were ordered, each once. */
    let starts: Map<string, StartOrder & { agent: string }>;
    let stops: Map<string, StopOrder & { agent: string }>;
    /** Whether the agents have confirmed the stops. */
    let areStopped: boolean;
    let writes: number;

    beforeEach(async () => {
        clock = createManualClock();
        store = createMemoryStore(clock);
        leavesAt = undefined;
        moves = 0;
        starts = new Map();
        stops = new Map();
        areStopped = false;
        writes = 0;
        for (const name of [LEAVING, OTHER]) {
            const address = { name, address: "h:1", availabilityZone: "z", incarnation: "n" };
            store.write(agentKey(name), encodeContent("registration", address, `w-${name}`));
        }
        const step = stepOf({ resources: resourcesOf(64, 8), estimateMs: 20_000, checkpointing: true });
        store.write(jobKey("j", "definition"), encodeContent("definition", jobOf("j", [step]), "w-j"));
        await lead();
        await advance(2_000);
        expect([...starts.values()].map(({ agent }) => agent)).to.deep.equal([LEAVING]);
        leavesAt = clock.now() + 1_600;
    });

    afterEach(() => planner.stop());

    async function lead(): Promise<void> {
        planner = startPlannerTask({
            term: store.write(LEADER_KEY, "leader"),
            formerTerm: undefined,
            times: leaseTimes(6_000),
            clock,
            log: noopLog,
            metrics: { ...noopSchedulerMetrics, groupMoved: () => (moves += 1) },
            newWriteId: () => `write-${writes++}`,
            list: () => listForPlanner(store),
            commit: transaction => store.commit(transaction),
            sessions: {
                open() {},
                grants() {},
                withhold: () => Promise.resolve(),
                release() {},
                order(agent, orders) {
                    for (const order of orders.starts) {
                        starts.set(`${agent} ${order.run}`, { ...order, agent });
                    }
                    for (const order of orders.stops) {
                        stops.set(`${agent} ${order.run}`, { ...order, agent });
                    }
                },
            },
            schedule: scheduleRound,
            termEnded() {},
            farFactor: 3,
            keepMs: 60_000,
        });
        await clock.advance(STEP_MS);
    }

    async function changeLeader(): Promise<void> {
        await planner.ask((reply: Reply<void>) => ({ kind: "halt", reply }));
        await planner.stop();
        await lead();
    }

    /** A report of the worker's tasks: those started there, ended by a stop with a checkpoint once it is carried out. */
    function reportFor(agent: string): SyncReport {
        const leaving = { condition: "draining" as const, remainingMs: (leavesAt ?? 0) - clock.now() };
        const isLeaving = agent === LEAVING && leavesAt !== undefined;
        const lists: Required<Pick<SyncReport, "running" | "ended">> = { running: [], ended: [] };
        for (const [key, { task, run, agent: at }] of starts) {
            if (at === agent && areStopped && stops.has(key)) {
                const number = lists.ended.length + 1;
                lists.ended.push({ task, run, number, end: "stopped", saved: "checkpoint" });
            } else if (at === agent) {
                lists.running.push({ task, run, percent: 20 });
            }
        }
        return reportOf(descriptionOf(agent, isLeaving ? leaving : {}), lists);
    }

    async function advance(ms: number): Promise<void> {
        for (const endsAt = clock.now() + ms; clock.now() < endsAt;) {
            for (const agent of [LEAVING, OTHER]) {
                planner.send({ kind: "report", agent, report: reportFor(agent) });
            }
            await clock.advance(STEP_MS);
        }
    }

    function expectOneRestart(): void {
        expect([...stops.values()].map(({ agent, run }) => ({ agent, run }))).to.deep.equal([
            { agent: LEAVING, run: 1 },
        ]);
        expect([...starts.values()].map(({ agent, run, saved }) => ({ agent, run, saved }))).to.deep.equal([
            { agent: LEAVING, run: 1, saved: undefined },
            { agent: OTHER, run: 2, saved: "checkpoint" },
        ]);
    }

    it("is stopped at once, and restarts elsewhere from its checkpoint before the worker leaves", async () => {
        await advance(400);
        expect(moves).to.equal(1);
        expect(stops.size).to.equal(1);
        expect(starts.size).to.equal(1);
        areStopped = true;
        await advance(400);
        expectOneRestart();
        expect(clock.now()).to.be.below(leavesAt!);
    });

    // Guards against a group that is forgotten, started twice or started without its checkpoint.
    describe("while the leader changes between the stop and the new start", () => {
        it("restarts once from its checkpoint if the store has its run as closing", async () => {
            await advance(400);
            expect(store.item(jobKey("j", "progress"))?.value).to.contain("closing");
            await changeLeader();
            await advance(200);
            areStopped = true;
            await advance(600);
            expectOneRestart();
            expect(moves).to.equal(1);
        });

        it("is moved once more if the store does not have its run as closing", async () => {
            store.faults.mode = "silent";
            await advance(400);
            expect(moves).to.equal(1);
            store.faults.mode = "none";
            await changeLeader();
            expect(store.item(jobKey("j", "progress"))?.value).to.not.contain("closing");
            await advance(200);
            expect(moves).to.equal(2);
            areStopped = true;
            await advance(600);
            expectOneRestart();
        });

        it("restarts once from its checkpoint if the stop was carried out meanwhile", async () => {
            store.faults.mode = "silent";
            await advance(400);
            areStopped = true;
            store.faults.mode = "none";
            await changeLeader();
            await advance(600);
            expectOneRestart();
            expect(moves).to.equal(1);
        });
    });
});
