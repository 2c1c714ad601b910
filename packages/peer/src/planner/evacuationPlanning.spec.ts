import { expect } from "chai";
import { leaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import { scheduleRound } from "@tanagerdeck/decisions/schedule/schedulingRound";
import type { StartOrder, SyncReport } from "@tanagerdeck/decisions/worker/workerReport";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog, type Log } from "@tanagerdeck/runtime/log/log";
import { noopSchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import type { Task } from "@tanagerdeck/runtime/task/task";
import { createMemoryStore, type MemoryStore } from "@tanagerdeck/standins/keyvalue/memoryStore";
import { descriptionOf, jobOf, reportOf, resourcesOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { listAll } from "@tanagerdeck/store/keyvalue/listing";
import { decodeContent, encodeContent } from "@tanagerdeck/store/replica/storedValueCodec";
import { agentKey, jobKey, LEADER_KEY, ROOT_PREFIX } from "@tanagerdeck/store/replica/storeKeys";
import type { AgentOrders } from "../session/sessionTask.ts";
import { startPlannerTask } from "./plannerTask.ts";
import type { PlannerMessage } from "./plannerTypes.ts";

describe("the planner of a deployment with evacuations", () => {
    /** Availability zones of the agents. */
    const ZONES: Record<string, string> = { a: "za", b: "zb" };
    const WAITING = "A group waits while zones are evacuated.";
    let clock: ManualClock;
    let store: MemoryStore;
    let planner: Task<PlannerMessage> | undefined;
    let orders: Map<string, AgentOrders>;
    let lines: { message: string; fields: Record<string, unknown> }[];
    let evacuatedTasks: number;
    let areStartsHeld: boolean;

    beforeEach(() => {
        clock = createManualClock();
        store = createMemoryStore(clock);
        orders = new Map();
        lines = [];
        evacuatedTasks = -1;
        areStartsHeld = false;
        for (const name of Object.keys(ZONES)) {
            const address = { name, address: "h:1", availabilityZone: ZONES[name]!, incarnation: "n" };
            store.write(agentKey(name), encodeContent("registration", address, `w-${name}`));
        }
    });

    afterEach(() => planner?.stop());

    function accept(id: string, changes = {}): void {
        const job = jobOf(id, [stepOf(changes)], {
            terms: { priority: 1, attempts: 1, stretch: 2, latencyTargetMs: 60_000 },
        });
        store.write(jobKey(id, "definition"), encodeContent("definition", job, `w-${id}`));
    }

    async function lead(followsEvacuations = true): Promise<void> {
        await planner?.stop();
        orders.clear();
        const term = store.write(LEADER_KEY, `leader at ${clock.now()}`);
        let writes = 0;
        const log: Log = {
            ...noopLog,
            info: (message, fields = {}) => lines.push({ message, fields }),
        };
        planner = startPlannerTask({
            term,
            formerTerm: undefined,
            times: leaseTimes(6_000),
            clock,
            log,
            metrics: { ...noopSchedulerMetrics, tasksInEvacuatedZones: count => (evacuatedTasks = count) },
            newWriteId: () => `write-${term}-${writes++}`,
            list: () => listAll(store, ROOT_PREFIX),
            commit: transaction => store.commit(transaction),
            sessions: {
                open() {},
                grants() {},
                withhold: () => Promise.resolve(),
                release() {},
                order: (agent, agentOrders) => orders.set(agent, agentOrders),
            },
            schedule: scheduleRound,
            termEnded() {},
            farFactor: 3,
            followsEvacuations,
            areStartsHeld: () => areStartsHeld,
            keepMs: 60_000,
        });
        await clock.advance(50);
    }

    /** Sends a report of each agent, with the given lists. */
    async function report(lists: Record<string, Partial<SyncReport>> = {}): Promise<void> {
        for (const [name, availabilityZone] of Object.entries(ZONES)) {
            const worker = descriptionOf(name, { availabilityZone });
            planner!.send({ kind: "report", agent: name, report: reportOf(worker, lists[name] ?? {}) });
        }
        await clock.advance(200);
    }

    async function evacuate(...zones: string[]): Promise<void> {
        const revisions = new Map(zones.map(zone => [zone, 7]));
        planner!.send({ kind: "evacuations", view: { revisions } });
        await clock.advance(200);
    }

    function startsAt(agent: string): StartOrder[] {
        return orders.get(agent)?.starts ?? [];
    }

    function waitingLines(): string[] {
        return lines
            .filter(({ message }) => message === WAITING)
            .map(({ fields }) => `${String(fields["job"])}: ${String(fields["zones"])}`);
    }

    describe("in a term without a view", () => {
        // Guards against a new leader that starts work in a zone whose evacuation it has not read yet.
        it("plans nothing until the first view has come, even if that is empty", async () => {
            accept("job");
            await lead();
            await report();
            await clock.advance(1_000);
            await report();
            expect(startsAt("a").length + startsAt("b").length).to.equal(0);
            await evacuate();
            expect(startsAt("a").length + startsAt("b").length).to.equal(1);
        });

        it("plans at once if the deployment does not use evacuations", async () => {
            accept("job");
            await lead(false);
            await report();
            expect(startsAt("a").length + startsAt("b").length).to.equal(1);
        });
    });

    it("plans outside of the evacuated zone only", async () => {
        for (const id of ["one", "two", "three"]) {
            accept(id, { resources: resourcesOf(1, 4) });
        }
        await lead();
        await evacuate("za");
        await report();
        expect(startsAt("a")).to.deep.equal([]);
        expect(startsAt("b")).to.have.length(2);
    });

    describe("when a zone is evacuated between a placement and its start", () => {
        it("starts the task elsewhere once its stop is confirmed, without an attempt", async () => {
            accept("job");
            await lead();
            await evacuate("zb");
            await report();
            const [start] = startsAt("a");
            expect(start).to.include({ task: "job.0.0.0", run: 1 });
            const run = { task: "job.0.0.0", run: 1 };
            await evacuate("za");
            const refusal = { run, state: { kind: "refused" as const, reason: "evacuated" as const } };
            await report({ a: { starts: [refusal] } });
            expect(orders.get("a")!.starts).to.deep.equal([]);
            expect(orders.get("a")!.stops).to.have.length(1);
            expect(startsAt("b")).to.deep.equal([]);
            await report({ a: { stops: [{ run, state: { kind: "closed" } }] } });
            await report();
            expect(orders.get("a")!.stops).to.deep.equal([]);
            expect(startsAt("b")[0]).to.include({ task: "job.0.0.0", run: 2 });
            const progress = decodeContent("progress", store.item(jobKey("job", "progress"))!.value);
            expect(progress?.groups?.["0.0.0"]?.failures).to.equal(0);
            expect(progress?.final).to.equal(undefined);
        });

        it("is finished by the next leader if the leader ends in between", async () => {
            accept("job");
            await lead();
            await evacuate("zb");
            await report();
            const run = { task: "job.0.0.0", run: 1 };
            await evacuate("za");
            const refusal = { run, state: { kind: "refused" as const, reason: "evacuated" as const } };
            await report({ a: { starts: [refusal] } });
            await lead();
            await report();
            expect(startsAt("b")).to.deep.equal([]);
            await evacuate("za");
            await report();
            expect(orders.get("a")!.starts).to.deep.equal([]);
            expect(orders.get("a")!.stops).to.have.length(1);
            await report({ a: { stops: [{ run, state: { kind: "closed" } }] } });
            await report();
            expect(startsAt("b")[0]).to.include({ task: "job.0.0.0", run: 2 });
        });
    });

    it("leaves running tasks alone and counts them until the evacuation has ended", async () => {
        accept("job");
        await lead();
        await evacuate("zb");
        await report();
        const running = [{ task: "job.0.0.0", run: 1, percent: 5 }];
        await evacuate("za");
        await report({ a: { running } });
        expect(orders.get("a")).to.deep.include({ starts: [], stops: [] });
        expect(evacuatedTasks).to.equal(1);
        await evacuate();
        await report({ a: { running } });
        expect(evacuatedTasks).to.equal(0);
    });

    describe("while agents hold starts back, as the view is too old", () => {
        async function pass(ms: number): Promise<void> {
            for (const endsAt = clock.now() + ms; clock.now() < endsAt;) {
                await report();
            }
        }

        // Guards against sound workers that are quarantined because the store has not answered for some seconds.
        it("takes no worker for faulty, until a start is late after the view has been confirmed", async () => {
            accept("job");
            await lead();
            await evacuate("zb");
            areStartsHeld = true;
            await pass(6_000);
            expect(startsAt("a")[0]).to.include({ task: "job.0.0.0", run: 1 });
            areStartsHeld = false;
            await pass(1_600);
            expect(startsAt("a")[0]).to.include({ run: 1 });
            await pass(1_200);
            expect(orders.get("a")!.stops).to.have.length(1);
        });
    });

    describe("while groups wait", () => {
        it("logs each job once for each set of evacuated zones", async () => {
            accept("one");
            accept("two");
            await lead();
            await evacuate("za", "zb");
            await report();
            await report();
            expect(waitingLines().sort()).to.deep.equal(["one: za zb", "two: za zb"]);
            await evacuate("za");
            await report();
            accept("wide", { resources: resourcesOf(64, 8) });
            planner!.send({
                kind: "changed",
                change: { ...store.item(jobKey("wide", "definition"))! },
            });
            await report();
            await evacuate("za", "zb");
            await report();
            await evacuate("za");
            await report();
            expect(waitingLines().slice(2)).to.deep.equal(["wide: za", "wide: za zb"]);
        });

        it("does not name evacuated zones for a group that waits without them", async () => {
            accept("wide", { resources: resourcesOf(64, 9) });
            await lead();
            await evacuate();
            await report();
            expect(waitingLines()).to.deep.equal([]);
            await evacuate("zc");
            await report();
            expect(waitingLines()).to.deep.equal([]);
        });
    });
});
