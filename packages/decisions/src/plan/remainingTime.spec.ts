import { expect } from "chai";
import { jobOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { taskGroupsOf } from "../job/taskGroups.ts";
import type { OpenRunState } from "./clusterState.ts";
import { expectedRemainingMs } from "./remainingTime.ts";

describe("the expected remaining time of a run", () => {
    const group = taskGroupsOf(jobOf("j", [stepOf({ estimateMs: 20_000 })]), 0)[0]!;
    const now = 5_000;

    function runOf(version: number, openedAt: number, percent: number): OpenRunState {
        const task = { percent, progressedAt: now, listedAt: now };
        return { version, openedAt, tasks: new Map([[0, task]]), hasStarted: true };
    }

    it("follows the pace of a run that this leader has opened", () => {
        expect(expectedRemainingMs(group, runOf(1, now - 4_000, 40), now)).to.equal(6_000);
    });

    // Guards against a new leader that expects every run to end at once, as it divides by the progress under the former one.
    it("follows the estimate and the progress of a run that a former leader has opened", () => {
        expect(expectedRemainingMs(group, runOf(0, now - 100, 40), now)).to.equal(12_000);
        expect(expectedRemainingMs(group, runOf(0, now - 100, 100), now)).to.equal(500);
    });
});
