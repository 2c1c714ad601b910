import { expect } from "chai";
import { pauseAfterReportMs } from "./reportPace.ts";

/** Guards against reports whose cost grows with the square of the number of tasks on a worker. */
describe("the pause after a report", () => {
    it("is absent for the few tasks that a worker usually runs", () =>
        expect(pauseAfterReportMs(60)).to.equal(0));

    it("grows with the number of rows and stays below the time after which a worker counts as silent", () => {
        expect(pauseAfterReportMs(1_064)).to.be.closeTo(100, 1e-9);
        expect(pauseAfterReportMs(50_000)).to.be.below(1_000);
    });
});
