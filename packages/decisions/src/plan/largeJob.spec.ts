import { expect } from "chai";
import { descriptionOf, jobOf, reportOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { MAX_TASKS } from "../job/jobSize.ts";
import { groupProgress } from "../job/progressChange.ts";
import { scheduleRound } from "../schedule/schedulingRound.ts";
import type { RunningTask, SyncReport } from "../worker/workerReport.ts";
import {
    addJob,
    createClusterState,
    getOrAddWorker,
    type ClusterState,
    type JobEntry,
} from "./clusterState.ts";
import { buildOrders } from "./planOrders.ts";
import { applyReport } from "./planReport.ts";
import { MAX_STARTING_TASKS } from "./planPace.ts";
import { applyDecision, buildRoundInput } from "./planRound.ts";
import { closeStalled, closeStuckStarts } from "./stallDetection.ts";

/** Guards against a job of many tasks that makes rounds longer than the leader's lease, so that nothing is planned. */
describe("a job of many tasks", () => {
    /** A leader that does not renew its lease for this long stops acting. */
    const LEASE_LIMIT_MS = 1_000;
    const WORKERS = ["a", "b", "c", "d", "e"];
    const TINY = { cpuMillis: 1, memoryMb: 1, gpus: 0 };
    let cluster: ClusterState;
    let now: number;
    let longestMs: number;

    beforeEach(() => {
        cluster = createClusterState();
        now = 0;
        longestMs = 0;
        for (const name of WORKERS) {
            applyReport(cluster, getOrAddWorker(cluster, name, now), reportOf(descriptionOf(name)), now);
        }
    });

    function measure<T>(work: () => T): T {
        const startedAt = performance.now();
        const result = work();
        longestMs = Math.max(longestMs, performance.now() - startedAt);
        return result;
    }

    /** One round of the leader, up to the orders; returns the number of placements by job. */
    function playRound(): Map<string, number> {
        const placed = new Map<string, number>();
        measure(() => {
            const input = buildRoundInput(cluster, {
                now,
                wallMs: now,
                termsOf: entry => entry.job.terms,
                guaranteedGpus: () => 0,
                farFactor: 3,
            });
            for (const decision of scheduleRound(input)) {
                applyDecision(cluster, decision, now);
                if (decision.kind === "place") {
                    placed.set(decision.job, (placed.get(decision.job) ?? 0) + decision.places.length);
                }
            }
            for (const entry of cluster.jobs.values()) {
                entry.recordedVersion = entry.version;
            }
            for (const worker of cluster.workers.values()) {
                buildOrders(cluster, worker);
            }
            closeStuckStarts(cluster, now);
            closeStalled(cluster, now);
        });
        return placed;
    }

    /** Each worker reports its placements of the job as running, or as ended. */
    function reportAll(entry: JobEntry, end?: "done"): void {
        for (const [name, worker] of cluster.workers) {
            const running: RunningTask[] = [];
            for (const [key, { placements, run }] of Object.entries(entry.progress.groups)) {
                for (const { index, worker: placedAt } of placements) {
                    const occurrenceAndStep = key.split(".").slice(0, 2).join(".");
                    const task = `${entry.job.id}.${occurrenceAndStep}.${index}`;
                    running.push(...(placedAt === name ? [{ task, run, percent: 1 }] : []));
                }
            }
            const first = Math.max(0, ...worker.reportedEnds.keys()) + 1;
            const changes: Partial<SyncReport> = end
                ? {
                      ended: running.map(({ task, run }, position) => ({
                          task,
                          run,
                          end,
                          number: first + position,
                      })),
                  }
                : { running };
            const report = { ...reportOf(descriptionOf(name)), ...changes };
            measure(() => applyReport(cluster, worker, report, now));
        }
    }

    function tinyStep(count: number, changes: Parameters<typeof stepOf>[0] = {}) {
        return stepOf({ count, resources: TINY, ...changes });
    }

    it("takes bounded rounds, in which the other jobs start too", () => {
        const large = addJob(cluster, jobOf("large", [tinyStep(MAX_TASKS)]), undefined, now);
        addJob(cluster, jobOf("other", [stepOf()]), undefined, now);
        let placed = playRound();
        expect(placed.get("other")).to.equal(1);
        for (let round = 0; round < 8; round++) {
            expect(placed.get("large")).to.equal(MAX_STARTING_TASKS);
            reportAll(large);
            now += 100;
            placed = playRound();
        }
        expect(longestMs).to.be.below(LEASE_LIMIT_MS);
    });

    it("takes bounded rounds if all occurrences of its schedule are due at once", () => {
        const schedule = { firstDueMs: -MAX_TASKS, intervalMs: 1, occurrences: MAX_TASKS };
        addJob(cluster, jobOf("large", [tinyStep(1)], { schedule }), undefined, now);
        expect(playRound().get("large")).to.equal(MAX_STARTING_TASKS);
        expect(longestMs).to.be.below(LEASE_LIMIT_MS);
    });

    it("places no more tasks of a job than may be starting at once", () => {
        const large = addJob(cluster, jobOf("large", [tinyStep(2_000)]), undefined, now);
        expect(playRound().get("large")).to.equal(MAX_STARTING_TASKS);
        expect(playRound().get("large")).to.equal(undefined);
        reportAll(large);
        expect(playRound().get("large")).to.equal(MAX_STARTING_TASKS);
    });

    it("starts a step that finds room although another one finds none", () => {
        for (const changes of [{}, { gang: true }]) {
            const blocked = tinyStep(2_000, { requiredLabel: "nowhere", ...changes });
            const id = `large-${Object.keys(changes).length}`;
            addJob(cluster, jobOf(id, [blocked, tinyStep(2_000)]), undefined, now);
            let placed = 0;
            for (let round = 0; round < 2; round++) {
                placed += playRound().get(id) ?? 0;
                now += 100;
            }
            expect(placed).to.be.above(100);
        }
    });

    it("reaches its end, with steps that depend on each other", () => {
        const steps = [tinyStep(2_000), tinyStep(2_000, { after: [0] })];
        const large = addJob(cluster, jobOf("large", steps), undefined, now);
        for (let round = 0; round < 40 && large.index.unfinished > 0; round++) {
            playRound();
            reportAll(large);
            const isSecondStepPlaced = [...large.runs.keys()].some(key => key.startsWith("0.1."));
            expect(isSecondStepPlaced && (large.index.unfinishedOfStep.get("0.0") ?? 0) > 0).to.equal(false);
            reportAll(large, "done");
            now += 100;
        }
        expect(large.index.unfinished).to.equal(0);
        expect(groupProgress(large.progress, "0.1.1999").phase).to.equal("done");
        expect(longestMs).to.be.below(LEASE_LIMIT_MS);
    });

    it("is a gang whose rounds, reports and ends stay short", () => {
        const gang = addJob(cluster, jobOf("gang", [tinyStep(20_000, { gang: true })]), undefined, now);
        expect(playRound().get("gang")).to.equal(20_000);
        reportAll(gang);
        playRound();
        reportAll(gang, "done");
        expect(gang.index.unfinished).to.equal(0);
        expect(gang.runs.size).to.equal(0);
        expect(longestMs).to.be.below(LEASE_LIMIT_MS);
    });
});
