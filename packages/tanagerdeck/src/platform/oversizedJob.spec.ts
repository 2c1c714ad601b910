import { expect } from "chai";
import { MAX_TASKS } from "@tanagerdeck/decisions/job/jobSize";
import { decodeJob } from "@tanagerdeck/platform/ingress/jobCodec";
import { jobOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { decodeContent, encodeContent } from "@tanagerdeck/store/replica/storedValueCodec";

/** Guards against a job with a number that is too large: the leader, and each successor, ran out of memory. */
describe("a job with more tasks than the leader can keep", () => {
    function decode(steps: object[], job: object = {}): boolean {
        return decodeJob("5c0e7a21d94b36f8", JSON.stringify({ spec: "", steps, ...job })).isRight();
    }

    it("is refused when it is submitted", () => {
        expect(decode([{ count: MAX_TASKS }])).to.equal(true);
        expect(decode([{ count: MAX_TASKS + 1 }])).to.equal(false);
        expect(decode([{ count: MAX_TASKS }, { count: 1 }])).to.equal(false);
        expect(decode([{ count: 9e15 }])).to.equal(false);
    });

    it("is refused if its occurrences add up to too many tasks", () => {
        expect(decode([{ count: 5 }], { times: MAX_TASKS / 5 })).to.equal(true);
        expect(decode([{ count: 5 }], { times: MAX_TASKS / 5 + 1 })).to.equal(false);
    });

    it("is left alone if another writer has stored it", () => {
        const oversized = jobOf("j", [stepOf({ count: MAX_TASKS + 1 })]);
        expect(decodeContent("definition", encodeContent("definition", oversized, "w"))).to.equal(undefined);
        const schedule = { firstDueMs: 0, intervalMs: 1, occurrences: 9e15 };
        const endless = jobOf("j", [stepOf()], { schedule });
        expect(decodeContent("definition", encodeContent("definition", endless, "w"))).to.equal(undefined);
    });
});
