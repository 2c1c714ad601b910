import { expect } from "chai";
import type { EvacuationNotice } from "@tanagerdeck/decisions/worker/workerReport";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import { startLimitMs, startPermission, type EvacuationState } from "./evacuationCheck.ts";

const LIMIT_MS = 5_000;
const STAMP = { incarnation: "first", now: 1_000, wall: 50_000 };

describe("the permission to start a task", () => {
    /** Clocks of an agent that made the stamp so long ago. */
    function clocksAfter(now: number, wall = now): Clock {
        return { now: () => STAMP.now + now, wall: () => STAMP.wall + wall, startTimer: () => () => {} };
    }

    function stateWith(changes: Partial<EvacuationNotice> | undefined): EvacuationState {
        const evacuation = changes && { zones: [], stamp: STAMP, ageMs: 0, ...changes };
        const worker = { heartbeat: { availabilityZone: "zone" } } as EvacuationState["worker"];
        return { incarnation: "first", evacuation, worker };
    }

    it("is given under a fresh notice that does not name the worker's zone", () => {
        const state = stateWith({ zones: ["zone-2", "other"] });
        expect(startPermission(state, LIMIT_MS, clocksAfter(0))).to.equal("may-start");
    });

    it("is denied under a fresh notice that names the worker's zone", () => {
        const state = stateWith({ zones: ["other", "zone"] });
        expect(startPermission(state, LIMIT_MS, clocksAfter(3_999))).to.equal("evacuated");
    });

    it("waits for a notice, and for the worker's zone", () => {
        const unknownWorker = { ...stateWith({}), worker: undefined };
        expect(startPermission(stateWith(undefined), LIMIT_MS, clocksAfter(0))).to.equal("wait");
        expect(startPermission(unknownWorker, LIMIT_MS, clocksAfter(0))).to.equal("wait");
    });

    it("waits under a notice for another incarnation of the agent, whose clocks may be others", () => {
        for (const zones of [[], ["zone"]]) {
            const state = stateWith({ zones, stamp: { ...STAMP, incarnation: "earlier" } });
            expect(startPermission(state, LIMIT_MS, clocksAfter(0))).to.equal("wait");
        }
    });

    // Guards against a start that is sent so late that it is executed after the limit.
    it("ends a second before the limit, counted from when the leader's knowledge was confirmed", () => {
        const cases = [
            { ageMs: 0, sinceMs: 3_999, permission: "may-start" },
            { ageMs: 0, sinceMs: 4_000, permission: "wait" },
            { ageMs: 3_999, sinceMs: 0, permission: "may-start" },
            { ageMs: 4_000, sinceMs: 0, permission: "wait" },
            { ageMs: 2_500, sinceMs: 1_499, permission: "may-start" },
            { ageMs: 2_500, sinceMs: 1_500, permission: "wait" },
            { ageMs: Number.NaN, sinceMs: 0, permission: "wait" },
        ];
        for (const { ageMs, sinceMs, permission } of cases) {
            const state = stateWith({ ageMs });
            expect(startPermission(state, LIMIT_MS, clocksAfter(sinceMs))).to.equal(permission);
        }
    });

    it("waits under an old notice that names the worker's zone, as the evacuation may have ended", () => {
        const state = stateWith({ zones: ["zone"], ageMs: 4_000 });
        expect(startPermission(state, LIMIT_MS, clocksAfter(0))).to.equal("wait");
    });

    // Guards against a suspended VM, whose monotonic clock stops, and against a wall clock that is set back.
    it("goes by the clock that shows the longer time", () => {
        expect(startPermission(stateWith({}), LIMIT_MS, clocksAfter(5, 9_000))).to.equal("wait");
        expect(startPermission(stateWith({}), LIMIT_MS, clocksAfter(9_000, -60_000))).to.equal("wait");
    });

    it("is always given in a deployment without evacuations", () => {
        for (const state of [stateWith(undefined), stateWith({ zones: ["zone"], ageMs: 90_000 })]) {
            expect(startPermission(state, undefined, clocksAfter(0))).to.equal("may-start");
            expect(startLimitMs(state, undefined, clocksAfter(0))).to.equal(Infinity);
        }
    });

    // Guards against a start after the limit on a worker whose clock runs 2 percent slow.
    it("leaves the worker the time up to the limit to execute the start, by a slow clock", () => {
        for (const [ageMs, sinceMs, leftMs] of [
            [1_200, 800, 3_000],
            [3_000, 999, 1_001],
        ] as const) {
            const onSlowClockMs = startLimitMs(stateWith({ ageMs }), LIMIT_MS, clocksAfter(sinceMs));
            expect(onSlowClockMs * 1.02).to.be.closeTo(leftMs, 0.001);
        }
    });
});
