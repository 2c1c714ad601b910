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
/** Revision 2 is adopted before a fetch of revision 1 comes back. */
const LATE_FETCH_MS = 7_000;
const SEEDS = ["entry-1", "entry-2", "entry-3"];

type Step = "watch" | "exchange" | "announce" | "adopt";

interface Case {
    step: Step;
    fault: string;
    /** Brings the fault about after revision 1 is in force everywhere and before revision 2 is accepted. */
    before?: (world: ControlWorld) => Promise<void> | void;
    /** Changes the fault after revision 2 was accepted. */
    after?: (world: ControlWorld) => Promise<void> | void;
    /** True if every entry must serve in spite of the fault, and not merely refuse. */
    serves?: boolean;
    /** Ends the fault. */
    heal: (world: ControlWorld) => Promise<void> | void;
}

const cases: Case[] = [
    {
        step: "watch",
        fault: "every watch is silent",
        serves: true,
        before: world => each(world, node => node.connection.silenceWatches()),
        heal: () => undefined,
    },
    {
        step: "watch",
        fault: "platform slow",
        serves: true,
        before: world => each(world, node => node.connection.fault("slow")),
        heal: world => each(world, node => node.connection.fault("none")),
    },
    {
        step: "watch",
        fault: "platform down right after acceptance",
        after: world => each(world, node => node.connection.fault("down")),
        heal: world => each(world, node => node.connection.fault("none")),
    },
    {
        step: "watch",
        fault: "reply of the acceptance lost",
        before: world => entry(world, 1).connection.fault("lose-write-reply"),
        heal: world => entry(world, 1).connection.fault("none"),
    },
    {
        step: "exchange",
        fault: "one entry cut off from the platform",
        serves: true,
        before: world => entry(world, 3).connection.fault("silent"),
        heal: world => entry(world, 3).connection.fault("none"),
    },
    {
        step: "exchange",
        fault: "one entry cut off from the platform and all processes",
        before(world) {
            entry(world, 3).connection.fault("silent");
            world.cut.add("entry-3");
        },
        heal(world) {
            entry(world, 3).connection.fault("none");
            world.cut.clear();
        },
    },
    {
        step: "exchange",
        fault: "lease of an entry expired under its paused holder",
        before(world) {
            entry(world, 2).clock.freeze();
            for (const lease of world.platform.leases()) {
                world.platform.expireLease(lease);
            }
        },
        heal: world => entry(world, 2).clock.resume(),
    },
    {
        step: "announce",
        fault: "agent cut off and back",
        serves: true,
        before: world => void world.cut.add("agent-1"),
        heal: world => world.cut.clear(),
    },
    {
        step: "announce",
        fault: "agent frozen and resumed",
        before: world => agent(world, 1).clock.freeze(),
        heal: world => agent(world, 1).clock.resume(),
    },
    {
        step: "adopt",
        fault: "delayed old configuration",
        async before(world) {
            world.fetchDelayMs.set("entry-3", LATE_FETCH_MS);
            const late = startAgentNode(world, "agent-late", SEEDS);
            await world.clock.advance(500);
            expect(late.adopted).to.deep.equal([1]);
            world.fetchDelayMs.clear();
        },
        heal: () => undefined,
    },
    {
        step: "adopt",
        fault: "entry frozen and resumed",
        before: world => entry(world, 3).clock.freeze(),
        heal: world => entry(world, 3).clock.resume(),
    },
    {
        step: "adopt",
        fault: "entry restarted while the platform is down",
        async after(world) {
            await world.clock.advance(1_000);
            each(world, node => node.connection.fault("down"));
            await killEntry(world, "entry-3");
            startEntryNode(world, "entry-3", SEEDS).connection.fault("down");
        },
        heal: world => each(world, node => node.connection.fault("none")),
    },
    {
        step: "adopt",
        fault: "every watch silent and one entry frozen",
        before(world) {
            each(world, node => node.connection.silenceWatches());
            entry(world, 3).clock.freeze();
        },
        heal: world => entry(world, 3).clock.resume(),
    },
    {
        step: "exchange",
        fault: "one entry cut off from the platform and another frozen",
        before(world) {
            entry(world, 2).clock.freeze();
            entry(world, 3).connection.fault("silent");
        },
        heal(world) {
            entry(world, 2).clock.resume();
            entry(world, 3).connection.fault("none");
        },
    },
    {
        step: "announce",
        fault: "agent cut off and the accepting entry killed",
        before: world => void world.cut.add("agent-1"),
        after: world => killEntry(world, "entry-1"),
        heal: world => world.cut.clear(),
    },
];

describe("invariant 8: an accepted configuration is in force everywhere within 17 s and never reverts", () => {
    const steps: Step[] = ["watch", "exchange", "announce", "adopt"];
    for (const step of steps) {
        describe(`step: ${step}`, () => {
            for (const [position, one] of cases.entries()) {
                if (one.step === step) {
                    it(`fault: ${one.fault}: in force or refused within 17 s, never an older revision`, async () => {
                        await run(one, position + 1);
                    });
                }
            }
        });
    }
});

async function run(one: Case, seed: number): Promise<void> {
    const { clock, world } = await start(seed);
    await one.before?.(world);
    const applied = applyAt(world, "entry-1", { expectedRevision: 1, changeId: "second" });
    await clock.advance(8_000);
    expect((await applied).isRight()).to.equal(true);
    await one.after?.(world);
    await clock.advance(IN_FORCE_MS - 8_000);
    if (one.serves) {
        await expectServing(world, 2);
    }
    await expectInForce(world, 2);
    await clock.advance(LONGER_THAN_EVERY_LEASE_MS);
    await one.heal(world);
    await expectInForce(world, 2);
    await clock.advance(IN_FORCE_MS);
    for (const node of [...world.entries.values(), ...world.agents.values()]) {
        expect(node.adopted.at(-1), node.name).to.equal(2);
        expect(node.adopted, node.name).to.deep.equal([...new Set(node.adopted)].sort());
    }
    await expectServing(world, 2);
}

async function expectServing(world: ControlWorld, revision: number): Promise<void> {
    for (const node of world.entries.values()) {
        const admitted = await admit(node);
        expect(admitted.map(held => held.revision).extract(), node.name).to.equal(revision);
    }
}

/** Three entries and three agents with revision 1 in force. */
async function start(seed: number): Promise<{ clock: ManualClock; world: ControlWorld }> {
    const clock = createManualClock();
    const generator = xoroshiro128plus(seed);
    const world = createControlWorld(clock, () => uniformFloat64(generator));
    for (const name of SEEDS) {
        startEntryNode(world, name, SEEDS);
    }
    for (const name of ["agent-1", "agent-2", "agent-3"]) {
        startAgentNode(world, name, SEEDS);
    }
    await clock.advance(1_000);
    await applyAt(world, "entry-1", { expectedRevision: 0, changeId: "first" });
    await clock.advance(SETTLE_MS);
    for (const node of [...world.entries.values(), ...world.agents.values()]) {
        expect(node.adopted, node.name).to.deep.equal([1]);
    }
    return { clock, world };
}

/** No running process takes new work on an older revision. */
async function expectInForce(world: ControlWorld, revision: number): Promise<void> {
    for (const node of world.entries.values()) {
        const result = await admit(node);
        result.ifRight(held => expect(held.revision, node.name).to.equal(revision));
        result.ifLeft(problem => expect(problem.verdict, node.name).to.equal("not-run"));
    }
    for (const node of world.agents.values()) {
        if (node.clock.frozen()) {
            continue;
        }
        const stale = requireAt(node, revision - 1);
        const current = requireAt(node, revision);
        await world.clock.advance(2_000);
        for (const result of [await current, ...(node.adopted.at(-1) === revision ? [await stale] : [])]) {
            result.ifRight(held => expect(held.revision, node.name).to.equal(revision));
            result.ifLeft(problem => expect(problem.verdict, node.name).to.equal("not-run"));
        }
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

function agent(world: ControlWorld, number: number) {
    return world.agents.get(`agent-${number}`)!;
}
