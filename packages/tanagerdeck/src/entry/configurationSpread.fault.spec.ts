import { expect } from "chai";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import {
    requestAdmission,
    applyDocumentAt,
    createSimulatedCluster,
    killEntry,
    requireRevision,
    startSimulatedAgent,
    startSimulatedEntry,
    type SimulatedCluster,
} from "./testing/simulatedCluster.ts";

/** Specified time within which every process uses an accepted configuration. */
const IN_FORCE_LIMIT_MS = 17_000;
const PROPAGATION_MS = 10_000;
const LONGER_THAN_EVERY_LEASE_MS = 40_000;
/** Long enough for revision 2 to be adopted before the delayed reply with revision 1 arrives. */
const FETCH_REPLY_DELAY_MS = 7_000;
const SEEDS = ["entry-1", "entry-2", "entry-3"];

type Step = "watch" | "exchange" | "announce" | "adopt";

interface FaultCase {
    step: Step;
    fault: string;
    /** Injects the fault after every process uses revision 1 and before revision 2 is accepted. */
    beforeAcceptance?: (cluster: SimulatedCluster) => Promise<void> | void;
    /** Injects a fault after revision 2 has been accepted. */
    afterAcceptance?: (cluster: SimulatedCluster) => Promise<void> | void;
    /** True if every entry must serve with revision 2 during the fault; otherwise it may also refuse. */
    mustServe?: boolean;
    /** Removes the fault. */
    clearFault: (cluster: SimulatedCluster) => Promise<void> | void;
}

const cases: FaultCase[] = [
    {
        step: "watch",
        fault: "every watch is silent",
        mustServe: true,
        beforeAcceptance: cluster => forEachEntry(cluster, node => node.connection.silenceWatches()),
        clearFault: () => undefined,
    },
    {
        step: "watch",
        fault: "platform slow",
        mustServe: true,
        beforeAcceptance: cluster => forEachEntry(cluster, node => node.connection.fault("slow")),
        clearFault: cluster => forEachEntry(cluster, node => node.connection.fault("none")),
    },
    {
        step: "watch",
        fault: "platform down right after acceptance",
        afterAcceptance: cluster => forEachEntry(cluster, node => node.connection.fault("down")),
        clearFault: cluster => forEachEntry(cluster, node => node.connection.fault("none")),
    },
    {
        step: "watch",
        fault: "reply of the acceptance lost",
        beforeAcceptance: cluster => entryNumber(cluster, 1).connection.fault("lose-write-reply"),
        clearFault: cluster => entryNumber(cluster, 1).connection.fault("none"),
    },
    {
        step: "exchange",
        fault: "one entry cut off from the platform",
        mustServe: true,
        beforeAcceptance: cluster => entryNumber(cluster, 3).connection.fault("silent"),
        clearFault: cluster => entryNumber(cluster, 3).connection.fault("none"),
    },
    {
        step: "exchange",
        fault: "one entry cut off from the platform and all processes",
        beforeAcceptance(cluster) {
            entryNumber(cluster, 3).connection.fault("silent");
            cluster.disconnected.add("entry-3");
        },
        clearFault(cluster) {
            entryNumber(cluster, 3).connection.fault("none");
            cluster.disconnected.clear();
        },
    },
    {
        step: "exchange",
        fault: "lease of an entry expired under its paused holder",
        beforeAcceptance(cluster) {
            entryNumber(cluster, 2).clock.freeze();
            for (const lease of cluster.platform.leases()) {
                cluster.platform.expireLease(lease);
            }
        },
        clearFault: cluster => entryNumber(cluster, 2).clock.resume(),
    },
    {
        step: "announce",
        fault: "agent cut off and back",
        mustServe: true,
        beforeAcceptance: cluster => void cluster.disconnected.add("agent-1"),
        clearFault: cluster => cluster.disconnected.clear(),
    },
    {
        step: "announce",
        fault: "agent frozen and resumed",
        beforeAcceptance: cluster => agentNumber(cluster, 1).clock.freeze(),
        clearFault: cluster => agentNumber(cluster, 1).clock.resume(),
    },
    {
        step: "adopt",
        fault: "delayed old configuration",
        async beforeAcceptance(cluster) {
            cluster.fetchReplyDelayMs.set("entry-3", FETCH_REPLY_DELAY_MS);
            const late = startSimulatedAgent(cluster, "agent-late", SEEDS);
            await cluster.clock.advance(500);
            expect(late.adopted).to.deep.equal([1]);
            cluster.fetchReplyDelayMs.clear();
        },
        clearFault: () => undefined,
    },
    {
        step: "adopt",
        fault: "entry frozen and resumed",
        beforeAcceptance: cluster => entryNumber(cluster, 3).clock.freeze(),
        clearFault: cluster => entryNumber(cluster, 3).clock.resume(),
    },
    {
        step: "adopt",
        fault: "entry restarted while the platform is down",
        async afterAcceptance(cluster) {
            await cluster.clock.advance(1_000);
            forEachEntry(cluster, node => node.connection.fault("down"));
            await killEntry(cluster, "entry-3");
            startSimulatedEntry(cluster, "entry-3", SEEDS).connection.fault("down");
        },
        clearFault: cluster => forEachEntry(cluster, node => node.connection.fault("none")),
    },
    {
        step: "adopt",
        fault: "every watch silent and one entry frozen",
        beforeAcceptance(cluster) {
            forEachEntry(cluster, node => node.connection.silenceWatches());
            entryNumber(cluster, 3).clock.freeze();
        },
        clearFault: cluster => entryNumber(cluster, 3).clock.resume(),
    },
    {
        step: "exchange",
        fault: "one entry cut off from the platform and another frozen",
        beforeAcceptance(cluster) {
            entryNumber(cluster, 2).clock.freeze();
            entryNumber(cluster, 3).connection.fault("silent");
        },
        clearFault(cluster) {
            entryNumber(cluster, 2).clock.resume();
            entryNumber(cluster, 3).connection.fault("none");
        },
    },
    {
        step: "announce",
        fault: "agent cut off and the accepting entry killed",
        beforeAcceptance: cluster => void cluster.disconnected.add("agent-1"),
        afterAcceptance: cluster => killEntry(cluster, "entry-1"),
        clearFault: cluster => cluster.disconnected.clear(),
    },
];

// Guards against a process that takes new work with an older revision than the accepted one, or returns to an older
// revision, when watches, calls, leases or processes fail while a configuration spreads.
describe("invariant 8: an accepted configuration is in force everywhere within 17 s and never reverts", () => {
    const steps: Step[] = ["watch", "exchange", "announce", "adopt"];
    for (const step of steps) {
        describe(`step: ${step}`, () => {
            for (const [position, faultCase] of cases.entries()) {
                if (faultCase.step === step) {
                    it(`fault: ${faultCase.fault}: in force or refused within 17 s, never an older revision`, async () => {
                        await runFaultCase(faultCase, position + 1);
                    });
                }
            }
        });
    }
});

async function runFaultCase(faultCase: FaultCase, seed: number): Promise<void> {
    const { clock, cluster } = await startCluster(seed);
    await faultCase.beforeAcceptance?.(cluster);
    const applied = applyDocumentAt(cluster, "entry-1", { expectedRevision: 1, changeId: "second" });
    await clock.advance(8_000);
    expect((await applied).isRight()).to.equal(true);
    await faultCase.afterAcceptance?.(cluster);
    await clock.advance(IN_FORCE_LIMIT_MS - 8_000);
    if (faultCase.mustServe) {
        await expectServing(cluster, 2);
    }
    await expectInForce(cluster, 2);
    await clock.advance(LONGER_THAN_EVERY_LEASE_MS);
    await faultCase.clearFault(cluster);
    await expectInForce(cluster, 2);
    await clock.advance(IN_FORCE_LIMIT_MS);
    for (const node of [...cluster.entries.values(), ...cluster.agents.values()]) {
        expect(node.adopted.at(-1), node.name).to.equal(2);
        expect(node.adopted, node.name).to.deep.equal([...new Set(node.adopted)].sort());
    }
    await expectServing(cluster, 2);
}

async function expectServing(cluster: SimulatedCluster, revision: number): Promise<void> {
    for (const node of cluster.entries.values()) {
        const admitted = await requestAdmission(node);
        expect(admitted.map(held => held.revision).extract(), node.name).to.equal(revision);
    }
}

/** Starts three entries and three agents that all use revision 1. */
async function startCluster(seed: number): Promise<{ clock: ManualClock; cluster: SimulatedCluster }> {
    const clock = createManualClock();
    const generator = xoroshiro128plus(seed);
    const cluster = createSimulatedCluster(clock, () => uniformFloat64(generator));
    for (const name of SEEDS) {
        startSimulatedEntry(cluster, name, SEEDS);
    }
    for (const name of ["agent-1", "agent-2", "agent-3"]) {
        startSimulatedAgent(cluster, name, SEEDS);
    }
    await clock.advance(1_000);
    await applyDocumentAt(cluster, "entry-1", { expectedRevision: 0, changeId: "first" });
    await clock.advance(PROPAGATION_MS);
    for (const node of [...cluster.entries.values(), ...cluster.agents.values()]) {
        expect(node.adopted, node.name).to.deep.equal([1]);
    }
    return { clock, cluster };
}

/** Checks that every running process uses the revision for new work or refuses with `not-run`. */
async function expectInForce(cluster: SimulatedCluster, revision: number): Promise<void> {
    for (const node of cluster.entries.values()) {
        const result = await requestAdmission(node);
        result.ifRight(held => expect(held.revision, node.name).to.equal(revision));
        result.ifLeft(problem => expect(problem.verdict, node.name).to.equal("not-run"));
    }
    for (const node of cluster.agents.values()) {
        if (node.clock.frozen()) {
            continue;
        }
        const stale = requireRevision(node, revision - 1);
        const current = requireRevision(node, revision);
        await cluster.clock.advance(2_000);
        for (const result of [await current, ...(node.adopted.at(-1) === revision ? [await stale] : [])]) {
            result.ifRight(held => expect(held.revision, node.name).to.equal(revision));
            result.ifLeft(problem => expect(problem.verdict, node.name).to.equal("not-run"));
        }
    }
}

function forEachEntry(
    cluster: SimulatedCluster,
    change: (node: ReturnType<typeof startSimulatedEntry>) => void,
): void {
    for (const node of cluster.entries.values()) {
        change(node);
    }
}

function entryNumber(cluster: SimulatedCluster, number: number) {
    return cluster.entries.get(`entry-${number}`)!;
}

function agentNumber(cluster: SimulatedCluster, number: number) {
    return cluster.agents.get(`agent-${number}`)!;
}
