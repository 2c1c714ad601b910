import { expect } from "chai";
import { createManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import {
    createControlWorld,
    drainAt,
    killEntry,
    startAgentNode,
    startEntryNode,
    submitAt,
    viewOf,
    type ControlWorld,
} from "./testing/controlWorld.ts";

/** The stated time in which a drain is in force everywhere. */
const IN_FORCE_MS = 5_000;
const SEEDS = ["entry-1", "entry-2", "entry-3"];
const AGENT = "agent-1";

interface Case {
    step: "drain call" | "announce" | "entry's view";
    fault: string;
    replyLost?: boolean;
    before?: (world: ControlWorld) => void;
    after?: (world: ControlWorld) => Promise<void> | void;
    /** Ends the fault; the view of every entry is right 5 s later. */
    heal?: (world: ControlWorld) => void;
}

const cases: Case[] = [
    { step: "drain call", fault: "none" },
    { step: "drain call", fault: "reply lost", replyLost: true },
    { step: "drain call", fault: "platform down", before: platformDown },
    { step: "drain call", fault: "platform down and reply lost", replyLost: true, before: platformDown },
    {
        step: "announce",
        fault: "agent cut off after the drain",
        after: world => void world.cut.add(AGENT),
        heal: world => world.cut.clear(),
    },
    {
        step: "announce",
        fault: "agent frozen after the drain",
        replyLost: true,
        after: world => world.agents.get(AGENT)!.clock.freeze(),
        heal: world => world.agents.get(AGENT)!.clock.resume(),
    },
    {
        step: "entry's view",
        fault: "another entry frozen and resumed",
        before: world => world.entries.get("entry-2")!.clock.freeze(),
        heal: world => world.entries.get("entry-2")!.clock.resume(),
    },
    { step: "entry's view", fault: "draining entry killed", after: world => killEntry(world, "entry-1") },
    {
        step: "entry's view",
        fault: "another entry restarted while the platform is down",
        async after(world) {
            platformDown(world);
            await killEntry(world, "entry-3");
            startEntryNode(world, "entry-3", SEEDS).connection.fault("down");
        },
    },
];

describe("invariant 6: a draining backend server gets no new work", () => {
    const steps: Case["step"][] = ["drain call", "announce", "entry's view"];
    for (const step of steps) {
        describe(`step: ${step}`, () => {
            for (const one of cases) {
                if (one.step === step) {
                    it(`fault: ${one.fault}: refused at the agent at once, known everywhere within 5 s`, async () => {
                        await run(one);
                    });
                }
            }
        });
    }
});

async function run(one: Case): Promise<void> {
    const clock = createManualClock();
    const world = createControlWorld(clock, () => 0.5);
    for (const name of SEEDS) {
        startEntryNode(world, name, SEEDS);
    }
    const agent = startAgentNode(world, AGENT, SEEDS);
    await clock.advance(3_000);
    expect((await submitAt(agent, "before"))?.verdict).to.equal("ran");
    one.before?.(world);
    const result = await drainAt(world, "entry-1", AGENT, one.replyLost ?? false);
    expect(result.isRight()).to.equal(!one.replyLost);
    if (!one.replyLost) {
        expect((await viewOf(world.entries.get("entry-1")!, AGENT))?.state).to.equal("draining");
    }
    expect(await submitAt(agent, "after")).to.include({ verdict: "not-run", reason: "draining" });
    await one.after?.(world);
    if (one.heal) {
        await clock.advance(20_000);
        one.heal(world);
    }
    await clock.advance(IN_FORCE_MS);
    for (const node of world.entries.values()) {
        expect((await viewOf(node, AGENT))?.state, node.name).to.equal("draining");
    }
}

function platformDown(world: ControlWorld): void {
    for (const node of world.entries.values()) {
        node.connection.fault("down");
    }
}
