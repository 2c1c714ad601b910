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
const SEEDS = ["entry-1", "entry-2", "entry-3"];

// Guards against two errors while the platform is down: an entry without a confirmed configuration takes work, and
// entries that confirm the configuration with each other refuse work.
describe("invariant 8: an accepted configuration is in force everywhere within 17 s and never reverts", () => {
    describe("step: start", () => {
        it("fault: platform down and no other entry has a configuration: refused with no-configuration", async () => {
            const { clock, cluster } = await startCluster(SEEDS, 7);
            forEachEntry(cluster, node => node.connection.fault("down"));
            for (const name of [...cluster.entries.keys()]) {
                await killEntry(cluster, name);
            }
            const lone = startSimulatedEntry(cluster, "entry-9", SEEDS);
            lone.connection.fault("down");
            await clock.advance(IN_FORCE_LIMIT_MS);
            expect((await requestAdmission(lone)).swap().unsafeCoerce().reason).to.equal("no-configuration");
            const fresh = startSimulatedAgent(cluster, "agent-9", SEEDS);
            const answer = requireRevision(fresh, 1);
            await clock.advance(2_000);
            expect((await answer).swap().unsafeCoerce().reason).to.equal("no-configuration");
        });
    });

    describe("step: confirm", () => {
        it("fault: platform down for a single entry that is its own seed: it serves by default", async () => {
            const { clock, cluster } = await startCluster(["entry-1"], 8);
            entryNumber(cluster, 1).connection.fault("down");
            await clock.advance(LONGER_THAN_EVERY_LEASE_MS);
            await expectServing(cluster, 1);
        });

        it("fault: platform down for all entries: they agree and serve by default", async () => {
            const { clock, cluster } = await startCluster(SEEDS, 9);
            forEachEntry(cluster, node => node.connection.fault("silent"));
            await clock.advance(LONGER_THAN_EVERY_LEASE_MS);
            await expectServing(cluster, 1);
        });

        it("fault: one entry cut off from everything: it refuses by default, and the others serve", async () => {
            const { clock, cluster } = await startCluster(SEEDS, 10);
            entryNumber(cluster, 3).connection.fault("silent");
            cluster.disconnected.add("entry-3");
            await clock.advance(IN_FORCE_LIMIT_MS);
            const refused = await requestAdmission(entryNumber(cluster, 3));
            expect(refused.swap().unsafeCoerce().reason).to.equal("stale-configuration");
            expect((await requestAdmission(entryNumber(cluster, 1))).isRight()).to.equal(true);
        });
    });
});

async function startCluster(
    names: string[],
    seed: number,
): Promise<{ clock: ManualClock; cluster: SimulatedCluster }> {
    const clock = createManualClock();
    const generator = xoroshiro128plus(seed);
    const cluster = createSimulatedCluster(clock, () => uniformFloat64(generator));
    for (const name of names) {
        startSimulatedEntry(cluster, name, names);
    }
    const policy = "serve-while-peers-agree";
    await applyDocumentAt(cluster, "entry-1", { expectedRevision: 0, changeId: "first", policy });
    await clock.advance(PROPAGATION_MS);
    return { clock, cluster };
}

async function expectServing(cluster: SimulatedCluster, revision: number): Promise<void> {
    for (const node of cluster.entries.values()) {
        const admitted = await requestAdmission(node);
        expect(admitted.map(held => held.revision).extract(), node.name).to.equal(revision);
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
