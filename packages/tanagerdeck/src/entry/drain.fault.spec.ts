import { expect } from "chai";
import { createManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import {
    createSimulatedCluster,
    drainThroughEntry,
    killEntry,
    startSimulatedAgent,
    startSimulatedEntry,
    submitToAgent,
    findAgentView,
    type SimulatedCluster,
} from "./testing/simulatedCluster.ts";

/** Specified time within which every entry has learned of a drain. */
const IN_FORCE_LIMIT_MS = 5_000;
const SEEDS = ["entry-1", "entry-2", "entry-3"];
const AGENT = "agent-1";

interface FaultCase {
    step: "drain call" | "announce" | "entry's view";
    fault: string;
    /** True if the drain call reaches the agent but its reply is lost. */
    replyLost?: boolean;
    beforeDrain?: (cluster: SimulatedCluster) => void;
    afterDrain?: (cluster: SimulatedCluster) => Promise<void> | void;
    /** Removes the fault; every entry must see the agent as draining 5 s later. */
    clearFault?: (cluster: SimulatedCluster) => void;
}

const cases: FaultCase[] = [
    { step: "drain call", fault: "none" },
    { step: "drain call", fault: "reply lost", replyLost: true },
    { step: "drain call", fault: "platform down", beforeDrain: takePlatformDown },
    {
        step: "drain call",
        fault: "platform down and reply lost",
        replyLost: true,
        beforeDrain: takePlatformDown,
    },
    {
        step: "announce",
        fault: "agent cut off after the drain",
        afterDrain: cluster => void cluster.disconnected.add(AGENT),
        clearFault: cluster => cluster.disconnected.clear(),
    },
    {
        step: "announce",
        fault: "agent frozen after the drain",
        replyLost: true,
        afterDrain: cluster => cluster.agents.get(AGENT)!.clock.freeze(),
        clearFault: cluster => cluster.agents.get(AGENT)!.clock.resume(),
    },
    {
        step: "entry's view",
        fault: "another entry frozen and resumed",
        beforeDrain: cluster => cluster.entries.get("entry-2")!.clock.freeze(),
        clearFault: cluster => cluster.entries.get("entry-2")!.clock.resume(),
    },
    {
        step: "entry's view",
        fault: "draining entry killed",
        afterDrain: cluster => killEntry(cluster, "entry-1"),
    },
    {
        step: "entry's view",
        fault: "another entry restarted while the platform is down",
        async afterDrain(cluster) {
            takePlatformDown(cluster);
            await killEntry(cluster, "entry-3");
            startSimulatedEntry(cluster, "entry-3", SEEDS).connection.fault("down");
        },
    },
];

// Guards against new work for a draining agent when the drain call, the announcement or an entry fails.
describe("invariant 6: a draining backend server gets no new work", () => {
    const steps: FaultCase["step"][] = ["drain call", "announce", "entry's view"];
    for (const step of steps) {
        describe(`step: ${step}`, () => {
            for (const faultCase of cases) {
                if (faultCase.step === step) {
                    it(`fault: ${faultCase.fault}: refused at the agent at once, known everywhere within 5 s`, async () => {
                        await runFaultCase(faultCase);
                    });
                }
            }
        });
    }
});

async function runFaultCase(faultCase: FaultCase): Promise<void> {
    const clock = createManualClock();
    const cluster = createSimulatedCluster(clock, () => 0.5);
    for (const name of SEEDS) {
        startSimulatedEntry(cluster, name, SEEDS);
    }
    const agent = startSimulatedAgent(cluster, AGENT, SEEDS);
    await clock.advance(3_000);
    expect((await submitToAgent(agent, "before"))?.verdict).to.equal("ran");
    faultCase.beforeDrain?.(cluster);
    const result = await drainThroughEntry(cluster, "entry-1", AGENT, faultCase.replyLost ?? false);
    expect(result.isRight()).to.equal(!faultCase.replyLost);
    if (!faultCase.replyLost) {
        expect((await findAgentView(cluster.entries.get("entry-1")!, AGENT))?.state).to.equal("draining");
    }
    expect(await submitToAgent(agent, "after")).to.include({ verdict: "not-run", reason: "draining" });
    await faultCase.afterDrain?.(cluster);
    if (faultCase.clearFault) {
        await clock.advance(20_000);
        faultCase.clearFault(cluster);
    }
    await clock.advance(IN_FORCE_LIMIT_MS);
    for (const node of cluster.entries.values()) {
        expect((await findAgentView(node, AGENT))?.state, node.name).to.equal("draining");
    }
}

function takePlatformDown(cluster: SimulatedCluster): void {
    for (const node of cluster.entries.values()) {
        node.connection.fault("down");
    }
}
