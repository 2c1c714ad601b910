import { expect } from "chai";
import { createInvariantChecker, type InvariantChecker } from "./invariantChecker.ts";
import type { WorkerEvent } from "./taskTypes.ts";

describe("the invariant checker", () => {
    const task = "000000000000000e.0.0.3";
    let checker: InvariantChecker;

    beforeEach(() => {
        checker = createInvariantChecker(() => true);
    });

    function note(kind: WorkerEvent["kind"], run: number, end?: WorkerEvent["end"], worker = "a"): void {
        checker.observe({ kind, task, run, worker, end, atMs: 0 });
    }

    function violatedInvariants(): string[] {
        return checker.violations.map(({ promise }) => promise);
    }

    describe("for a draining worker", () => {
        function startAfterDrainNotice(atMs: number, isLate = false): void {
            checker.observe({ kind: "draining", worker: "a", atMs: 1_000 });
            checker.observe({ kind: "draining", worker: "a", atMs: 2_000 });
            checker.observe({ kind: "started", task, run: 1, worker: "a", atMs, isLate });
        }

        it("reports a start later than the limit after the first acknowledgement", () => {
            startAfterDrainNotice(3_600);
            expect(violatedInvariants()).to.deep.equal(["drained"]);
        });

        it("allows a start within the limit, and one that the worker executed late", () => {
            startAfterDrainNotice(3_400);
            checker.observe({ kind: "ended", task, run: 1, worker: "a", end: "stopped", atMs: 3_500 });
            startAfterDrainNotice(9_000, true);
            expect(violatedInvariants()).to.deep.equal([]);
        });

        it("allows starts after the worker was replaced", () => {
            checker.observe({ kind: "draining", worker: "a", atMs: 0 });
            checker.observe({ kind: "replaced", worker: "a", atMs: 5_000 });
            checker.observe({ kind: "started", task, run: 1, worker: "a", atMs: 9_000 });
            expect(violatedInvariants()).to.deep.equal([]);
        });
    });

    describe("for an evacuated zone", () => {
        function noteZone(kind: "evacuated" | "restored", atMs: number): void {
            checker.observe({ kind, zone: "zone-1", workers: ["a", "b"], atMs });
        }

        function startOn(worker: string, atMs: number, isLate = false): void {
            checker.observe({ kind: "started", task, run: 1, worker, atMs, isLate });
            checker.observe({ kind: "ended", task, run: 1, worker, end: "stopped", atMs });
        }

        it("reports a start on each of its workers later than the limit after the first acknowledgement", () => {
            noteZone("evacuated", 1_000);
            noteZone("evacuated", 3_000);
            startOn("a", 6_001);
            startOn("b", 9_000);
            expect(violatedInvariants()).to.deep.equal(["evacuated", "evacuated"]);
        });

        it("allows a start within the limit, one that the worker executed late, and one in another zone", () => {
            noteZone("evacuated", 1_000);
            startOn("a", 6_000);
            startOn("a", 9_000, true);
            startOn("c", 9_000);
            expect(violatedInvariants()).to.deep.equal([]);
        });

        it("goes on when the worker is replaced", () => {
            noteZone("evacuated", 1_000);
            checker.observe({ kind: "replaced", worker: "a", atMs: 5_000 });
            startOn("a", 6_001);
            expect(violatedInvariants()).to.deep.equal(["evacuated"]);
        });

        it("allows starts after the zone was restored, and counts from the next evacuation", () => {
            noteZone("evacuated", 1_000);
            noteZone("restored", 5_000);
            startOn("a", 6_500);
            noteZone("evacuated", 7_000);
            startOn("a", 12_000);
            expect(violatedInvariants()).to.deep.equal([]);
            startOn("a", 12_001);
            expect(violatedInvariants()).to.deep.equal(["evacuated"]);
        });
    });

    describe("for the runs of one task", () => {
        it("allows a run after a failed one", () => {
            note("started", 1);
            note("ended", 1, "failed");
            note("started", 2);
            note("ended", 2, "done");
            note("recorded", 2, "done");
            expect(violatedInvariants()).to.deep.equal([]);
        });

        it("reports two concurrent runs", () => {
            note("started", 1);
            note("started", 2, undefined, "b");
            expect(violatedInvariants()).to.deep.equal(["once"]);
        });

        it("reports a start after a recorded end as done", () => {
            note("started", 1);
            note("ended", 1, "done");
            note("recorded", 1, "done");
            note("started", 2);
            expect(violatedInvariants()).to.deep.equal(["once"]);
        });

        it("reports a start after an end as done that is recorded later", () => {
            note("started", 1);
            note("ended", 1, "done");
            note("started", 2, undefined, "b");
            note("recorded", 1, "done");
            expect(violatedInvariants()).to.deep.equal(["once"]);
        });

        it("allows a run after an end that was lost in a crash of the worker", () => {
            // Soak seed 125: the worker rebooted before its agent had read the end of the first run.
            note("started", 1);
            note("ended", 1, "done");
            note("started", 2);
            note("ended", 2, "done");
            note("recorded", 2, "done");
            expect(violatedInvariants()).to.deep.equal([]);
        });
    });
});
