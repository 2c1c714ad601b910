import { expect } from "chai";
import {
    isQuarantineAllowed,
    isQuarantined,
    countRecentFaults,
    withFault,
    type WorkerFault,
} from "./workerQuarantine.ts";

describe("worker quarantine", () => {
    let faults: WorkerFault[];

    beforeEach(() => {
        faults = [];
    });

    function fail(failedGroup: string, at: number, isStall = false): void {
        faults = withFault(faults, { at, failedGroup, isStall });
    }

    /** Whether the worker is quarantined while much of its service is in use. */
    function isOut(hasTasks: boolean, now: number): boolean {
        return isQuarantined(faults, { hasTasks, isServiceIdle: false }, now);
    }

    describe("after failures of one group", () => {
        it("does not quarantine the worker, as the group may be at fault", () => {
            fail("a", 0);
            fail("a", 100);
            expect(isOut(false, 200)).to.equal(false);
            expect(countRecentFaults(faults, 200)).to.equal(2);
        });
    });

    describe("after failures of several groups", () => {
        it("quarantines the worker, so that a faulty worker does not use up a job's attempts", () => {
            fail("a", 0);
            fail("b", 100);
            expect(isOut(false, 200)).to.equal(true);
        });

        it("admits one group as a probe once the quarantine has ended", () => {
            fail("a", 0);
            fail("b", 100);
            expect(isOut(false, 1_200)).to.equal(false);
            expect(isOut(true, 1_200)).to.equal(true);
        });

        it("extends the quarantine when the probe fails, up to a limit", () => {
            fail("a", 0);
            fail("b", 100);
            fail("c", 1_200);
            expect(isOut(false, 3_000)).to.equal(true);
            for (const source of ["d", "e", "f", "g", "h"]) {
                fail(source, 4_000);
            }
            expect(isOut(false, 11_900)).to.equal(true);
            expect(isOut(false, 12_100)).to.equal(false);
        });

        it("forgets faults after a time without failures", () => {
            fail("a", 0);
            fail("b", 100);
            expect(countRecentFaults(faults, 11_000)).to.equal(0);
            expect(isOut(true, 31_000)).to.equal(false);
        });
    });

    describe("in a service of which little is in use", () => {
        // Guards against a task that is bound to one worker and waits for the end of a long quarantine.
        it("ends within two seconds of the last failure, also while a task runs there", () => {
            for (const source of ["a", "b", "c", "d", "e", "f"]) {
                fail(source, 0);
            }
            for (const hasTasks of [false, true]) {
                const load = { hasTasks, isServiceIdle: true };
                expect(isQuarantined(faults, load, 1_900)).to.equal(true);
                expect(isQuarantined(faults, load, 2_000)).to.equal(false);
            }
            expect(isOut(false, 2_000)).to.equal(true);
        });
    });

    describe("after a stall", () => {
        it("quarantines the worker at once, as a stalled run costs seconds", () => {
            fail("a", 0, true);
            expect(isOut(false, 500)).to.equal(true);
        });
    });

    describe("when many workers fail", () => {
        it("lifts the quarantine, as tasks that always fail would otherwise quarantine all workers", () => {
            expect(isQuarantineAllowed(1, 2)).to.equal(true);
            expect(isQuarantineAllowed(3, 11)).to.equal(true);
            expect(isQuarantineAllowed(4, 11)).to.equal(false);
        });
    });
});
