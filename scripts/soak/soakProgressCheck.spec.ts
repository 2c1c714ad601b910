import { expect } from "chai";
import type { CallerJob } from "@tanagerdeck/standins/emulator/emulatedCaller";
import type { TaskScript, WorkerEvent } from "@tanagerdeck/standins/emulator/taskTypes";
import type { SoakJob } from "./soakCallers.ts";
import { createProgressCheck, type CheckedPeriods, type ProgressCheck } from "./soakProgressCheck.ts";

/** Guards against a check that misses a task left waiting, or that reports what the platform's rules allow. */
describe("the progress check", () => {
    const ID = "000000000000000a";
    const FILLER = "000000000000000f";
    const RECOVERED: CheckedPeriods = { calmSince: undefined, recoveredSince: 0 };
    const CAPACITY = { cpuMillis: 10_000, memoryMb: 1_000, gpus: 8 };
    let jobs: Map<string, SoakJob>;
    let check: ProgressCheck;
    let violations: string[];

    beforeEach(() => {
        jobs = new Map();
        violations = [];
        check = createProgressCheck({
            jobs,
            workers: ["w1", "w2", "w3", "w4"].map((name, index) => ({
                name,
                labels: [index === 0 ? "a" : "b"],
                capacity: CAPACITY,
            })),
            attemptsOf: () => 2,
            clockOriginMs: 0,
            reportViolation: promise => violations.push(promise),
        });
    });

    function accept(changes: Partial<TaskScript> = {}, job: Partial<CallerJob> = {}, id = ID): SoakJob {
        const script = {
            job: id,
            durationMs: 1_000,
            cpuMillis: 1_000,
            gpus: 1,
            gang: 1,
            failures: 0,
            ...changes,
        };
        const account = { keys: [] };
        const soakJob: SoakJob = {
            job: { id, queue: "batch", account, tasks: 1, script, ...job },
            outcome: "accepted",
        };
        jobs.set(id, soakJob);
        return soakJob;
    }

    function note(kind: WorkerEvent["kind"], task: string, changes: Partial<WorkerEvent> = {}): void {
        check.observe({ kind, task, run: 1, worker: "w1", atMs: 0, ...changes });
    }

    /** Lets time pass; checks every 100 ms up to `untilMs`. */
    function pass(fromMs: number, untilMs: number, periods = RECOVERED): void {
        for (let nowMs = fromMs; nowMs <= untilMs; nowMs += 100) {
            check.check(nowMs, periods);
        }
    }

    function useGpus(gpus: number, worker: string): void {
        const id = `${FILLER.slice(0, -1)}${worker.slice(-1)}`;
        accept({ gpus }, {}, id);
        note("started", `${id}.0.0.0`, { worker });
    }

    describe("for a job of which nothing runs", () => {
        it("reports it after 3 s with room", () => {
            accept();
            pass(0, 2_900);
            expect(violations).to.deep.equal([]);
            pass(3_000, 3_000);
            expect(violations).to.deep.equal(["progress"]);
        });

        it("allows the wait before the recovery", () => {
            accept();
            pass(0, 9_000, { calmSince: 0, recoveredSince: undefined });
            expect(violations).to.deep.equal([]);
        });

        it("allows a wait that a run interrupts", () => {
            accept();
            pass(0, 2_500);
            note("started", `${ID}.0.0.0`, { atMs: 2_550 });
            note("ended", `${ID}.0.0.0`, { atMs: 2_560, end: "failed" });
            pass(2_600, 5_500);
            expect(violations).to.deep.equal([]);
            pass(5_600, 5_600);
            expect(violations).to.deep.equal(["progress"]);
        });

        for (const [state, change] of [
            ["cancelled", { cancelSentAtMs: 0 }],
            ["shown as failed", { state: "failed" }],
            ["not surely accepted", { outcome: "unclear" }],
        ] as const) {
            it(`allows the wait of a job that is ${state}`, () => {
                Object.assign(accept(), change);
                pass(0, 9_000);
                expect(violations).to.deep.equal([]);
            });
        }

        it("allows the wait of a job whose last attempt has failed", () => {
            accept();
            for (const run of [1, 2]) {
                note("started", `${ID}.0.0.0`, { run });
                note("ended", `${ID}.0.0.0`, { run, end: "failed" });
            }
            pass(0, 9_000);
            expect(violations).to.deep.equal([]);
        });
    });

    describe("for the room", () => {
        const cases: [string, Partial<TaskScript>, boolean][] = [
            ["allows the wait with room for one task only", { gpus: 5, requiredLabel: "a" }, false],
            ["counts all workers that may take the task", { gpus: 5, requiredLabel: "b" }, true],
            ["counts a step's limit on each worker", { maxPerWorker: 1, requiredLabel: "a" }, false],
            ["counts the memory of a task", { memoryMb: 600, requiredLabel: "a" }, false],
            ["asks for all members of a gang twice over", { gpus: 8, gang: 3 }, false],
            ["reports a gang with room for all members twice over", { gpus: 8, gang: 2 }, true],
        ];
        for (const [title, changes, isReported] of cases) {
            it(title, () => {
                accept(changes, { tasks: changes.gang ?? 1 });
                pass(0, 3_000);
                expect(violations).to.deep.equal(isReported ? ["progress"] : []);
            });
        }

        it("allows the wait while half of the capacity is in use", () => {
            accept();
            useGpus(8, "w1");
            useGpus(8, "w2");
            pass(0, 9_000);
            expect(violations).to.deep.equal([]);
            note("ended", `${FILLER.slice(0, -1)}2.0.0.0`, { worker: "w2", end: "done", atMs: 9_050 });
            pass(9_100, 12_100);
            expect(violations).to.deep.equal(["progress"]);
        });
    });

    describe("for evacuated zones", () => {
        function noteZone(kind: "evacuated" | "restored", ...workers: string[]): void {
            check.observe({ kind, zone: "zone-1", workers, atMs: 0 });
        }

        it("does not count their room, and reports a wait of 3 s after the zone was restored", () => {
            accept({ requiredLabel: "a" });
            noteZone("evacuated", "w1");
            pass(0, 9_000);
            expect(violations).to.deep.equal([]);
            noteZone("restored", "w1");
            pass(9_100, 12_000);
            expect(violations).to.deep.equal([]);
            pass(12_100, 12_100);
            expect(violations).to.deep.equal(["progress"]);
        });

        it("reports a wait with room in other zones", () => {
            accept();
            noteZone("evacuated", "w1");
            pass(0, 3_000);
            expect(violations).to.deep.equal(["progress"]);
        });

        it("counts neither their capacity nor what runs there towards the half in use", () => {
            accept();
            useGpus(8, "w1");
            useGpus(8, "w2");
            noteZone("evacuated", "w3");
            pass(0, 9_000);
            expect(violations).to.deep.equal([]);
            noteZone("evacuated", "w1", "w2");
            noteZone("restored", "w3");
            pass(9_100, 12_100);
            expect(violations).to.deep.equal(["progress"]);
        });
    });

    describe("for steps and due times", () => {
        function acceptTwoSteps(): void {
            const { job } = accept();
            const { script } = job;
            job.steps = [
                { tasks: 1, script },
                { tasks: 1, script: { ...script, after: [0] } },
            ];
        }

        it("waits for the turn of a later step", () => {
            acceptTwoSteps();
            note("started", `${ID}.0.0.0`);
            pass(0, 9_000);
            note("ended", `${ID}.0.0.0`, { end: "done", atMs: 9_000 });
            pass(9_100, 11_900);
            expect(violations).to.deep.equal([]);
            pass(12_000, 12_000);
            expect(violations).to.deep.equal(["progress"]);
        });

        it("reports a start before the previous step is done", () => {
            acceptTwoSteps();
            note("started", `${ID}.0.0.0`);
            note("started", `${ID}.0.1.0`);
            expect(violations).to.deep.equal(["order"]);
        });

        it("waits for the due time, and reports a start more than 250 ms before it", () => {
            accept({}, { schedule: { firstDueMs: 5_000, intervalMs: 10_000, occurrences: 2 } });
            pass(0, 7_900);
            expect(violations).to.deep.equal([]);
            note("started", `${ID}.0.0.0`, { atMs: 4_750 });
            expect(violations).to.deep.equal([]);
            note("started", `${ID}.1.0.0`, { atMs: 14_740 });
            expect(violations).to.deep.equal(["order"]);
        });

        it("reports a start on a worker without the label or beyond the step's limit", () => {
            accept({ requiredLabel: "b" }, { tasks: 2 });
            note("started", `${ID}.0.0.0`);
            expect(violations).to.deep.equal(["order"]);
            accept({ maxPerWorker: 1 }, { tasks: 2 }, FILLER);
            note("started", `${FILLER}.0.0.0`);
            note("started", `${FILLER}.0.0.1`);
            expect(violations).to.deep.equal(["order", "order"]);
        });
    });

    describe("for a long-running task", () => {
        function loseSecondTask(): void {
            accept({ longRunning: true }, { tasks: 2 });
            note("started", `${ID}.0.0.0`);
            note("started", `${ID}.0.0.1`);
            note("ended", `${ID}.0.0.1`, { end: "failed", atMs: 1_000 });
        }

        it("reports it 3 s after 6 s without a run, although others of its job run", () => {
            loseSecondTask();
            pass(1_000, 9_900);
            expect(violations).to.deep.equal([]);
            pass(10_000, 10_000);
            expect(violations).to.deep.equal(["progress"]);
        });

        it("reports it in calm times although over half of the capacity is in use", () => {
            loseSecondTask();
            useGpus(8, "w2");
            useGpus(8, "w3");
            pass(1_000, 9_900, { calmSince: 0, recoveredSince: undefined });
            expect(violations).to.deep.equal([]);
            pass(10_000, 10_000, { calmSince: 0, recoveredSince: undefined });
            expect(violations).to.deep.equal(["progress"]);
        });

        it("allows the wait within 7 s after a fault", () => {
            loseSecondTask();
            pass(1_000, 12_900, { calmSince: 6_000, recoveredSince: undefined });
            expect(violations).to.deep.equal([]);
            pass(13_000, 13_000, { calmSince: 6_000, recoveredSince: undefined });
            expect(violations).to.deep.equal(["progress"]);
        });
    });

    describe("for shown states", () => {
        function shownAs(soakJob: SoakJob, state: string): string[] {
            check.checkState(soakJob, state, 0);
            return violations;
        }

        it("reports `completed` before all tasks are done", () => {
            const soakJob = accept({}, { tasks: 2 });
            note("started", `${ID}.0.0.0`);
            note("ended", `${ID}.0.0.0`, { end: "done" });
            expect(shownAs(soakJob, "completed")).to.deep.equal(["true-state"]);
        });

        it("reports `cancelled` without a cancellation", () => {
            expect(shownAs(accept(), "cancelled")).to.deep.equal(["true-state"]);
        });

        for (const [end, runs, isReported] of [
            ["failed", 1, true],
            ["failed", 2, false],
            ["stopped", 9, true],
            ["lost", 4, true],
            ["lost", 5, false],
        ] as const) {
            it(`${isReported ? "reports" : "allows"} \`failed\` after ${runs} runs that ended as ${end}`, () => {
                const soakJob = accept();
                for (let run = 1; run <= runs; run++) {
                    note("started", `${ID}.0.0.0`, { run });
                    note("ended", `${ID}.0.0.0`, { run, end, atMs: 5_000 });
                }
                expect(shownAs(soakJob, "failed")).to.deep.equal(isReported ? ["true-state"] : []);
            });
        }
    });

    describe("for attempts", () => {
        function startAfterTwoFailures(recorded: number): void {
            accept();
            for (const run of [1, 2]) {
                note("started", `${ID}.0.0.0`, { run });
                note("ended", `${ID}.0.0.0`, { run, end: "failed" });
            }
            for (let run = 1; run <= recorded; run++) {
                note("recorded", `${ID}.0.0.0`, { run, end: "failed" });
            }
            note("started", `${ID}.0.0.0`, { run: 3 });
        }

        it("reports a start after the last attempt, also if its end is acknowledged later", () => {
            startAfterTwoFailures(1);
            expect(violations).to.deep.equal([]);
            note("recorded", `${ID}.0.0.0`, { run: 2, end: "failed" });
            expect(violations).to.deep.equal(["attempts"]);
        });

        it("allows a start after a failed end that a crash of its worker has lost", () => {
            // Seed 1001: a failure that was lost with its worker counted once a later run had failed.
            startAfterTwoFailures(1);
            note("ended", `${ID}.0.0.0`, { run: 3, end: "failed" });
            note("recorded", `${ID}.0.0.0`, { run: 3, end: "failed" });
            expect(violations).to.deep.equal([]);
        });

        it("reports a start after the acknowledged end of the last attempt", () => {
            startAfterTwoFailures(2);
            expect(violations).to.deep.equal(["attempts"]);
        });
    });
});
