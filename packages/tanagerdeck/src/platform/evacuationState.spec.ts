import { expect } from "chai";
import type { EvacuationView } from "@tanagerdeck/decisions/evacuation/evacuationTypes";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { createEvacuationState, type EvacuationState } from "./evacuationState.ts";

describe("what an entry knows of evacuated zones", () => {
    let clock: ManualClock;
    let state: EvacuationState;
    let changes: EvacuationView[];
    let suspendedMs: number;
    let zones: Record<string, string> | undefined;

    beforeEach(() => {
        clock = createManualClock();
        changes = [];
        suspendedMs = 0;
        zones = undefined;
        const suspendableClock = { ...clock, wall: () => clock.wall() + suspendedMs };
        const changed = (view: EvacuationView) => changes.push(view);
        state = createEvacuationState({
            clock: suspendableClock,
            limitMs: 5_000,
            zones: () => zones,
            changed,
        });
    });

    function confirm(view: EvacuationView): void {
        state.following.onView(view, { now: clock.now(), wall: clock.wall() + suspendedMs });
    }

    const none: EvacuationView = { revisions: new Map() };
    const one: EvacuationView = { revisions: new Map([["a", 7]]) };

    it("is nothing before the first reply of the store", () => {
        expect(state.notice()).to.equal(undefined);
        expect(state.view()).to.equal(undefined);
    });

    it("ages until it is confirmed again, and is passed on when it changes", async () => {
        confirm(none);
        await clock.advance(700);
        expect(state.notice()).to.deep.equal({ zones: [], ageMs: 700 });
        confirm(none);
        expect(state.notice()).to.deep.equal({ zones: [], ageMs: 0 });
        confirm(one);
        expect(state.notice()).to.deep.equal({ zones: ["a"], ageMs: 0 });
        expect(changes).to.deep.equal([none, one]);
    });

    // Guards against a leader that was suspended and passes its old knowledge on as fresh.
    it("ages while the VM is suspended, although the monotonic clock stops", async () => {
        confirm(one);
        await clock.advance(100);
        suspendedMs = 20_000;
        expect(state.notice()).to.deep.equal({ zones: ["a"], ageMs: 20_100 });
    });

    it("ages although the wall clock is set back", async () => {
        confirm(one);
        await clock.advance(3_000);
        suspendedMs = -60_000;
        expect(state.notice()).to.deep.equal({ zones: ["a"], ageMs: 3_000 });
    });

    it("has starts held back before the first reply, and when notices that rest on it are too old", async () => {
        expect(state.areStartsHeld()).to.equal(true);
        confirm(one);
        await clock.advance(2_900);
        expect(state.areStartsHeld()).to.equal(false);
        await clock.advance(100);
        expect(state.areStartsHeld()).to.equal(true);
    });

    it("counts each zone if the settings name none, and otherwise only those", () => {
        expect(state.following.isKnownZone("a")).to.equal(true);
        zones = { a: "north" };
        expect(state.following.isKnownZone("a")).to.equal(true);
        expect(state.following.isKnownZone("b")).to.equal(false);
        expect(state.following.isKnownZone("constructor")).to.equal(false);
    });
});
