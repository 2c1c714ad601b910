import { expect } from "chai";
import { jobOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { dueAtMs, groupKeyOf, parseTaskName, taskGroupsOf, taskName } from "./taskGroups.ts";

describe("the task groups of a job", () => {
    const job = jobOf("j1", [stepOf({ count: 2 }), stepOf({ count: 3, gang: true })], {
        schedule: { firstDueMs: 10_000, intervalMs: 2_000, occurrences: 2 },
    });

    it("holds one group for each plain task and one for a gang", () => {
        const keys = taskGroupsOf(job, 1).map(group => group.key);
        expect(keys).to.deep.equal(["1.0.0", "1.0.1", "1.1"]);
    });

    it("is due at its occurrence's time", () => expect(dueAtMs(job, 1)).to.equal(12_000));

    describe("named by a task", () => {
        it("reads the name that it writes", () => {
            const id = { job: "j1", occurrence: 1, stepIndex: 1, index: 2 };
            expect(parseTaskName(taskName(id))).to.deep.equal(id);
        });

        it("finds the gang of any of its tasks", () =>
            expect(groupKeyOf(job, { job: "j1", occurrence: 1, stepIndex: 1, index: 2 })).to.equal("1.1"));

        it("finds nothing for a task that the job does not have, which another system may have started", () => {
            expect(groupKeyOf(job, { job: "j1", occurrence: 2, stepIndex: 0, index: 0 })).to.equal(undefined);
            expect(groupKeyOf(job, { job: "j1", occurrence: 0, stepIndex: 1, index: 3 })).to.equal(undefined);
            expect(parseTaskName("not-a-task")).to.equal(undefined);
        });
    });
});
