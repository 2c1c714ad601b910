// The anchor task on a manual clock: late and repeated messages never start a gang again, and all parts stop together.
import { expect } from "chai";
import { Right } from "purify-ts/Either";
import type { GangReport } from "@tanagerdeck/decisions/fleet/reportTypes";
import type {
    CommitReply,
    CommitRequest,
    PartReply,
    SettleReply,
} from "@tanagerdeck/decisions/gang/gangTypes";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import type { Task } from "@tanagerdeck/runtime/task/task";
import { startAnchorTask } from "./anchorTask.ts";
import type { AnchorMessage } from "./anchorTypes.ts";

const COMMITMENT: CommitRequest = {
    gang: "vans/job",
    attempt: 3,
    incarnation: "first",
    members: [
        { agent: "a", address: "a", indexes: [0] },
        { agent: "b", address: "b", indexes: [0] },
    ],
    task: { kind: "routes", clientAccount: "vans", body: "{}", limitMs: 10_000 },
};

describe("invariant 4: a gang that was told not run never starts", () => {
    describe("step: commit", () => {
        it("fault: message delayed past the settlement: the anchor refuses it", async () => {
            const anchor = start();
            expect(await settle(anchor, "first")).to.deep.equal({ kind: "not-run" });
            expect(await commit(anchor, COMMITMENT)).to.deep.equal({ kind: "refused", reason: "stale" });
            await anchor.clock.advance(5_000);
            expect(anchor.steps).to.deep.equal([]);
            expect(await settle(anchor, "first")).to.deep.equal({ kind: "not-run" });
        });

        it("fault: message of a lower attempt delayed: the anchor refuses it", async () => {
            const anchor = start();
            await commit(anchor, COMMITMENT);
            const late = await commit(anchor, { ...COMMITMENT, attempt: 2 });
            expect(late).to.deep.equal({ kind: "refused", reason: "stale" });
        });

        it("fault: message duplicated after the end was recorded: the gang does not run again", async () => {
            const anchor = start();
            await commit(anchor, COMMITMENT);
            anchor.part = { kind: "lost", reason: "failed" };
            await anchor.clock.advance(3_000);
            anchor.task.send({ kind: "recorded", keys: ["vans/job#3"] });
            expect(await reports(anchor)).to.deep.equal([]);
            expect(await commit(anchor, COMMITMENT)).to.deep.equal({ kind: "refused", reason: "stale" });
            expect((await settle(anchor, "first")).kind).to.equal("unknown");
        });

        it("fault: anchor restarted: the settlement does not claim not run", async () => {
            const anchor = start();
            expect(await settle(anchor, "former")).to.deep.equal({ kind: "unknown" });
            const refused = await commit(anchor, { ...COMMITMENT, incarnation: "former" });
            expect(refused).to.deep.equal({ kind: "refused", reason: "incarnation-gone" });
        });
    });
});

describe("invariant 2: no part runs without the rest of its gang", () => {
    describe("step: stop", () => {
        it("fault: declared run time exceeded: all parts stop with a checkpoint and the reason is reported", async () => {
            const anchor = start();
            await commit(anchor, COMMITMENT);
            await anchor.clock.advance(14_000);
            for (let repeats = 0; repeats < 2; repeats++) {
                const [report] = await reports(anchor);
                expect(report).to.deep.include({ state: "stopped" });
                expect(report!.end).to.deep.include({
                    reason: "time-limit",
                    started: true,
                    checkpoint: "1,1",
                });
            }
            expect(anchor.steps.filter(step => step === "stop")).to.have.length(2);
        });
    });
});

/** An anchor task and the calls that it has made to its members, in order. */
interface Anchor {
    clock: ManualClock;
    task: Task<AnchorMessage>;
    steps: string[];
    part: PartReply | undefined;
}

/** Starts an anchor whose members confirm every call; `part` replaces their reply if it is set. */
function start(): Anchor {
    const clock = createManualClock();
    const anchor = { clock, steps: [] as string[], part: undefined as PartReply | undefined };
    const confirm = (step: string, state: "prepared" | "computing") => async () => {
        anchor.steps.push(step);
        return Right(anchor.part ?? { kind: "confirmed" as const, state, stamp: clock.now(), staleMs: 0 });
    };
    const task = startAnchorTask({
        address: () => "a",
        incarnation: "first",
        clock,
        log: noopLog,
        calls: {
            prepare: confirm("prepare", "prepared"),
            start: confirm("start", "computing"),
            renew: confirm("renew", "computing"),
            stop: async () => {
                anchor.steps.push("stop");
                return Right({ kind: "stopped" as const, checkpoint: "1" });
            },
        },
    });
    return Object.assign(anchor, { task });
}

function commit({ task }: Anchor, commitment: CommitRequest): Promise<CommitReply> {
    return task.ask<CommitReply>(reply => ({ kind: "commit", commitment, reply }));
}

function settle({ task }: Anchor, incarnation: string): Promise<SettleReply> {
    const { gang, attempt } = COMMITMENT;
    const settlement = { gang, attempt, incarnation, action: "ask" } as const;
    return task.ask<SettleReply>(reply => ({ kind: "settle", settlement, reply }));
}

function reports({ task }: Anchor): Promise<GangReport[]> {
    return task.ask<GangReport[]>(reply => ({ kind: "reports", reply }));
}
