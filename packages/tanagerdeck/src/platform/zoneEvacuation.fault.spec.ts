import { expect } from "chai";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { parseTaskName } from "@tanagerdeck/decisions/job/taskGroups";
import { submitJob, type CallerJob } from "@tanagerdeck/standins/emulator/emulatedCaller";
import {
    EVACUATION_LIMIT_MS,
    startEmulatedDeployment,
} from "@tanagerdeck/standins/emulator/emulatedDeployment";
import type { EmulatedDeployment, EmulatedEntry } from "@tanagerdeck/standins/emulator/emulatorTypes";
import {
    createInvariantChecker,
    type InvariantChecker,
} from "@tanagerdeck/standins/emulator/invariantChecker";
import { pollUntil } from "@tanagerdeck/standins/polling/pollUntil";
import { bundlePrograms } from "@tanagerdeck/standins/processes/programBundle";
import { jobKey, LEADER_KEY } from "@tanagerdeck/store/replica/storeKeys";

/**
 * Evacuates a zone of a deployment of processes while something else fails, and guards against tasks that start in the
 * zone after the bound, jobs that are lost over an evacuation, and a zone that stays idle after its end. In every case
 * callers submit jobs for either zone throughout, so that a process that does not know of the evacuation starts one.
 */
describe("the evacuation of a zone", function () {
    this.timeout(90_000);
    const EVACUATED_ZONE = "zone-1";
    /** Racks of the workers, which a job requires as a label to run in one zone only. */
    const EVACUATED_RACK = "r1-1";
    const OTHER_RACK = "r2-1";
    const PROBE_INTERVAL_MS = 250;
    /** Time after the bound for which starts are still watched; covers what follows the delivery of a held-up order. */
    const WATCHED_AFTER_LIMIT_MS = 4_000;
    /** Time of a held-up order; it passes the bound and stays below the grant of 10 s, within which agents start tasks. */
    const HOLD_MS = EVACUATION_LIMIT_MS + 500;
    /** Time from a zone's restoration until all jobs that waited for it are done; covers a failover and their runs. */
    const CATCH_UP_LIMIT_MS = 20_000;
    let programs: string;
    let deployment: EmulatedDeployment;
    let checker: InvariantChecker;
    let jobs: Map<string, CallerJob>;
    /** Ids of the jobs of which a task has started after the bound. */
    let startedAfterLimit: string[];
    let evacuatedAtMs: number;

    before(async () => {
        programs = mkdtempSync(join(tmpdir(), "tanagerdeck-programs-"));
        await bundlePrograms(programs);
    });

    after(() => rmSync(programs, { recursive: true, force: true }));

    beforeEach(async () => {
        jobs = new Map();
        startedAfterLimit = [];
        evacuatedAtMs = Infinity;
        checker = createInvariantChecker(job => jobs.has(job));
        deployment = await startEmulatedDeployment(
            {
                programs,
                entries: 2,
                workers: 4,
                workersPerRack: 2,
                zoneSizes: [2, 2],
                longestHoldMs: 6_000,
                stopDurationMs: 200,
                gangTimeoutMs: 3_000,
                heartbeatIntervalMs: 500,
                followsEvacuations: true,
            },
            event => {
                checker.observe(event);
                if (event.kind === "started" && event.atMs - evacuatedAtMs > EVACUATION_LIMIT_MS) {
                    startedAfterLimit.push(parseTaskName(event.task)?.job ?? "");
                }
            },
        );
        for (const rack of [EVACUATED_RACK, OTHER_RACK]) {
            const job = jobFor(rack);
            await submit(deployment.entries[0]!, job);
            await pollUntil(() => isDone(job), 10_000);
        }
    });

    afterEach(() => deployment.stop());

    it("fault: none: no start after the bound, and none is lost", async () => {
        evacuate();
        await expectEvacuated(deployment.entries[0]!);
        await expectRestored();
    });

    it("fault: leader killed at the acknowledgement: no start after the bound, and none is lost", async () => {
        const { leader, other } = findEntries();
        evacuate();
        leader.child.signal("SIGKILL");
        await expectEvacuated(other);
        await expectRestored();
    });

    it("fault: agents cut off from the store: no start after the bound, and none is lost", async () => {
        for (const { availabilityZone, storeProxy } of deployment.agents) {
            if (availabilityZone === EVACUATED_ZONE) {
                await storeProxy.refuse();
            }
        }
        evacuate();
        await expectEvacuated(deployment.entries[0]!);
        await expectRestored();
    });

    it("fault: watches silent at the request: no start after the bound, and none is lost", async () => {
        for (const { storeProxy } of deployment.entries) {
            storeProxy.silence();
        }
        evacuate();
        await expectEvacuated(deployment.entries[0]!);
        await expectRestored();
    });

    it("fault: order held up on the way to the agent: no start after the bound, and none is lost", async () => {
        const { other } = findEntries();
        const agents = deployment.agents.filter(agent => agent.availabilityZone === EVACUATED_ZONE);
        for (const { child } of agents) {
            child.signal("SIGSTOP");
        }
        // The leader does not know of the stop yet and sends the order, which waits in the agent's socket.
        const job = jobFor(EVACUATED_RACK);
        await submit(other, job);
        await pollUntil(() => isOrdered(job), 2_000);
        evacuate();
        setTimeout(() => {
            for (const { child } of agents) {
                child.signal("SIGCONT");
            }
        }, HOLD_MS);
        await expectEvacuated(other);
        expect(checker.hasStarted(job.id)).to.equal(false);
        await expectRestored();
    });

    it("fault: leader suspended just before it sends an order: no start after the bound, and none is lost", async () => {
        const { leader, other } = findEntries();
        const { store } = deployment;
        const job = jobFor(EVACUATED_RACK);
        const commit = store.commit.bind(store);
        store.commit = async transaction => {
            const reply = await commit(transaction);
            if (transaction.puts.some(({ key }) => key === jobKey(job.id, "progress"))) {
                leader.child.signal("SIGSTOP");
                store.commit = commit;
            }
            return reply;
        };
        await submit(other, job);
        await pollUntil(() => isOrdered(job), 2_000);
        evacuate();
        setTimeout(() => leader.child.signal("SIGCONT"), HOLD_MS);
        await expectEvacuated(other);
        expect(checker.hasStarted(job.id)).to.equal(false);
        await expectRestored();
    });

    function jobFor(rack: string): CallerJob {
        const id = (jobs.size + 1).toString(16).padStart(16, "0");
        const script = { job: id, durationMs: 200, cpuMillis: 1_000, gpus: 1, gang: 1, failures: 0 };
        const job: CallerJob = {
            id,
            queue: "urgent",
            account: { keys: ["key-okahandja"] },
            tasks: 1,
            script: { ...script, requiredLabel: rack },
        };
        jobs.set(id, job);
        return job;
    }

    /** Submits a job until an entry accepts it; the entry may just have lost its leader. */
    async function submit({ callerAddress }: EmulatedEntry, job: CallerJob): Promise<void> {
        await pollUntil(async () => (await submitJob(callerAddress, job)).status === 200, 10_000);
    }

    function isDone(job: CallerJob): boolean {
        return checker.doneTasks(job.id).size === job.tasks;
    }

    function isOrdered(job: CallerJob): boolean {
        return deployment.store.item(jobKey(job.id, "progress")) !== undefined;
    }

    function findEntries(): { leader: EmulatedEntry; other: EmulatedEntry } {
        const value = deployment.store.item(LEADER_KEY)?.value ?? "";
        const name = /"name":"([^"]+)"/.exec(value)?.[1];
        const leader = deployment.entries.find(entry => entry.name === name)!;
        return { leader, other: deployment.entries.find(entry => entry !== leader)! };
    }

    function evacuate(): void {
        deployment.evacuate(EVACUATED_ZONE);
        evacuatedAtMs = performance.now();
    }

    /**
     * Submits jobs for both zones until some time after the bound. After the bound, the other zone's jobs must start, and
     * those of the evacuated zone must not; the last job of each is submitted before the end of the time.
     */
    async function expectEvacuated(entry: EmulatedEntry): Promise<void> {
        const submissions: Promise<void>[] = [];
        const end = evacuatedAtMs + EVACUATION_LIMIT_MS + WATCHED_AFTER_LIMIT_MS;
        while (performance.now() < end) {
            submissions.push(submit(entry, jobFor(EVACUATED_RACK)), submit(entry, jobFor(OTHER_RACK)));
            await delay(PROBE_INTERVAL_MS);
        }
        await Promise.all(submissions);
        const racks = new Set(startedAfterLimit.map(id => jobs.get(id)?.script.requiredLabel));
        expect([...racks], "racks with starts after the bound").to.deep.equal([OTHER_RACK]);
    }

    /** Restores the zone; all jobs must be done soon afterwards, and no guarantee may have been broken. */
    async function expectRestored(): Promise<void> {
        deployment.restore(EVACUATED_ZONE);
        await pollUntil(() => [...jobs.values()].every(isDone), CATCH_UP_LIMIT_MS);
        expect(checker.violations).to.deep.equal([]);
    }
});
