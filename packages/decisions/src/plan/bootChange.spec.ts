import { expect } from "chai";
import {
    bootOf,
    descriptionOf,
    jobOf,
    recordedOf,
    reportOf,
    stepOf,
} from "@tanagerdeck/standins/plan/planFixture";
import { groupProgress } from "../job/progressChange.ts";
import type { EndedTask } from "../worker/workerReport.ts";
import { addJob, createClusterState, getOrAddWorker, type ClusterState } from "./clusterState.ts";
import { applyReport } from "./planReport.ts";

const GROUP = "0.0.0";

describe("reports of a worker that starts again under its id", () => {
    const nextBoot = bootOf("i-a", 9_000);
    const done: EndedTask = { number: 1, task: "j.0.0.0", run: 1, end: "done" };
    let cluster: ClusterState;

    beforeEach(() => {
        cluster = createClusterState();
    });

    /** Adds a job whose only task is placed on a boot of the worker. */
    function addPlacedJob(boot: typeof nextBoot): void {
        const placements = [{ index: 0, worker: "a", boot }];
        const progress = {
            begun: true,
            groups: { [GROUP]: { phase: "placed" as const, run: 1, placements, failures: 0, failedRun: 0 } },
        };
        addJob(cluster, jobOf("j", [stepOf()]), recordedOf(progress), 0);
    }

    function phase(): string {
        return groupProgress(cluster.jobs.get("j")!.progress, GROUP).phase;
    }

    // Guards against ends that are acknowledged unread, as the former boot had ends with the same numbers.
    it("are read from the first end on if the former boot was never described", () => {
        const worker = getOrAddWorker(cluster, "a", 0);
        const formerEnd: EndedTask = { number: 1, task: "k.0.0.0", run: 1, end: "done" };
        applyReport(cluster, worker, reportOf(undefined, { ended: [formerEnd] }), 0);
        addPlacedJob(nextBoot);
        applyReport(
            cluster,
            worker,
            reportOf(descriptionOf("a", { boot: nextBoot }), { ended: [done] }),
            100,
        );
        expect(phase()).to.equal("done");
    });
});
