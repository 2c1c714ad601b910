import { expect } from "chai";
import { jobOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { dueAtMs, groupKeyOf, parseTaskName, taskGroupsOf, taskName } from "./taskGroups.ts";

describe("the task groups of a job", () => {
    const job = jobOf("j1", [stepOf({ count: 2 }), stepOf({ count: 3, gang: true })], {
        schedule: { firstDueMs: 10_000, intervalMs: 2_000, occurrences: 2 },
    });

    it("are one for each task outside a gang and one for each gang", () => {
        const keys = taskGroupsOf(job, 1).map(group => group.key);
        expect(keys).to.deep.equal(["1.0.0", "1.0.1", "1.1"]);
    });

    it("are due at the time of their occurrence", () => expect(dueAtMs(job, 1)).to.equal(12_000));

    describe("named by a task", () => {
        it("parses the name that it formats", () => {
            const id = { job: "j1", occurrence: 1, stepIndex: 1, index: 2 };
            expect(parseTaskName(taskName(id))).to.deep.equal(id);
        });

        it("finds the group of each task of a gang", () =>
            expect(groupKeyOf(job, { job: "j1", occurrence: 1, stepIndex: 1, index: 2 })).to.equal("1.1"));

        it("finds nothing for a task that the job does not have, which another system may have started", () => {
            expect(groupKeyOf(job, { job: "j1", occurrence: 2, stepIndex: 0, index: 0 })).to.equal(undefined);
            expect(groupKeyOf(job, { job: "j1", occurrence: 0, stepIndex: 1, index: 3 })).to.equal(undefined);
            expect(parseTaskName("not-a-task")).to.equal(undefined);
        });
    });
});
