import { expect } from "chai";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
    queryJobState,
    cancelJob,
    submitJob,
    type CallerJob,
} from "@tanagerdeck/standins/emulator/emulatedCaller";
import { CAPACITY, startEmulatedDeployment } from "@tanagerdeck/standins/emulator/emulatedDeployment";
import type { EmulatedDeployment } from "@tanagerdeck/standins/emulator/emulatorTypes";
import {
    createInvariantChecker,
    type InvariantChecker,
} from "@tanagerdeck/standins/emulator/invariantChecker";
import { pollUntil } from "@tanagerdeck/standins/polling/pollUntil";
import { bundlePrograms } from "@tanagerdeck/standins/processes/programBundle";
import { LEADER_KEY } from "@tanagerdeck/store/replica/storeKeys";

/**
 * Runs entries and agents as processes against emulated platform parts and guards against faults that only show in
 * the wiring: lost or repeated tasks when processes, workers or the store fail. After each test the checker reports
 * every broken guarantee it saw.
 */
describe("the processes on the platform", function () {
    this.timeout(90_000);
    /** Bound from the loss of a leader to new placements: lease expiry, election and first reports of the agents. */
    const FAILOVER_MS = 5_000;
    let programs: string;
    let deployment: EmulatedDeployment;
    let checker: InvariantChecker;
    let jobs: Set<string>;
    let nextId: number;
    /** Called for each event on a worker, for tests that react to one. */
    let observeStart: (event: Parameters<InvariantChecker["observe"]>[0]) => void;

    before(async () => {
        programs = mkdtempSync(join(tmpdir(), "tanagerdeck-programs-"));
        await bundlePrograms(programs);
    });

    after(() => rmSync(programs, { recursive: true, force: true }));

    beforeEach(async () => {
        jobs = new Set();
        nextId = 1;
        observeStart = () => {};
        checker = createInvariantChecker(job => jobs.has(job));
        deployment = await startEmulatedDeployment(
            {
                programs,
                entries: 2,
                workers: 3,
                workersPerRack: 2,
                longestHoldMs: 6_000,
                stopDurationMs: 200,
                gangTimeoutMs: 3_000,
                heartbeatIntervalMs: 500,
            },
            event => {
                checker.observe(event);
                observeStart(event);
            },
        );
        const probe = jobOf({});
        await pollUntil(async () => (await submitJob(entryAddress(0), probe)).status === 200, 10_000);
        await pollUntil(() => isCompleted(probe), 10_000);
    });

    afterEach(async () => {
        await deployment.stop();
        expect(checker.violations).to.deep.equal([]);
    });

    function entryAddress(index: number): string {
        return deployment.entries[index]!.callerAddress;
    }

    function jobOf(
        changes: Partial<CallerJob> & { durationMs?: number; gang?: number; gpus?: number },
    ): CallerJob {
        const id = (nextId++).toString(16).padStart(16, "0");
        const { durationMs = 300, gang = 1, gpus = 1, ...rest } = changes;
        jobs.add(id);
        return {
            id,
            queue: "urgent",
            account: { keys: ["key-okahandja"] },
            tasks: gang,
            script: { job: id, durationMs, cpuMillis: 1_000, gpus, gang, failures: 0 },
            ...rest,
        };
    }

    async function isCompleted(job: CallerJob, entry = 0): Promise<boolean> {
        return (await queryJobState(entryAddress(entry), job)).state === "completed";
    }

    async function expectCompletion(job: CallerJob, limitMs: number): Promise<void> {
        expect((await submitJob(entryAddress(0), job)).status).to.equal(200);
        await pollUntil(() => isCompleted(job, 1), limitMs);
    }

    function leaderName(): string {
        const value = deployment.store.item(LEADER_KEY)?.value ?? "";
        return /"name":"([^"]+)"/.exec(value)?.[1] ?? "";
    }

    describe("without faults", () => {
        it("run all tasks of a job and show it as completed at every entry", async () => {
            await expectCompletion(jobOf({ tasks: 5 }), 5_000);
            await expectCompletion(jobOf({ gang: 3, gpus: 4 }), 5_000);
        });

        it("run a job once when its submission is repeated at another entry", async () => {
            const job = jobOf({});
            expect((await submitJob(entryAddress(0), job)).status).to.equal(200);
            expect((await submitJob(entryAddress(1), job)).status).to.equal(200);
            await pollUntil(() => isCompleted(job), 5_000);
        });

        it("retry a failed run while attempts are left", async () => {
            const job = jobOf({});
            job.script.failures = 2;
            await expectCompletion(job, 5_000);
            expect(checker.ends.get("failed")).to.equal(2);
        });

        it("stop the running tasks of a cancelled job", async () => {
            const job = jobOf({ durationMs: 30_000 });
            await submitJob(entryAddress(0), job);
            await pollUntil(() => checker.runningTasks(job.id).length === 1, 3_000);
            expect((await cancelJob(entryAddress(1), job)).status).to.equal(200);
            await pollUntil(() => checker.runningTasks(job.id).length === 0, 3_200);
            expect((await queryJobState(entryAddress(0), job)).state).to.equal("cancelled");
        });

        it("free guaranteed capacity that other jobs occupy", async () => {
            const filler = jobOf({
                queue: "batch",
                account: { keys: ["key-caroni"] },
                durationMs: 30_000,
                tasks: 24,
            });
            await submitJob(entryAddress(0), filler);
            await pollUntil(() => checker.runningTasks(filler.id).length === 24, 5_000);
            const urgent = jobOf({ gpus: CAPACITY.gpus, tasks: 2 });
            await submitJob(entryAddress(0), urgent);
            await pollUntil(() => checker.hasStarted(urgent.id), 2_700);
            await pollUntil(() => isCompleted(urgent), 5_000);
        });
    });

    describe("when API keys change", () => {
        it("refuse a revoked key and accept the new one at every entry within the bound", async () => {
            const account = deployment.accounts[0]!;
            account.keys = ["key-new"];
            deployment.writeManifest();
            await pollUntil(async () => {
                for (const index of [0, 1]) {
                    const old = await queryJobState(entryAddress(index), jobOf({}));
                    const fresh = await queryJobState(
                        entryAddress(index),
                        jobOf({ account: { keys: ["key-new"] } }),
                    );
                    if (old.status !== 401 || fresh.status !== 410) {
                        return false;
                    }
                }
                return true;
            }, 2_500);
        });
    });

    describe("when the leader is killed", () => {
        it("keep running tasks and place new jobs after the failover", async () => {
            const running = jobOf({ durationMs: 4_000 });
            await submitJob(entryAddress(0), running);
            await pollUntil(() => checker.runningTasks(running.id).length === 1, 3_000);
            const leader = deployment.entries.find(entry => entry.name === leaderName())!;
            leader.child.signal("SIGKILL");
            const other = deployment.entries.find(entry => entry !== leader)!;
            const job = jobOf({});
            expect((await submitJob(other.callerAddress, job)).status).to.equal(200);
            const state = async (one: CallerJob) => (await queryJobState(other.callerAddress, one)).state;
            await pollUntil(async () => (await state(job)) === "completed", FAILOVER_MS + 2_000);
            await pollUntil(async () => (await state(running)) === "completed", 6_000);
            expect(checker.ends.get("lapsed")).to.equal(undefined);
        });
    });

    describe("when an agent is killed and started again", () => {
        it("keep the tasks of its worker, because their lease outlasts the restart", async () => {
            const job = jobOf({ durationMs: 3_000, tasks: 3 });
            await submitJob(entryAddress(0), job);
            await pollUntil(() => checker.runningTasks(job.id).length === 3, 3_000);
            for (const agent of deployment.agents) {
                agent.child.signal("SIGKILL");
                await agent.child.ended;
                await agent.restart();
            }
            await pollUntil(() => isCompleted(job), 10_000);
            expect(checker.ends.get("lapsed")).to.equal(undefined);
        });
    });

    describe("when a worker restarts under the same name", () => {
        it("run its tasks again exactly once", async () => {
            const job = jobOf({ durationMs: 1_500, tasks: 3 });
            await submitJob(entryAddress(0), job);
            await pollUntil(() => checker.runningTasks(job.id).length === 3, 3_000);
            for (const agent of deployment.agents) {
                agent.rebootWorker();
            }
            await pollUntil(() => isCompleted(job), 10_000);
        });
    });

    describe("when a task crashes each worker that starts it", () => {
        it("give the task up after a few crashes and run the other jobs", async () => {
            const deadly = jobOf({ durationMs: 30_000 });
            let starts = 0;
            observeStart = event => {
                if (event.kind === "started" && event.task.startsWith(deadly.id)) {
                    starts += 1;
                    const agent = deployment.agents.find(({ name }) => name === event.worker);
                    setImmediate(() => agent?.rebootWorker());
                }
            };
            await submitJob(entryAddress(0), deadly);
            const state = async () => (await queryJobState(entryAddress(1), deadly)).state;
            await pollUntil(async () => (await state()) === "failed", 20_000);
            // Three crashes show the cause; the rule allows two more starts.
            expect(starts).to.be.within(2, 5);
            await expectCompletion(jobOf({ tasks: 5 }), 5_000);
        });
    });

    describe("when the store refuses connections from an entry", () => {
        it("serve its callers through another entry", async () => {
            await deployment.entries[0]!.storeProxy.refuse();
            const job = jobOf({});
            expect((await submitJob(entryAddress(0), job)).status).to.equal(200);
            await pollUntil(() => isCompleted(job, 0), FAILOVER_MS + 2_000);
        });
    });

    describe("while the store is unavailable", () => {
        it("keep tasks running, refuse new jobs at once and resume after its return", async () => {
            const running = jobOf({ durationMs: 2_500 });
            await submitJob(entryAddress(0), running);
            await pollUntil(() => checker.runningTasks(running.id).length === 1, 3_000);
            deployment.store.faults.mode = "refuse";
            await pollUntil(async () => (await submitJob(entryAddress(0), jobOf({}))).status === 503, 3_000);
            await pollUntil(() => checker.doneTasks(running.id).size === 1, 4_000);
            deployment.store.faults.mode = "none";
            await pollUntil(() => isCompleted(running), FAILOVER_MS + 1_000);
            await expectCompletion(jobOf({}), 5_000);
        });
    });
});
