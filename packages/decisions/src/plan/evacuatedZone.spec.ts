import { expect } from "chai";
import { descriptionOf, jobOf, reportOf, resourcesOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { groupProgress } from "../job/progressChange.ts";
import type { QueueTerms, Step } from "../job/jobTypes.ts";
import type { Decision } from "../schedule/scheduleTypes.ts";
import { scheduleRound, type RoundInput } from "../schedule/schedulingRound.ts";
import type { StartRefusal, SyncReport, WorkerDescription } from "../worker/workerReport.ts";
import { addJob, createClusterState, getOrAddWorker, type ClusterState } from "./clusterState.ts";
import { countEvacuatedTasks, evacuatedServices } from "./evacuatedWorkers.ts";
import { idleServices } from "./idleness.ts";
import { buildOrders } from "./planOrders.ts";
import { applyReport } from "./planReport.ts";
import { applyDecision, buildRoundInput } from "./planRound.ts";

describe("the plan while an availability zone is evacuated", () => {
    const WHOLE = resourcesOf(64, 8);
    const URGENT = { priority: 0, attempts: 2, stretch: 1, latencyTargetMs: 0 };
    const MINOR = { priority: 2, attempts: 2, stretch: 2, latencyTargetMs: 100_000 };
    let cluster: ClusterState;
    let now: number;
    let descriptions: Map<string, WorkerDescription>;

    beforeEach(() => {
        cluster = createClusterState();
        now = 0;
        descriptions = new Map();
    });

    function report(name: string, lists: Partial<SyncReport> = {}): void {
        const worker = getOrAddWorker(cluster, name, now);
        applyReport(cluster, worker, reportOf(descriptions.get(name), lists), now);
    }

    /** Adds workers whose zone is `z` and the first character of their name. */
    function addWorkers(...names: string[]): void {
        for (const name of names) {
            descriptions.set(name, descriptionOf(name, { availabilityZone: `z${name[0]}`, rack: name[0] }));
            report(name);
        }
    }

    function evacuate(...zones: string[]): void {
        cluster.evacuatedZones = new Set(zones);
    }

    function add(id: string, changes: Partial<Step> = {}, terms: QueueTerms = URGENT): void {
        addJob(cluster, jobOf(id, [stepOf(changes)], { terms, clientAccount: id }), undefined, now);
    }

    /** Places the job's first group on the workers, with its placement recorded. */
    function place(id: string, ...workers: string[]): void {
        const places = workers.map((worker, index) => ({ index, worker }));
        const group = cluster.jobs.get(id)!.groups[0]!.key;
        applyDecision(cluster, { kind: "place", job: id, group, places, isFar: false }, now);
        cluster.jobs.get(id)!.recordedVersion = cluster.jobs.get(id)!.version;
    }

    /** A job with one task that runs on the worker. */
    function addRunning(id: string, worker: string, changes: Partial<Step> = {}, terms = MINOR): void {
        add(id, changes, terms);
        place(id, worker);
        report(worker, { running: [{ task: `${id}.0.0.0`, run: 1, percent: 0 }] });
    }

    /** Input of a round in which the account `guaranteed` has a guarantee. */
    function input(): RoundInput {
        for (const worker of cluster.workers.values()) {
            worker.lastReportAt = now;
        }
        return buildRoundInput(cluster, {
            now,
            wallMs: now,
            guaranteedGpus: account => (account === "guaranteed" ? 8 : 0),
            farFactor: 3,
            termsOf: entry => entry.job.terms,
        });
    }

    function round(): Decision[] {
        return scheduleRound(input());
    }

    function placesOf(job: string): string[] {
        for (const decision of round()) {
            if (decision.kind === "place" && decision.job === job) {
                return decision.places.map(({ worker }) => worker);
            }
        }
        return [];
    }

    function phaseOf(id: string): string {
        const entry = cluster.jobs.get(id)!;
        return groupProgress(entry.progress, entry.groups[0]!.key).phase;
    }

    describe("for the workers in the zone", () => {
        it("starts nothing there, and again as soon as the evacuation has ended", () => {
            addWorkers("1a");
            add("job");
            evacuate("z1");
            expect(round()).to.deep.equal([]);
            evacuate();
            expect(placesOf("job")).to.deep.equal(["1a"]);
        });

        it("places a gang entirely outside of the zone", () => {
            addWorkers("1a", "2a", "2b");
            add("gang", { count: 2, gang: true, resources: WHOLE });
            evacuate("z1");
            expect(placesOf("gang")).to.deep.equal(["2a", "2b"]);
        });

        it("leaves a gang waiting that fits only across both zones", () => {
            addWorkers("1a", "2a");
            add("gang", { count: 2, gang: true, resources: WHOLE });
            evacuate("z1");
            expect(round()).to.deep.equal([]);
        });

        // Guards against work that is stopped for a group that may not start in its place.
        it("preempts nothing there to make room for a guaranteed group", () => {
            addWorkers("1a");
            addRunning("victim", "1a", { resources: WHOLE });
            add("guaranteed", { resources: WHOLE });
            expect(round()).to.have.length(1);
            evacuate("z1");
            expect(round()).to.deep.equal([]);
        });

        it("preempts outside of the zone although preempting there would cost less", () => {
            addWorkers("1a", "2a");
            addRunning("cheap", "1a", { resources: WHOLE, checkpointing: true });
            addRunning("dear", "2a", { resources: WHOLE });
            now += 5_000;
            report("1a", { running: [{ task: "cheap.0.0.0", run: 1, percent: 0 }] });
            report("2a", { running: [{ task: "dear.0.0.0", run: 1, percent: 0 }] });
            add("guaranteed", { resources: WHOLE });
            const victims = () => round().map(({ job }) => job);
            expect(victims()).to.deep.equal(["cheap"]);
            evacuate("z1");
            expect(victims()).to.deep.equal(["dear"]);
        });

        it("plans the place of a blocked group outside of the zone although a run in the zone ends first", () => {
            addWorkers("1a", "2a");
            const terms = { ...MINOR, priority: 1 };
            addRunning("short", "1a", { resources: resourcesOf(60, 7), estimateMs: 1_000 }, terms);
            addRunning("long", "2a", { resources: resourcesOf(60, 7), estimateMs: 6_000 }, terms);
            add("blocked", { resources: WHOLE }, { ...terms, latencyTargetMs: 20_000 });
            // It would still run when the other worker is free for the blocked group.
            add("small", { estimateMs: 9_000 }, MINOR);
            expect(placesOf("small")).to.deep.equal(["2a"]);
            evacuate("z1");
            expect(placesOf("small")).to.deep.equal([]);
        });

        it("does not probe a quarantined worker there, not even with long-running work", () => {
            addWorkers("1a", "2a");
            addRunning("full", "2a", { resources: WHOLE, longRunning: true });
            for (const [number, id] of ["one", "two"].entries()) {
                addRunning(id, "1a");
                const end = { number: number + 1, task: `${id}.0.0.0`, run: 1, end: "failed" as const };
                report("1a", { ended: [end] });
                cluster.jobs.delete(id);
            }
            add("lasting", { longRunning: true }, MINOR);
            expect(placesOf("lasting")).to.deep.equal(["1a"]);
            evacuate("z1");
            expect(round()).to.deep.equal([]);
            now += 9_000;
            expect(round()).to.deep.equal([]);
        });
    });

    describe("for their capacity", () => {
        it("does not count a service as idle whose usable workers are busy", () => {
            addWorkers("1a", "1b", "2a");
            addRunning("job", "2a", { resources: WHOLE });
            expect(idleServices(cluster)).to.deep.equal(new Set(["desk"]));
            evacuate("z1");
            expect(idleServices(cluster)).to.deep.equal(new Set());
        });

        it("counts a service as idle whose busy workers are all in the zone", () => {
            addWorkers("1a", "1b", "2a");
            addRunning("one", "1a", { resources: WHOLE });
            addRunning("two", "1b", { resources: WHOLE });
            expect(idleServices(cluster)).to.deep.equal(new Set());
            evacuate("z1");
            expect(idleServices(cluster)).to.deep.equal(new Set(["desk"]));
        });

        it("expects a wide job to take as many waves as the other workers need", () => {
            addWorkers("1a", "2a");
            add("wide", { count: 16, resources: resourcesOf(8, 1), estimateMs: 1_000 });
            expect(input().waiting[0]!.value.runMs).to.equal(1_000);
            evacuate("z1");
            expect(input().waiting[0]!.value.runMs).to.equal(2_000);
        });

        it("keeps jobs waiting without an error if all zones are evacuated", () => {
            addWorkers("1a", "2a");
            add("job");
            add("gang", { count: 2, gang: true, resources: WHOLE });
            evacuate("z1", "z2");
            expect(round()).to.deep.equal([]);
            expect(input().waiting).to.have.length(2);
        });
    });

    describe("for what has been placed there", () => {
        it("leaves running tasks alone and counts them", () => {
            addWorkers("1a", "2a");
            addRunning("inside", "1a");
            addRunning("outside", "2a");
            add("unstarted");
            place("unstarted", "1a");
            expect(countEvacuatedTasks(cluster)).to.equal(0);
            evacuate("z1");
            expect(round()).to.deep.equal([]);
            expect(phaseOf("inside")).to.equal("placed");
            expect(countEvacuatedTasks(cluster)).to.equal(1);
            expect(evacuatedServices(cluster)).to.deep.equal(new Set(["desk"]));
        });

        function refuse(worker: string, task: string, run: number, reason: StartRefusal): void {
            const state = { kind: "refused" as const, reason };
            report(worker, { starts: [{ run: { task, run }, state }] });
        }

        function confirmStop(worker: string, task: string, run: number): void {
            report(worker, { stops: [{ run: { task, run }, state: { kind: "closed" } }] });
        }

        // Guards against a start that was refused and costs an attempt, or whose late execution keeps running.
        it("stops a refused start, and places it elsewhere once that is confirmed, without an attempt", () => {
            addWorkers("1a");
            add("job", {}, { ...URGENT, attempts: 1 });
            place("job", "1a");
            evacuate("z1");
            refuse("1a", "job.0.0.0", 1, "evacuated");
            expect(phaseOf("job")).to.equal("closing");
            addWorkers("2a");
            expect(round()).to.deep.equal([]);
            const { starts, stops } = buildOrders(cluster, cluster.workers.get("1a")!);
            expect(starts).to.deep.equal([]);
            expect(stops.map(({ task, run }) => `${task} ${run}`)).to.deep.equal(["job.0.0.0 1"]);
            confirmStop("1a", "job.0.0.0", 1);
            expect(phaseOf("job")).to.equal("waiting");
            const entry = cluster.jobs.get("job")!;
            expect(groupProgress(entry.progress, "0.0.0").failures).to.equal(0);
            expect(cluster.workers.get("1a")!.faults).to.deep.equal([]);
            expect(placesOf("job")).to.deep.equal(["2a"]);
        });

        it("stops all members of a gang of which one start was refused", () => {
            addWorkers("1a", "2a");
            add("gang", { count: 2, gang: true, resources: WHOLE });
            place("gang", "1a", "2a");
            evacuate("z1");
            refuse("1a", "gang.0.0.0", 1, "evacuated");
            for (const [index, name] of ["1a", "2a"].entries()) {
                const { starts, stops } = buildOrders(cluster, cluster.workers.get(name)!);
                expect(starts).to.deep.equal([]);
                expect(stops.map(({ task }) => task)).to.deep.equal([`gang.0.0.${index}`]);
                confirmStop(name, `gang.0.0.${index}`, 1);
            }
            expect(phaseOf("gang")).to.equal("waiting");
        });
    });

    describe("for cold workers", () => {
        function cool(...names: string[]): void {
            for (const name of names) {
                descriptions.set(name, { ...descriptions.get(name)!, coldRemainingMs: 3_000 });
                report(name);
            }
        }

        it("prefers a warm one although a cold one is the tighter fit", () => {
            addWorkers("1a", "2a");
            addRunning("other", "1a");
            add("job");
            expect(placesOf("job")).to.deep.equal(["1a"]);
            cool("1a");
            expect(placesOf("job")).to.deep.equal(["2a"]);
        });

        it("prefers a cold one to one with a recent fault", () => {
            addWorkers("1a", "2a");
            addRunning("faulty", "2a");
            const end = { number: 1, task: "faulty.0.0.0", run: 1, end: "failed" as const };
            report("2a", { ended: [end] });
            cluster.jobs.delete("faulty");
            cool("1a");
            add("job");
            expect(placesOf("job")).to.deep.equal(["1a"]);
        });

        it("uses a cold one rather than wait", () => {
            addWorkers("1a");
            cool("1a");
            add("job");
            expect(placesOf("job")).to.deep.equal(["1a"]);
        });

        it("places a gang that needs one rack in the rack with the fewest cold ones", () => {
            addWorkers("1a", "1b", "2a", "2b", "2c");
            add("gang", { count: 2, gang: true, sameRack: true, resources: WHOLE });
            expect(placesOf("gang")).to.deep.equal(["1a", "1b"]);
            cool("1a");
            expect(placesOf("gang")).to.deep.equal(["2a", "2b"]);
        });
    });
});
