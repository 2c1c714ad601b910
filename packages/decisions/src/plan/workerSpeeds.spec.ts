import { expect } from "chai";
import { descriptionOf, jobOf, reportOf, resourcesOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import type { QueueTerms, Step } from "../job/jobTypes.ts";
import type { Decision } from "../schedule/scheduleTypes.ts";
import { scheduleRound, type RoundInput } from "../schedule/schedulingRound.ts";
import { addJob, createClusterState, getOrAddWorker, type ClusterState } from "./clusterState.ts";
import { applyReport } from "./planReport.ts";
import { applyDecision, buildRoundInput } from "./planRound.ts";

describe("the plan for workers of unequal speed", () => {
    const URGENT = { priority: 0, attempts: 2, stretch: 1.5, latencyTargetMs: 400 };
    const LARGE = { priority: 2, attempts: 2, stretch: 3, latencyTargetMs: 3_000 };
    const WHOLE = resourcesOf(64, 8);
    /** Slow, normal and fast workers in turn. Rack r0 is the smallest, and its workers are slow. */
    const SPEEDS = new Map([
        ["w0", 0.6],
        ["w1", 1],
        ["w2", 1.6],
        ["w3", 0.6],
        ["w4", 1],
        ["w5", 1.6],
        ["w6", 1],
        ["w7", 1.6],
    ]);
    const RACKS = new Map([
        ["w0", "r0"],
        ["w1", "r1"],
        ["w2", "r2"],
        ["w3", "r0"],
        ["w4", "r2"],
        ["w5", "r2"],
        ["w6", "r1"],
        ["w7", "r1"],
    ]);
    let cluster: ClusterState;
    let now: number;

    beforeEach(() => {
        cluster = createClusterState();
        now = 0;
    });

    function report(name: string, running: { task: string; run: number; percent: number }[] = []): void {
        const description = descriptionOf(name, { rack: RACKS.get(name) });
        applyReport(cluster, getOrAddWorker(cluster, name, now), reportOf(description, { running }), now);
    }

    function add(id: string, step: Partial<Step>, terms: QueueTerms): void {
        addJob(cluster, jobOf(id, [stepOf(step)], { terms, acceptedAtMs: now }), undefined, now);
    }

    /** Four tasks of a step run on each worker, as fast as `speedOf` says, until nearly half of the estimate has passed. */
    function learn(speedOf: (worker: string) => number): void {
        for (const name of SPEEDS.keys()) {
            report(name);
        }
        add("past", { count: 32, estimateMs: 8_000 }, LARGE);
        const workers = [...SPEEDS.keys()];
        const placed = new Map<string, string[]>(workers.map(name => [name, []]));
        for (const [position, group] of cluster.jobs.get("past")!.groups.entries()) {
            const worker = workers[position % workers.length]!;
            placed.get(worker)!.push(`past.0.0.${position}`);
            const places = [{ index: position, worker }];
            applyDecision(
                cluster,
                { kind: "place", job: "past", group: group.key, places, isFar: false },
                now,
            );
        }
        for (const share of [0, 0.25, 0.45]) {
            now = 8_000 * share;
            for (const [name, tasks] of placed) {
                const percent = share * 100 * speedOf(name);
                report(
                    name,
                    tasks.map(task => ({ task, run: 1, percent })),
                );
            }
        }
    }

    function input(): RoundInput {
        for (const worker of cluster.workers.values()) {
            worker.lastReportAt = now;
        }
        return buildRoundInput(cluster, {
            now,
            wallMs: now,
            guaranteedGpus: () => 0,
            farFactor: 3,
            termsOf: entry => entry.job.terms,
        });
    }

    function workersFor(job: string): string[] | undefined {
        const isPlaced = (one: Decision) => one.kind === "place" && one.job === job;
        const decision = scheduleRound(input()).find(isPlaced);
        return decision?.kind === "place" ? decision.places.map(({ worker }) => worker).sort() : undefined;
    }

    const trueSpeed = (worker: string) => SPEEDS.get(worker)!;
    const GANG: Partial<Step> = { gang: true, estimateMs: 3_000, resources: resourcesOf(15, 4) };

    // Guards against an urgent gang that runs at the pace of one slow worker and so misses its objective.
    it("gives an urgent gang workers that are fast enough for its objective", () => {
        learn(trueSpeed);
        add("urgent", { ...GANG, count: 5 }, URGENT);
        const speeds = workersFor("urgent")!.map(trueSpeed);
        expect(Math.min(...speeds)).to.be.at.least(1);
    });

    it("places a large batch as it does where all workers are alike", () => {
        const step = { ...GANG, count: 5, estimateMs: 10_000 };
        learn(() => 1);
        add("large", step, LARGE);
        const alike = workersFor("large");
        cluster = createClusterState();
        now = 0;
        learn(trueSpeed);
        add("large", step, LARGE);
        expect(workersFor("large")).to.deep.equal(alike);
    });

    it("starts an urgent gang at once although the fast workers have no room for all of it", () => {
        learn(trueSpeed);
        add("urgent", { ...GANG, count: 7 }, URGENT);
        const speeds = workersFor("urgent")!.map(trueSpeed);
        expect(speeds.filter(speed => speed < 1)).to.have.length(1);
    });

    // Guards against the choice of the rack with the fewest slots although a part of it is too slow.
    it("avoids a rack with a slow worker for an urgent gang within one rack", () => {
        learn(trueSpeed);
        add("urgent", { ...GANG, count: 2, sameRack: true, resources: resourcesOf(15, 3) }, URGENT);
        const speeds = workersFor("urgent")!.map(trueSpeed);
        expect(Math.min(...speeds)).to.be.at.least(1);
    });

    it("expects a run without progress to end later on a slow worker", () => {
        learn(trueSpeed);
        add("next", { count: 2, estimateMs: 6_000 }, LARGE);
        const groups = cluster.jobs.get("next")!.groups;
        for (const [index, worker] of ["w0", "w2"].entries()) {
            const group = groups[index]!.key;
            const places = [{ index, worker }];
            applyDecision(cluster, { kind: "place", job: "next", group, places, isFar: false }, now);
        }
        const ends = input().placed.filter(({ job }) => job.id === "next");
        expect(ends[0]!.remainingMs).to.be.above(7_500);
        expect(ends[1]!.remainingMs).to.be.below(4_800);
    });

    it("needs slow workers to be avoided only by groups whose objective demands it", () => {
        learn(trueSpeed);
        add("small", { count: 1, resources: WHOLE }, LARGE);
        add("urgent", { count: 1, estimateMs: 3_000, resources: resourcesOf(1, 1) }, URGENT);
        const needed = new Map(input().waiting.map(({ job, neededSpeed }) => [job.id, neededSpeed!]));
        expect(needed.get("small")).to.be.below(0.6);
        expect(needed.get("urgent")).to.be.within(0.6, 1);
    });
});
