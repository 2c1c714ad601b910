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
import { buildOrders } from "./planOrders.ts";
import { applyReport } from "./planReport.ts";

const GROUP = "0.0.0";

describe("reports of a worker that starts again under its id", () => {
    const formerBoot = bootOf("i-a", 1_000);
    const nextBoot = bootOf("i-a", 9_000);
    const done: EndedTask = { number: 1, task: "j.0.0.0", run: 1, end: "done" };
    let cluster: ClusterState;

    beforeEach(() => {
        cluster = createClusterState();
    });

    /** Adds a job whose only task is placed on a boot of the worker. */
    function addPlacedJob(boot: typeof formerBoot): void {
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

    // Guards against a task that runs again after its end is acknowledged: a late start ran on the next boot.
    it("end a run that the next boot has started late", () => {
        addPlacedJob(formerBoot);
        const worker = getOrAddWorker(cluster, "a", 0);
        const next = descriptionOf("a", { boot: nextBoot });
        applyReport(cluster, worker, reportOf(next, { ended: [done] }), 0);
        const stops = [{ run: { task: done.task, run: 1 }, state: { kind: "closed" as const } }];
        applyReport(cluster, worker, reportOf(next, { stops }), 100);
        expect(phase()).to.equal("done");
        expect(buildOrders(cluster, worker).recorded).to.deep.equal({ boot: nextBoot, number: 0 });
    });
});
