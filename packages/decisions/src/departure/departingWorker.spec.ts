import { expect } from "chai";
import { descriptionOf, jobOf, reportOf, resourcesOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import type { QueueTerms, Step } from "../job/jobTypes.ts";
import { groupProgress } from "../job/progressChange.ts";
import { addJob, createClusterState, getOrAddWorker, type ClusterState } from "../plan/clusterState.ts";
import { applyReport } from "../plan/planReport.ts";
import { applyDecision, buildRoundInput } from "../plan/planRound.ts";
import type { Decision } from "../schedule/scheduleTypes.ts";
import { scheduleRound, type RoundInput } from "../schedule/schedulingRound.ts";
import type { SyncReport, WorkerDescription } from "../worker/workerReport.ts";
import { MOVE_INTERVAL_MS } from "./leavingWorkers.ts";

describe("the plan when workers announce their departure", () => {
    const WHOLE = { resources: resourcesOf(64, 8), estimateMs: 20_000 };
    const SAVED = { ...WHOLE, checkpointing: true };
    const NOTICE_MS = 1_600;
    const TERMS = { priority: 1, attempts: 2, stretch: 2, latencyTargetMs: 60_000 };
    const URGENT = { priority: 0, attempts: 2, stretch: 1, latencyTargetMs: 0 };
    let cluster: ClusterState;
    let now: number;
    let descriptions: Map<string, WorkerDescription>;

    beforeEach(() => {
        cluster = createClusterState();
        now = 0;
        descriptions = new Map();
    });

    function report(name: string, lists: Partial<SyncReport> = {}): void {
        applyReport(
            cluster,
            getOrAddWorker(cluster, name, now),
            reportOf(descriptions.get(name), lists),
            now,
        );
    }

    function addWorkers(...names: string[]): void {
        for (const name of names) {
            descriptions.set(name, descriptionOf(name, { availabilityZone: `z${name}` }));
            report(name);
        }
    }

    /** The workers say that they leave after `remainingMs`; without it they do not say when. */
    function announce(remainingMs: number | undefined, ...names: string[]): void {
        for (const name of names) {
            descriptions.set(name, { ...descriptions.get(name)!, condition: "draining", remainingMs });
            report(name);
        }
    }

    function add(id: string, changes: Partial<Step>, terms: QueueTerms = TERMS): void {
        addJob(cluster, jobOf(id, [stepOf(changes)], { terms, clientAccount: id }), undefined, now);
    }

    function groupOf(id: string): string {
        return cluster.jobs.get(id)!.groups[0]!.key;
    }

    /** A job whose tasks run on the workers, one on each. */
    function addRunning(id: string, workers: string[], changes: Partial<Step>, terms?: QueueTerms): void {
        add(id, { count: workers.length, gang: workers.length > 1, ...changes }, terms);
        const places = workers.map((worker, index) => ({ index, worker }));
        applyDecision(cluster, { kind: "place", job: id, group: groupOf(id), places, isFar: false }, now);
    }

    function advance(ms: number): void {
        now += ms;
        for (const [name, { condition }] of descriptions) {
            // A leaving worker is not heard of again, so that the leader has to count down by itself.
            if (condition === "ready") {
                report(name);
            }
        }
    }

    function input(): RoundInput {
        return buildRoundInput(cluster, {
            now,
            wallMs: now,
            guaranteedGpus: account => (account.startsWith("guaranteed") ? 8 : 0),
            farFactor: 3,
            termsOf: entry => entry.job.terms,
        });
    }

    /** Runs a round and returns its decisions, each as its kind, job and workers. */
    function round(): string[] {
        const describeDecision = (decision: Decision): string => {
            const workers = decision.kind === "place" ? decision.places.map(({ worker }) => worker) : [];
            return [decision.kind, decision.job, ...workers].join(" ");
        };
        const decisions = scheduleRound(input());
        for (const decision of decisions) {
            applyDecision(cluster, decision, now);
        }
        return decisions.map(describeDecision);
    }

    /** All tasks of the job are confirmed as stopped. */
    function confirmStop(id: string): void {
        const { placements, run } = groupProgress(cluster.jobs.get(id)!.progress, groupOf(id));
        for (const { index, worker } of placements) {
            const stopped = { task: `${id}.0.0.${index}`, run };
            report(worker, { stops: [{ run: stopped, state: { kind: "closed" } }] });
        }
    }

    describe("with room elsewhere", () => {
        for (const [kind, step] of [
            ["a checkpointing group", SAVED],
            ["a group without checkpoints", WHOLE],
            ["a long-running group", { ...WHOLE, longRunning: true }],
        ] as const) {
            // Guards against work that is lost with the worker, and restarts only after the worker has left.
            it(`moves ${kind} at once, also at the shortest notice`, () => {
                addWorkers("a", "b");
                addRunning("j", ["a"], step);
                advance(1_000);
                announce(NOTICE_MS, "a");
                expect(round()).to.deep.equal(["move j"]);
                advance(500);
                expect(round()).to.deep.equal([]);
                confirmStop("j");
                expect(round()).to.deep.equal(["place j b"]);
            });
        }

        // Guards against a group that is stopped for nothing, as another one takes its room while it is being stopped.
        it("keeps the room until the stop is confirmed, also from a more urgent group", () => {
            addWorkers("a", "b");
            addRunning("j", ["a"], SAVED);
            announce(NOTICE_MS, "a");
            add("urgent", WHOLE, URGENT);
            expect(round()).to.deep.equal(["move j"]);
            advance(250);
            expect(round()).to.deep.equal([]);
            descriptions.set("a", { ...descriptions.get("a")!, condition: "silent" });
            report("a");
            expect(round()).to.deep.equal([]);
        });

        it("keeps no room for a job that is cancelled while it is being stopped", () => {
            addWorkers("a", "b");
            addRunning("j", ["a"], SAVED);
            announce(NOTICE_MS, "a");
            expect(round()).to.deep.equal(["move j"]);
            cluster.jobs.get("j")!.isCancelled = true;
            add("other", WHOLE);
            expect(round()).to.deep.equal(["place other b"]);
        });

        it("moves all groups of the worker that fit, the most urgent ones first", () => {
            const half = { ...WHOLE, resources: resourcesOf(32, 4) };
            addWorkers("a", "b");
            addRunning("minor", ["a"], half);
            addRunning("urgent", ["a"], half, URGENT);
            addRunning("busy", ["b"], half);
            announce(NOTICE_MS, "a");
            expect(round()).to.deep.equal(["move urgent"]);
        });

        // Guards against stops of work that the worker would have finished.
        it("leaves a task alone that is expected to finish in time, and one whose end is close to the departure", () => {
            addWorkers("a", "b");
            const part = { resources: resourcesOf(8, 1) };
            addRunning("short", ["a"], { ...part, estimateMs: 1_500 });
            addRunning("close", ["a"], { ...part, estimateMs: 2_400 });
            addRunning("late", ["a"], { ...part, estimateMs: 2_401 });
            announce(NOTICE_MS, "a");
            expect(round()).to.deep.equal(["move late"]);
        });

        it("leaves a task alone whose worker does not say when it leaves", () => {
            addWorkers("a", "b", "c");
            addRunning("j", ["a"], WHOLE);
            addRunning("k", ["b"], WHOLE);
            announce(undefined, "a");
            announce(NOTICE_MS, "b");
            expect(round()).to.deep.equal(["move k"]);
        });
    });

    describe("without room elsewhere", () => {
        /** Decisions of a round every 100 ms until the worker has left. */
        function decisionsByTime(): Record<number, string[]> {
            const byTime: Record<number, string[]> = {};
            for (let leftMs = NOTICE_MS; leftMs > 0; leftMs -= 100) {
                const decisions = round();
                if (decisions.length > 0) {
                    byTime[leftMs] = decisions;
                }
                advance(100);
            }
            return byTime;
        }

        // Guards against progress that is lost with the worker, and against a stop that is too early or too late to matter.
        it("stops a checkpointing group just in time for its progress to be saved, and no other", () => {
            addWorkers("a", "b");
            addRunning("saved", ["a"], { ...SAVED, resources: resourcesOf(32, 4) });
            addRunning("lost", ["a"], { ...WHOLE, resources: resourcesOf(32, 4) });
            addRunning("busy", ["b"], WHOLE);
            announce(NOTICE_MS, "a");
            expect(decisionsByTime()).to.deep.equal({ 1100: ["move saved"] });
        });

        it("counts neither evacuated workers nor others that leave as room", () => {
            addWorkers("a", "b", "c");
            addRunning("j", ["a"], SAVED);
            announce(10_000, "b");
            announce(NOTICE_MS, "a");
            cluster.evacuatedZones = new Set(["zc"]);
            expect(decisionsByTime()).to.deep.equal({ 1100: ["move j"] });
        });

        it("moves a group as soon as there is room", () => {
            addWorkers("a", "b");
            addRunning("j", ["a"], WHOLE);
            addRunning("busy", ["b"], WHOLE);
            announce(NOTICE_MS, "a");
            expect(round()).to.deep.equal([]);
            const ended = [{ number: 1, task: "busy.0.0.0", run: 1, end: "done" as const }];
            report("b", { ended });
            expect(round()).to.deep.equal(["move j"]);
        });
    });

    describe("with a gang across a leaving and a staying worker", () => {
        it("moves the gang as a whole, to room that includes its own on the staying worker", () => {
            addWorkers("a", "b", "c");
            addRunning("gang", ["a", "b"], { ...WHOLE, maxPerWorker: 1 });
            announce(NOTICE_MS, "a");
            add("other", WHOLE);
            expect(round()).to.deep.equal(["move gang"]);
            confirmStop("gang");
            const [placed, ...rest] = round();
            expect(placed?.split(" ").slice(0, 2)).to.deep.equal(["place", "gang"]);
            expect(new Set(placed?.split(" ").slice(2))).to.deep.equal(new Set(["b", "c"]));
            expect(rest).to.deep.equal([]);
        });

        it("stops it to save its progress if only a part of it fits", () => {
            addWorkers("a", "b");
            addRunning("gang", ["a", "b"], SAVED);
            announce(NOTICE_MS, "a");
            expect(round()).to.deep.equal([]);
            advance(500);
            expect(round()).to.deep.equal(["move gang"]);
        });
    });

    describe("with several notices at once", () => {
        it("moves each group to room of its own", () => {
            addWorkers("a", "b", "c", "d");
            addRunning("j", ["a"], WHOLE);
            addRunning("k", ["b"], WHOLE);
            announce(NOTICE_MS, "a", "b");
            expect(round().sort()).to.deep.equal(["move j", "move k"]);
            confirmStop("j");
            confirmStop("k");
            const places = round().map(placed => placed.split(" ")[2]);
            expect(places.sort()).to.deep.equal(["c", "d"]);
        });

        // Guards against two groups that are stopped for the same room.
        it("moves only as many groups as there is room for", () => {
            addWorkers("a", "b", "c");
            addRunning("j", ["a"], WHOLE);
            addRunning("k", ["b"], WHOLE, URGENT);
            announce(NOTICE_MS, "a", "b");
            expect(round()).to.deep.equal(["move k"]);
            advance(250);
            expect(round()).to.deep.equal([]);
        });

        // Guards against groups that are sent from one leaving worker to the next and do no work.
        it("moves no group twice within 5 s", () => {
            addWorkers("a", "b");
            addRunning("j", ["a"], WHOLE);
            announce(NOTICE_MS, "a");
            expect(round()).to.deep.equal(["move j"]);
            confirmStop("j");
            expect(round()).to.deep.equal(["place j b"]);
            addWorkers("c");
            announce(10_000, "b");
            advance(MOVE_INTERVAL_MS - 1);
            expect(round()).to.deep.equal([]);
            advance(1);
            expect(round()).to.deep.equal(["move j"]);
        });
    });

    describe("with a guarantee", () => {
        it("moves the group by preempting one without a guarantee", () => {
            addWorkers("a", "b");
            addRunning("guaranteed", ["a"], WHOLE, URGENT);
            addRunning("minor", ["b"], WHOLE);
            announce(NOTICE_MS, "a");
            expect(round()).to.deep.equal(["move guaranteed", "preempt minor"]);
            confirmStop("guaranteed");
            expect(round()).to.deep.equal([]);
            confirmStop("minor");
            expect(round()).to.deep.equal(["place guaranteed b"]);
        });

        it("preempts nothing for a group without a guarantee", () => {
            addWorkers("a", "b");
            addRunning("urgent", ["a"], WHOLE, URGENT);
            addRunning("guaranteed", ["b"], WHOLE, URGENT);
            addRunning("saved", ["a"], { ...SAVED, resources: resourcesOf(0, 0) });
            announce(NOTICE_MS, "a");
            advance(500);
            expect(round()).to.deep.equal(["move saved"]);
        });
    });
});
