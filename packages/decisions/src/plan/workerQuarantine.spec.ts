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

    describe("after failures of one group", () => {
        it("does not quarantine the worker, as the group may be at fault", () => {
            fail("a", 0);
            fail("a", 100);
            expect(isQuarantined(faults, false, 200)).to.equal(false);
            expect(countRecentFaults(faults, 200)).to.equal(2);
        });
    });

    describe("after failures of several groups", () => {
        it("quarantines the worker, so that a faulty worker does not use up a job's attempts", () => {
            fail("a", 0);
            fail("b", 100);
            expect(isQuarantined(faults, false, 200)).to.equal(true);
        });

        it("admits one group as a probe once the quarantine has ended", () => {
            fail("a", 0);
            fail("b", 100);
            expect(isQuarantined(faults, false, 1_200)).to.equal(false);
            expect(isQuarantined(faults, true, 1_200)).to.equal(true);
        });

        it("extends the quarantine when the probe fails, up to a limit", () => {
            fail("a", 0);
            fail("b", 100);
            fail("c", 1_200);
            expect(isQuarantined(faults, false, 3_000)).to.equal(true);
            for (const source of ["d", "e", "f", "g", "h"]) {
                fail(source, 4_000);
            }
            expect(isQuarantined(faults, false, 11_900)).to.equal(true);
            expect(isQuarantined(faults, false, 12_100)).to.equal(false);
        });

        it("forgets faults after a time without failures", () => {
            fail("a", 0);
            fail("b", 100);
            expect(countRecentFaults(faults, 11_000)).to.equal(0);
            expect(isQuarantined(faults, true, 31_000)).to.equal(false);
        });
    });

    describe("after a stall", () => {
        it("quarantines the worker at once, as a stalled run costs seconds", () => {
            fail("a", 0, true);
            expect(isQuarantined(faults, false, 500)).to.equal(true);
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
