import { expect } from "chai";
import { jobOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { createGroupIndex } from "../plan/groupIndex.ts";
import { deriveFinalState, visibleState } from "./jobState.ts";
import { emptyGroupProgress, emptyProgress, type GroupPhase, type Progress } from "./progressTypes.ts";
import { taskGroupsOf } from "./taskGroups.ts";

describe("the state of a job", () => {
    const job = jobOf("j1", [stepOf({ count: 2 })]);

    function progressOf(...phases: GroupPhase[]): Progress {
        const groups: Progress["groups"] = {};
        for (const [index, phase] of phases.entries()) {
            groups[`0.0.${index}`] = { ...emptyGroupProgress(), phase };
        }
        return { begun: true, groups };
    }

    function finalStateOf(progress: Progress): Progress["final"] {
        return deriveFinalState(createGroupIndex(taskGroupsOf(job, 0), progress), false);
    }

    it("is queued until a task was reported as started", () =>
        expect(visibleState({ job, progress: emptyProgress(), cancelled: false })).to.equal("queued"));

    it("is not completed while a task has not ended, which would lose that task", () => {
        expect(finalStateOf(progressOf("done"))).to.equal(undefined);
        expect(finalStateOf(progressOf("done", "done"))).to.equal("completed");
    });

    it("has failed once a group has", () =>
        expect(finalStateOf(progressOf("failed", "placed"))).to.equal("failed"));

    it("is shown as cancelled at once, and as completed if it had completed before", () => {
        expect(visibleState({ job, progress: progressOf("placed"), cancelled: true })).to.equal("cancelled");
        const completed: Progress = { ...progressOf("done", "done"), final: "completed" };
        expect(visibleState({ job, progress: completed, cancelled: true })).to.equal("completed");
    });
});
