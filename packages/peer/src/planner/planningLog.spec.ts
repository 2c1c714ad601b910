import { expect } from "chai";
import { addJob, createClusterState } from "@tanagerdeck/decisions/plan/clusterState";
import type { PlanEvent } from "@tanagerdeck/decisions/plan/planReport";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import { noopSchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import { jobOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { createPlanningLog, type PlanningLog } from "./planningLog.ts";

describe("the planning log", () => {
    let clock: ManualClock;
    let log: PlanningLog;
    let delays: number[];
    let lines: Record<string, unknown>[];
    let moves: number;
    const cluster = createClusterState();
    const entry = addJob(cluster, jobOf("j", [stepOf({ count: 2 })]), undefined, 0);

    beforeEach(() => {
        clock = createManualClock();
        delays = [];
        lines = [];
        moves = 0;
        log = createPlanningLog({
            term: 7,
            clock,
            log: { ...noopLog, info: (message, fields) => lines.push({ message, ...fields }) },
            metrics: {
                ...noopSchedulerMetrics,
                endRecorded: seconds => delays.push(seconds),
                groupMoved: () => (moves += 1),
            },
            termsOf: ({ job }) => job.terms,
        });
    });

    function reportEnd(index: number): void {
        entry.version += 1;
        const task = `j.0.0.${index}`;
        const event: PlanEvent = { kind: "ended", job: "j", task, run: 1, worker: "a", detail: "done" };
        log.events(cluster, [event]);
    }

    describe("when ends are recorded", () => {
        // Guards against a repeat of done work after a power loss that no line of the log explains.
        it("tells how long after its report each end was stored", async () => {
            reportEnd(0);
            await clock.advance(40);
            reportEnd(1);
            entry.recordedVersion = entry.version - 1;
            log.recorded(cluster, ["j"]);
            expect(delays).to.deep.equal([0.04]);
            await clock.advance(60);
            entry.recordedVersion = entry.version;
            log.recorded(cluster, ["j"]);
            log.recorded(cluster, ["j"]);
            expect(delays).to.deep.equal([0.04, 0.06]);
            const recorded = lines.filter(({ message }) => message === "The ends of runs are recorded.");
            expect(recorded.map(({ task, ends, delayMs }) => ({ task, ends, delayMs }))).to.deep.equal([
                { task: "j.0.0.0", ends: 1, delayMs: 40 },
                { task: "j.0.0.1", ends: 1, delayMs: 60 },
            ]);
        });
    });

    describe("when a group is moved", () => {
        // Guards against moves that an operator can neither count nor tell from other stops.
        it("counts the move and says how long the worker and the run would have lasted", () => {
            const [group] = entry.groups;
            const value = { fullValue: 1, runMs: 1, workCoreSeconds: 1, objectiveAtMs: 1, zeroValueAtMs: 2 };
            const terms = { isGuaranteed: false, isClosing: false, priority: 1, value };
            const times = { remainingMs: 9_000.4, leavesInMs: 1_599.6, lostCoreSeconds: 1, lostMs: 1 };
            const placed = [{ job: entry.job, group: group!, workers: ["a", "b"], ...terms, ...times }];
            log.decision(
                cluster,
                { kind: "move", job: "j", group: group!.key },
                { nowMs: 0, workers: [], waiting: [], placed, farFactor: 3 },
            );
            expect(moves).to.equal(1);
            expect(lines).to.deep.equal([
                {
                    message: "A group is moved from a worker that leaves.",
                    term: 7,
                    job: "j",
                    group: group!.key,
                    workers: "a b",
                    leftMs: 1_600,
                    expectedMs: 9_000,
                },
            ]);
        });
    });
});
