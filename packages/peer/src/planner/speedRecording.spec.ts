import { expect } from "chai";
import { leaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import { scheduleRound, type RoundInput } from "@tanagerdeck/decisions/schedule/schedulingRound";
import type { WorkerDescription } from "@tanagerdeck/decisions/worker/workerReport";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog, type Log } from "@tanagerdeck/runtime/log/log";
import { noopSchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import type { Reply, Task } from "@tanagerdeck/runtime/task/task";
import { createMemoryStore, type MemoryStore } from "@tanagerdeck/standins/keyvalue/memoryStore";
import { bootOf, descriptionOf, jobOf, reportOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { listForPlanner } from "@tanagerdeck/store/replica/plannerListing";
import { decodeContent, encodeContent } from "@tanagerdeck/store/replica/storedValueCodec";
import { agentKey, jobKey, LEADER_KEY, SPEEDS_KEY } from "@tanagerdeck/store/replica/storeKeys";
import { startPlannerTask } from "./plannerTask.ts";
import type { PlannerMessage } from "./plannerTypes.ts";

describe("the learned speeds of workers", () => {
    /** Time of a task on a worker of normal speed. */
    const RUN_MS = 2_000;
    const NAMES = ["a", "b", "c", "d"];
    const STEP_MS = 100;
    let clock: ManualClock;
    let store: MemoryStore;
    let planner: Task<PlannerMessage>;
    let descriptions: Map<string, WorkerDescription>;
    /** Runs by worker, with the times of their starts. */
    let runs: Map<string, Map<string, { run: number; startedAt: number }>>;
    let lines: { message: string; fields: Record<string, unknown> }[];
    let speeds: Record<string, number>;
    let lastInput: RoundInput | undefined;
    let terms: number;
    let speedOfA: number;
    let writes: number;

    beforeEach(async () => {
        clock = createManualClock();
        store = createMemoryStore(clock);
        descriptions = new Map(NAMES.map(name => [name, descriptionOf(name)]));
        runs = new Map(NAMES.map(name => [name, new Map()]));
        lines = [];
        terms = 0;
        speedOfA = 0.5;
        writes = 0;
        for (const name of NAMES) {
            const address = { name, address: "h:1", availabilityZone: "z", incarnation: "n" };
            store.write(agentKey(name), encodeContent("registration", address, `w-${name}`));
        }
    });

    afterEach(() => planner.stop());

    async function lead(): Promise<void> {
        terms += 1;
        const name = `write-${terms}`;
        const note = (message: string, fields: Record<string, unknown> = {}) =>
            lines.push({ message, fields });
        const log: Log = { ...noopLog, info: note, error: note };
        planner = startPlannerTask({
            term: store.write(LEADER_KEY, `leader-${terms}`),
            formerTerm: undefined,
            times: leaseTimes(6_000),
            clock,
            log,
            metrics: {
                ...noopSchedulerMetrics,
                workerSpeeds(counts) {
                    speeds = counts;
                },
            },
            newWriteId: () => `${name}-${writes++}`,
            list: () => listForPlanner(store),
            commit: transaction => store.commit(transaction),
            sessions: {
                open() {},
                grants() {},
                withhold: () => Promise.resolve(),
                release() {},
                order(agent, { starts }) {
                    for (const { task, run } of starts) {
                        const known = runs.get(agent)!;
                        known.set(task, known.get(task) ?? { run, startedAt: clock.now() });
                    }
                },
            },
            schedule(input) {
                lastInput = input;
                return scheduleRound(input);
            },
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
        await advance(1_500);
    }

    /** A wide step that fills all workers. */
    function accept(id: string): void {
        const job = jobOf(id, [stepOf({ count: 32 })]);
        store.write(jobKey(id, "definition"), encodeContent("definition", job, `w-${id}`));
        planner.send({
            kind: "changed",
            change: {
                key: jobKey(id, "definition"),
                value: encodeContent("definition", job, `w-${id}`),
                revision: store.item(jobKey(id, "definition"))!.revision,
            },
        });
    }

    /** Reports the progress of all workers. */
    async function advance(ms: number): Promise<void> {
        for (const endsAt = clock.now() + ms; clock.now() < endsAt;) {
            for (const name of NAMES) {
                const speed = name === "a" ? speedOfA : 1;
                const running = [...runs.get(name)!].map(([task, { run, startedAt }]) => {
                    const percent = ((clock.now() - startedAt) * 100 * speed) / RUN_MS;
                    return { task, run, percent: Math.min(99, percent) };
                });
                planner.send({
                    kind: "report",
                    agent: name,
                    report: reportOf(descriptions.get(name), { running }),
                });
            }
            await clock.advance(STEP_MS);
        }
    }

    async function learn(): Promise<void> {
        await lead();
        await advance(1_000);
        accept("wide");
        await advance(6_000);
    }

    function storedFactors(): Record<string, number> {
        const item = store.item(SPEEDS_KEY);
        const workers = (item && decodeContent("speeds", item.value)?.workers) ?? {};
        return Object.fromEntries(Object.entries(workers).map(([name, { factor }]) => [name, factor]));
    }

    function plannedSpeed(name: string): number | undefined {
        return lastInput?.workers.find(worker => worker.name === name)?.speed;
    }

    function messages(start: string): Record<string, unknown>[] {
        return lines.filter(({ message }) => message.startsWith(start)).map(({ fields }) => fields);
    }

    it("are recorded, logged and counted once they differ", async () => {
        await learn();
        expect(storedFactors().a).to.be.within(0.4, 0.7);
        expect(storedFactors().b).to.be.within(0.8, 1.25);
        expect(speeds).to.deep.equal({ slow: 1, normal: 3, fast: 0 });
        const known = messages("A worker's speed is known.");
        expect(known.map(({ worker }) => worker)).to.deep.equal(["a"]);
    });

    it("cost no write while they stay the same", async () => {
        await learn();
        const { revision } = store.item(SPEEDS_KEY)!;
        await advance(12_000);
        expect(store.item(SPEEDS_KEY)!.revision).to.equal(revision);
    });

    it("are not recorded where workers are alike", async () => {
        speedOfA = 1;
        await learn();
        expect(runs.get("a")!.size).to.be.above(0);
        expect(store.item(SPEEDS_KEY)).to.equal(undefined);
        expect(speeds).to.deep.equal({ slow: 0, normal: 4, fast: 0 });
        expect(messages("A worker's speed is known.")).to.have.length(0);
    });

    it("are used by the next leader", async () => {
        await learn();
        const learned = plannedSpeed("a");
        runs = new Map(NAMES.map(name => [name, new Map()]));
        await changeLeader();
        expect(plannedSpeed("a")).to.be.closeTo(learned!, 0.05);
        expect(plannedSpeed("b")).to.equal(1);
    });

    it("do not hold for a worker that has been rebooted", async () => {
        await learn();
        descriptions.set("a", descriptionOf("a", { boot: bootOf("next", 2_000) }));
        runs.set("a", new Map());
        await changeLeader();
        expect(plannedSpeed("a")).to.equal(1);
    });

    for (const value of ["not JSON", '{"write":"w","content":{"workers":{"a":{"factor":-1}}}}']) {
        it(`are ignored, logged and written anew if the stored value is malformed: ${value}`, async () => {
            store.write(SPEEDS_KEY, value);
            await learn();
            expect(messages("The stored speeds cannot be decoded; they are ignored.")).to.have.length(1);
            expect(storedFactors().a).to.be.within(0.4, 0.7);
        });
    }
});
