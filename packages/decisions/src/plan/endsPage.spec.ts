import { expect } from "chai";
import { descriptionOf, jobOf, recordedOf, reportOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { groupProgress } from "../job/progressChange.ts";
import type { EndedTask, SyncReport } from "../worker/workerReport.ts";
import { addJob, createClusterState, getOrAddWorker, type ClusterState } from "./clusterState.ts";
import { buildOrders } from "./planOrders.ts";
import { applyReport } from "./planReport.ts";
import { closeStalled, closeStuckStarts, closeUnlisted } from "./stallDetection.ts";

const GROUP = "0.0.0";
const LONG_MS = 600_000;

/** Guards against TWICE: a worker lists 500 ends at a time, so a run that it does not list may have ended behind them. */
describe("a run that is not listed", () => {
    const page = Array.from({ length: 500 }, (_, index): EndedTask => ({
        number: index + 1,
        task: `k.0.0.${index}`,
        run: 1,
        end: "done",
    }));
    let cluster: ClusterState;

    /** A new leader loads a job whose only task is placed. */
    beforeEach(() => {
        cluster = createClusterState();
        const { boot } = descriptionOf("a");
        const placements = [{ index: 0, worker: "a", boot }];
        const progress = {
            begun: true,
            groups: { [GROUP]: { phase: "placed" as const, run: 1, placements, failures: 0, failedRun: 0 } },
        };
        addJob(cluster, jobOf("j", [stepOf()]), recordedOf(progress), 0);
        getOrAddWorker(cluster, "a", 0);
    });

    function report(lists: Partial<SyncReport>, now: number, isKnown = true): void {
        const description = isKnown ? descriptionOf("a") : undefined;
        applyReport(cluster, getOrAddWorker(cluster, "a", 0), reportOf(description, lists), now);
    }

    function phaseAfterChecks(now: number): string {
        closeUnlisted(cluster);
        closeStuckStarts(cluster, now);
        closeStalled(cluster, now);
        return groupProgress(cluster.jobs.get("j")!.progress, GROUP).phase;
    }

    describe("by a worker that has more ends", () => {
        it("is kept while the page is full", () => {
            report({ running: [{ task: "j.0.0.0", run: 1, percent: 9 }] }, 0);
            report({ ended: page }, LONG_MS);
            expect(phaseAfterChecks(LONG_MS)).to.equal("placed");
        });

        it("is kept while a part of the page is acknowledged already", () => {
            report({ running: [{ task: "j.0.0.0", run: 1, percent: 9 }] }, 0);
            report({ ended: page.slice(400), hasMoreEnds: true }, LONG_MS);
            expect(phaseAfterChecks(LONG_MS)).to.equal("placed");
        });

        it("is kept by a new leader, which has never seen it run", () => {
            report({ ended: page }, 0);
            report({ ended: page }, LONG_MS);
            expect(phaseAfterChecks(LONG_MS)).to.equal("placed");
        });
    });

    // Guards against starts of tasks that have ended, which the worker refuses, so that the runs are closed.
    describe("and would be started again", () => {
        function startedTasks(): string[] {
            return buildOrders(cluster, getOrAddWorker(cluster, "a", 0)).starts.map(({ task }) => task);
        }

        it("gets no start while its end may be behind the page", () => {
            report({ ended: page }, 0);
            expect(startedTasks()).to.deep.equal([]);
            report({ ended: page.slice(400), hasMoreEnds: true }, 100);
            expect(startedTasks()).to.deep.equal([]);
        });

        it("gets one when the worker lists all its ends", () => {
            report({ ended: page.slice(0, 499), hasMoreEnds: false }, 0);
            expect(startedTasks()).to.deep.equal(["j.0.0.0"]);
        });
    });

    describe("by an agent that does not know its worker yet", () => {
        it("is kept", () => {
            report({ running: [{ task: "j.0.0.0", run: 1, percent: 9 }] }, 0);
            report({}, LONG_MS, false);
            expect(phaseAfterChecks(LONG_MS)).to.equal("placed");
        });
    });

    describe("by an agent that has not reported to a new leader", () => {
        it("is kept", () => {
            expect(phaseAfterChecks(LONG_MS)).to.equal("placed");
        });
    });

    describe("by a worker that lists all its ends", () => {
        it("is closed", () => {
            report({ running: [{ task: "j.0.0.0", run: 1, percent: 9 }] }, 0);
            report({ ended: page.slice(0, 499), hasMoreEnds: false }, LONG_MS);
            expect(phaseAfterChecks(LONG_MS)).to.equal("closing");
        });
    });

    it("does not protect a listed run that stalls", () => {
        const running = [{ task: "j.0.0.0", run: 1, percent: 9 }];
        report({ running, ended: page }, 0);
        report({ running, ended: page }, LONG_MS);
        expect(phaseAfterChecks(LONG_MS)).to.equal("closing");
    });
});
