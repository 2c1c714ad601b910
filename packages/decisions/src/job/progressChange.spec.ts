import { expect } from "chai";
import { bootOf } from "@tanagerdeck/standins/plan/planFixture";
import { applyTaskEnds, closeRun, openRun, type RestartPolicy } from "./progressChange.ts";
import { emptyGroupProgress, type GroupProgress, type TaskEnd } from "./progressTypes.ts";

describe("the progress of a group", () => {
    const policy: RestartPolicy = { gang: true, longRunning: false, attempts: 2 };

    function placed(indexes: number[], from: GroupProgress = emptyGroupProgress()): GroupProgress {
        return openRun(
            from,
            indexes.map(index => ({ index, worker: `worker-${index}`, boot: bootOf(`i-${index}`) })),
        );
    }

    function endTask(group: GroupProgress, index: number, end: TaskEnd, run = group.run): GroupProgress {
        return applyTaskEnds(group, [{ index, run, end }], policy).group;
    }

    describe("when a task of a gang is done", () => {
        it("is done as a whole, and the other task still occupies its worker", () => {
            const after = endTask(placed([0, 1]), 0, "done");
            expect(after.phase).to.equal("done");
            expect(after.placements.map(placement => placement.index)).to.deep.equal([1]);
        });

        it("stays done when the other task ends another way, which must not start a second run", () => {
            expect(endTask(endTask(placed([0, 1]), 0, "done"), 1, "lost").phase).to.equal("done");
        });
    });

    describe("when a run fails", () => {
        it("waits for all tasks to end before it can run again, so that no task runs twice at a time", () => {
            const closing = endTask(placed([0, 1]), 0, "failed");
            expect(closing.phase).to.equal("closing");
            expect(endTask(closing, 1, "broken").phase).to.equal("waiting");
        });

        it("counts one failed attempt for all failed tasks of the run", () => {
            expect(endTask(endTask(placed([0, 1]), 0, "failed"), 1, "failed").failures).to.equal(1);
        });

        it("fails for good once the attempts are used up", () => {
            const second = placed([0], endTask(placed([0]), 0, "failed"));
            expect(second.run).to.equal(2);
            expect(endTask(second, 0, "failed").phase).to.equal("failed");
        });

        it("does not count other ends as attempts", () => {
            let group = emptyGroupProgress();
            for (const end of ["stopped", "lapsed", "lost", "alone", "broken"] as TaskEnd[]) {
                group = endTask(placed([0], group), 0, end);
            }
            expect(group).to.include({ failures: 0, phase: "waiting" });
        });
    });

    describe("when a report is late or repeated", () => {
        it("ignores ends of an earlier run, which would free a worker that is in use", () => {
            const second = placed([0], endTask(placed([0]), 0, "stopped"));
            expect(endTask(second, 0, "done", 1)).to.equal(second);
        });

        it("ignores a repeated end", () => {
            const done = endTask(placed([0]), 0, "done");
            expect(endTask(done, 0, "failed")).to.equal(done);
        });
    });

    describe("when its run is closed", () => {
        it("keeps the checkpoint of a stopped task for the next run", () => {
            const closing = closeRun(placed([0]));
            const after = applyTaskEnds(
                closing,
                [{ index: 0, run: 1, end: "stopped", saved: "c1" }],
                policy,
            ).group;
            expect(after).to.include({ phase: "waiting", saved: "c1" });
        });

        it("changes nothing if no run is open", () => {
            const waiting = emptyGroupProgress();
            expect(closeRun(waiting)).to.equal(waiting);
        });
    });

    describe("of a long-running step", () => {
        it("waits again however a task ends", () => {
            for (const end of ["done", "failed", "lapsed"] as TaskEnd[]) {
                const { group: after } = applyTaskEnds(placed([0]), [{ index: 0, run: 1, end }], {
                    ...policy,
                    longRunning: true,
                });
                expect(after.phase).to.equal("waiting");
            }
        });
    });
});
