import { expect } from "chai";
import { indexPlacement } from "../placement/placementIndex.ts";
import type { AcceleratorState } from "../fleet/reportTypes.ts";
import type { WorkerView } from "../placement/placementTypes.ts";
import { dispatchRound, type RoundInput } from "./dispatchRound.ts";
import { AGEING_MS, orderJobs, PROMOTION_MS } from "./jobOrder.ts";
import type { RunTimes, WaitingJob } from "./queueTypes.ts";
import { conservativeRunMs, expectedEndMs, recordRun } from "./runTimes.ts";

const SECOND_MS = 1_000;
const NOW = 10 * PROMOTION_MS;

function jobOf(id: string, changes: Partial<WaitingJob> = {}): WaitingJob {
    return {
        id,
        clientAccount: "routes",
        kind: id,
        priority: "normal",
        shape: { span: "worker", accelerators: 1 },
        acceptedAtMs: NOW,
        limitMs: 100 * SECOND_MS,
        ...changes,
    };
}

function orderOf(jobs: WaitingJob[], weights = { completionTime: 1, fragmentation: 0 }): string[] {
    const runTimes: RunTimes = { short: [SECOND_MS], long: [90 * SECOND_MS] };
    const shares = new Map([
        ["routes", { inUse: 8, weight: 1 }],
        ["scans", { inUse: 8, weight: 3 }],
    ]);
    return orderJobs(jobs, { nowMs: NOW, runTimes, weights, shares }).map(({ id }) => id);
}

describe("queue", () => {
    describe("order", () => {
        it("guards against urgent work that waits behind aged batch work", () => {
            const aged = jobOf("aged", { priority: "batch", acceptedAtMs: 0 });
            expect(orderOf([aged, jobOf("urgent", { priority: "urgent" })])).to.deep.equal([
                "urgent",
                "aged",
            ]);
        });

        it("guards against batch work that waits behind normal work for ever", () => {
            const aged = jobOf("aged", { priority: "batch", acceptedAtMs: NOW - PROMOTION_MS });
            const young = jobOf("young", { priority: "batch" });
            expect(orderOf([young, jobOf("normal"), aged])).to.deep.equal(["aged", "normal", "young"]);
        });

        it("guards against weights that do not change the order", () => {
            const large = jobOf("long", { shape: { span: "rack", accelerators: 8 } });
            const jobs = [large, jobOf("short")];
            expect(orderOf(jobs)).to.deep.equal(["short", "long"]);
            expect(orderOf(jobs, { completionTime: 0, fragmentation: 1 })).to.deep.equal(["long", "short"]);
        });

        it("guards against an account that takes more than its weight", () => {
            const other = jobOf("b", { clientAccount: "scans" });
            expect(orderOf([jobOf("a"), other])).to.deep.equal(["b", "a"]);
        });

        it("guards against a long job that newer short jobs pass for ever", () => {
            const old = jobOf("long", { acceptedAtMs: NOW - 3 * AGEING_MS });
            expect(orderOf([jobOf("short", { clientAccount: "scans" }), old])[0]).to.equal("long");
        });
    });

    describe("run times", () => {
        it("guards against trusting a limit or a declared time after runs have finished", () => {
            let runTimes: RunTimes = {};
            expect(conservativeRunMs(runTimes, jobOf("short"))).to.equal(100 * SECOND_MS);
            for (const seconds of [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]) {
                runTimes = recordRun(runTimes, "short", seconds * SECOND_MS);
            }
            expect(conservativeRunMs(runTimes, jobOf("short"))).to.equal(10 * SECOND_MS);
        });

        it("guards against an expected end in the past", () => {
            const gang = { id: "g", kind: "short", members: [], startedAtMs: 0, limitMs: 100 * SECOND_MS };
            const runTimes = { short: [SECOND_MS, 2 * SECOND_MS, 50 * SECOND_MS] };
            expect(expectedEndMs(runTimes, gang, 0)).to.equal(2 * SECOND_MS);
            expect(expectedEndMs(runTimes, gang, 10 * SECOND_MS)).to.equal(50 * SECOND_MS);
            expect(expectedEndMs(runTimes, gang, 60 * SECOND_MS)).to.equal(100 * SECOND_MS);
        });
    });

    describe("backfill", () => {
        const document = {
            environment: "test",
            clientAccounts: ["routes", "forecasts"].map(name => ({
                name,
                tokenDigests: [],
                guarantees: [],
                quota: { accelerators: 8, requestsPerSecond: 1, waiting: 1 },
                weight: 1,
            })),
            kinds: [],
            racks: [{ name: "a", availabilityZone: "arima", workers: 2, acceleratorsPerWorker: 4 }],
            weights: { completionTime: 1, fragmentation: 1 },
            whenPlatformUnreachable: "serve" as const,
        };
        const runTimes = {
            blocker: [50 * SECOND_MS],
            small: Array.from({ length: 9 }, () => 10 * SECOND_MS),
        };
        const large = jobOf("large", {
            clientAccount: "forecasts",
            shape: { span: "rack", accelerators: 8 },
        });

        function workerOf(slot: number, state: AcceleratorState): WorkerView {
            const accelerators = Array.from({ length: 4 }, () => state);
            const place = { rack: "a", slot, availabilityZone: "arima" };
            return { agent: `a-${slot}`, address: "", ...place, accelerators, usable: true };
        }

        /** Input in which the large gang is planned to start in 50 s, the expected end of the task on worker 0. */
        function roundOf(waiting: WaitingJob[]): RoundInput {
            const blocker = { id: "blocker", kind: "blocker", startedAtMs: NOW, limitMs: 100 * SECOND_MS };
            return {
                nowMs: NOW,
                waiting,
                running: [{ ...blocker, members: [{ rack: "a", slot: 0, indexes: [0, 1, 2, 3] }] }],
                workers: [
                    workerOf(0, { kind: "used", clientAccount: "scans", reclaimable: true }),
                    workerOf(1, { kind: "free" }),
                ],
                index: indexPlacement({ document, bindings: [] }),
                runTimes,
                accountWeights: new Map([["routes", 1]]),
            };
        }

        function startedWithPlan(changes: Partial<WaitingJob>): string[] {
            const { plan } = dispatchRound(roundOf([large]));
            expect(plan).to.include({ job: "large", startMs: NOW + 50 * SECOND_MS });
            const small = jobOf("small", changes);
            return dispatchRound({ ...roundOf([large, small]), plan }).starts.map(({ job }) => job.id);
        }

        it("guards against refusing to backfill a job that ends before the planned start", () => {
            expect(startedWithPlan({})).to.deep.equal(["small"]);
        });

        it("guards against backfilling a job that is expected to end after the planned start", () => {
            expect(startedWithPlan({ kind: "unknown" })).to.deep.equal([]);
        });

        it("guards against a wrong run time estimate that delays the gang by more than its planned wait", () => {
            expect(startedWithPlan({ limitMs: 101 * SECOND_MS })).to.deep.equal([]);
        });

        it("guards against urgent work that waits behind the planned placement of a gang", () => {
            expect(startedWithPlan({ kind: "unknown", priority: "urgent" })).to.deep.equal(["small"]);
        });

        it("guards against jobs of the gang's account that use up the quota that the gang needs", () => {
            const small = jobOf("small", { clientAccount: "forecasts" });
            const free = workerOf(2, { kind: "free" });
            const { plan } = dispatchRound(roundOf([large]));
            const input = { ...roundOf([large, { ...small, limitMs: 1_000 * SECOND_MS }]), plan };
            input.index = indexPlacement({
                document: { ...document, racks: [{ ...document.racks[0]!, workers: 3 }] },
                bindings: [],
            });
            input.workers = [
                ...input.workers,
                { ...free, usable: true, accelerators: free.accelerators.slice(0, 1) },
            ];
            expect(dispatchRound(input).starts).to.deep.equal([]);
        });

        it("guards against a round without a limit of starts, and against losing the jobs beyond the limit", () => {
            const jobs = ["a", "b", "c"].map(id => jobOf(id));
            const first = dispatchRound({ ...roundOf(jobs), maxStarts: 2 });
            expect(first.starts.map(({ job }) => job.id)).to.deep.equal(["a", "b"]);
            expect(first.isComplete).to.equal(false);
            const second = dispatchRound({ ...roundOf([jobs[2]!]), maxStarts: 2 });
            expect(second).to.include({ isComplete: true });
            expect(second.starts.length).to.equal(1);
        });

        it("guards against planning a placement for a job without quota, which would block others", () => {
            const round = roundOf([large, jobOf("small", { limitMs: 1_000 * SECOND_MS })]);
            round.workers[0] = workerOf(0, { kind: "used", clientAccount: "forecasts", reclaimable: true });
            const { starts, plan } = dispatchRound(round);
            expect(starts.map(({ job }) => job.id)).to.deep.equal(["small"]);
            expect(plan).to.equal(undefined);
        });
    });
});
