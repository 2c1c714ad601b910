import { expect } from "chai";
import {
    isQuarantineAllowed,
    isQuarantined,
    countRecentFaults,
    withFault,
    type WorkerFault,
} from "./workerQuarantine.ts";

describe("the trust in a worker", () => {
    let faults: WorkerFault[];

    beforeEach(() => {
        faults = [];
    });

    function fail(source: string, at: number, isStall = false): void {
        faults = withFault(faults, { at, failedGroup: source, isStall });
    }

    describe("after failures of one group", () => {
        it("stays open, as the group may be at fault", () => {
            fail("a", 0);
            fail("a", 100);
            expect(isQuarantined(faults, false, 200)).to.equal(false);
            expect(countRecentFaults(faults, 200)).to.equal(2);
        });
    });

    describe("after failures of several groups", () => {
        it("is quarantined, so that a worker that fails everything does not use up a job's attempts", () => {
            fail("a", 0);
            fail("b", 100);
            expect(isQuarantined(faults, false, 200)).to.equal(true);
        });

        it("gets one group as a probe once the quarantine has ended", () => {
            fail("a", 0);
            fail("b", 100);
            expect(isQuarantined(faults, false, 1_200)).to.equal(false);
            expect(isQuarantined(faults, true, 1_200)).to.equal(true);
        });

        it("is quarantined for longer when the probe fails, but never for good", () => {
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

        it("is trusted again after a while without failures", () => {
            fail("a", 0);
            fail("b", 100);
            expect(countRecentFaults(faults, 11_000)).to.equal(0);
            expect(isQuarantined(faults, true, 31_000)).to.equal(false);
        });
    });

    describe("after a stall", () => {
        it("is quarantined at once, as a run that stands still costs seconds", () => {
            fail("a", 0, true);
            expect(isQuarantined(faults, false, 500)).to.equal(true);
        });
    });

    describe("when many workers fail", () => {
        it("does not count, as tasks that can never be done would empty the fleet", () => {
            expect(isQuarantineAllowed(1, 2)).to.equal(true);
            expect(isQuarantineAllowed(3, 11)).to.equal(true);
            expect(isQuarantineAllowed(4, 11)).to.equal(false);
        });
    });
});
