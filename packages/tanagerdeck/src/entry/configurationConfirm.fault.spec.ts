import { expect } from "chai";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import {
    admit,
    applyAt,
    createControlWorld,
    killEntry,
    requireAt,
    startAgentNode,
    startEntryNode,
    type ControlWorld,
} from "./testing/controlWorld.ts";

/** The stated time in which an accepted configuration is in force everywhere. */
const IN_FORCE_MS = 17_000;
const SETTLE_MS = 10_000;
const LONGER_THAN_EVERY_LEASE_MS = 40_000;
const SEEDS = ["entry-1", "entry-2", "entry-3"];

describe("invariant 8: an accepted configuration is in force everywhere within 17 s and never reverts", () => {
    describe("step: start", () => {
        it("fault: platform down and no other entry has a configuration: refused with no-configuration", async () => {
            const { clock, world } = await startEntries(SEEDS, 7);
            each(world, node => node.connection.fault("down"));
            for (const name of [...world.entries.keys()]) {
                await killEntry(world, name);
            }
            const lone = startEntryNode(world, "entry-9", SEEDS);
            lone.connection.fault("down");
            await clock.advance(IN_FORCE_MS);
            expect((await admit(lone)).swap().unsafeCoerce().reason).to.equal("no-configuration");
            const fresh = startAgentNode(world, "agent-9", SEEDS);
            const answer = requireAt(fresh, 1);
            await clock.advance(2_000);
            expect((await answer).swap().unsafeCoerce().reason).to.equal("no-configuration");
        });
    });

    describe("step: confirm", () => {
        it("fault: platform down for a single entry that is its own seed: it serves by default", async () => {
            const { clock, world } = await startEntries(["entry-1"], 8);
            entry(world, 1).connection.fault("down");
            await clock.advance(LONGER_THAN_EVERY_LEASE_MS);
            await expectServing(world, 1);
        });

        it("fault: platform down for all entries: they agree and serve by default", async () => {
            const { clock, world } = await startEntries(SEEDS, 9);
            each(world, node => node.connection.fault("silent"));
            await clock.advance(LONGER_THAN_EVERY_LEASE_MS);
            await expectServing(world, 1);
        });

        it("fault: one entry cut off from everything: it refuses by default, and the others serve", async () => {
            const { clock, world } = await startEntries(SEEDS, 10);
            entry(world, 3).connection.fault("silent");
            world.cut.add("entry-3");
            await clock.advance(IN_FORCE_MS);
            const refused = await admit(entry(world, 3));
            expect(refused.swap().unsafeCoerce().reason).to.equal("stale-configuration");
            expect((await admit(entry(world, 1))).isRight()).to.equal(true);
        });
    });
});

async function startEntries(
    names: string[],
    seed: number,
): Promise<{ clock: ManualClock; world: ControlWorld }> {
    const clock = createManualClock();
    const generator = xoroshiro128plus(seed);
    const world = createControlWorld(clock, () => uniformFloat64(generator));
    for (const name of names) {
        startEntryNode(world, name, names);
    }
    const policy = "serve-while-peers-agree";
    await applyAt(world, "entry-1", { expectedRevision: 0, changeId: "first", policy });
    await clock.advance(SETTLE_MS);
    return { clock, world };
}

async function expectServing(world: ControlWorld, revision: number): Promise<void> {
    for (const node of world.entries.values()) {
        const admitted = await admit(node);
        expect(admitted.map(held => held.revision).extract(), node.name).to.equal(revision);
    }
}

function each(world: ControlWorld, change: (node: ReturnType<typeof startEntryNode>) => void): void {
    for (const node of world.entries.values()) {
        change(node);
    }
}

function entry(world: ControlWorld, number: number) {
    return world.entries.get(`entry-${number}`)!;
}
