import { expect } from "chai";
import type { Manifest } from "@tanagerdeck/decisions/manifest/manifestTypes";
import { createPlanClients, type PlanClients } from "@tanagerdeck/peer/session/planClients";
import { createEntryPlanRouter } from "@tanagerdeck/peer/session/planRouters";
import { startPeerListener } from "@tanagerdeck/peer/link/peerListener";
import { decodeManifest, MANIFEST_KEY } from "@tanagerdeck/platform/manifest/manifestCodec";
import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import type { Listener } from "@tanagerdeck/runtime/http/listener";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import { noopSchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import { startStoreServer } from "@tanagerdeck/standins/emulator/storeServer";
import { createMemoryStore, type MemoryStore } from "@tanagerdeck/standins/keyvalue/memoryStore";
import { startSlowLink, type SlowLink } from "@tanagerdeck/standins/network/slowLink";
import { pollUntil } from "@tanagerdeck/standins/polling/pollUntil";
import { startManifestTask } from "@tanagerdeck/store/manifest/manifestTask";
import { startReplicaTask } from "@tanagerdeck/store/replica/replicaTask";
import { openStoreAccess, type StoreAccess } from "./storeAccess.ts";

/** Guards against CONFIG: a reply that takes longer than a call's timeout was dropped and requested again forever. */
describe("the store behind a slow link", function () {
    this.timeout(30_000);
    /** Time within which a confirmed manifest must be in effect. */
    const MAX_APPLY_DELAY_MS = 4_000;
    const TOKEN = "token";
    const LINK_BYTES_PER_SECOND = 200_000;
    /** Base64 makes replies a third larger: a manifest takes 2.4 s on the link, more than the timeout of a read. */
    const MANIFEST_BYTES = 360_000;
    let store: MemoryStore;
    let server: Listener;
    let link: SlowLink;
    let clients: PlanClients;
    let accesses: StoreAccess[];
    let closers: (() => Promise<void>)[];

    beforeEach(async () => {
        store = createMemoryStore(systemClock);
        server = await startStoreServer("127.0.0.1:0", store);
        link = await startSlowLink(server.address, LINK_BYTES_PER_SECOND);
        clients = createPlanClients(TOKEN);
        accesses = [];
        closers = [];
        writeManifest(1);
    });

    afterEach(async () => {
        for (const close of closers.reverse()) {
            await close();
        }
        for (const access of accesses) {
            await access.close();
        }
        await clients.close();
        await link.close();
        await server.close();
    });

    function writeManifest(version: number): void {
        const manifest = { version, routes: [], services: [], padding: "x".repeat(MANIFEST_BYTES) };
        store.write(MANIFEST_KEY, JSON.stringify(manifest));
    }

    function openAccess(address: string, relays: string[]): StoreAccess {
        const access = openStoreAccess({
            address,
            relays: () => relays,
            clients,
            clock: systemClock,
            log: noopLog,
            metrics: noopSchedulerMetrics,
        });
        accesses.push(access);
        return access;
    }

    /** Starts an entry's relay and returns its address. */
    async function startRelay(access: StoreAccess): Promise<string> {
        const listener = await startPeerListener(
            "127.0.0.1:0",
            TOKEN,
            createEntryPlanRouter({ relay: access.relay, learn: async () => {}, doubt: async () => {} }),
        );
        closers.push(() => listener.close());
        return listener.address;
    }

    function followManifest(access: StoreAccess): Manifest[] {
        const applied: Manifest[] = [];
        const task = startManifestTask({
            store: access.store,
            key: MANIFEST_KEY,
            decode: decodeManifest,
            clock: systemClock,
            log: noopLog,
            onApplied: manifest => applied.push(manifest),
            onConfirmed() {},
        });
        closers.push(() => task.stop());
        return applied;
    }

    describe("with a manifest that takes longer than the timeout of a call", () => {
        it("delivers the manifest and each change in time", async () => {
            const applied = followManifest(openAccess(link.address, []));
            await pollUntil(() => applied.at(-1)?.version === 1, MAX_APPLY_DELAY_MS);
            writeManifest(2);
            await pollUntil(() => applied.at(-1)?.version === 2, MAX_APPLY_DELAY_MS);
        });

        it("delivers it in time through a relay if the store is unreachable from here", async () => {
            const relay = await startRelay(openAccess(server.address, []));
            const relayLink = await startSlowLink(relay, LINK_BYTES_PER_SECOND);
            closers.push(() => relayLink.close());
            const applied = followManifest(openAccess("127.0.0.1:1", [relayLink.address]));
            await pollUntil(() => applied.at(-1)?.version === 1, MAX_APPLY_DELAY_MS);
        });

        it("does not request it a second time through a relay while it arrives", async () => {
            const relayAccess = openAccess(server.address, []);
            const before = store.calls.get("page") ?? 0;
            const relay = await startRelay(relayAccess);
            const applied = followManifest(openAccess(link.address, [relay]));
            await pollUntil(() => applied.at(-1)?.version === 1, MAX_APPLY_DELAY_MS);
            expect((store.calls.get("page") ?? 0) - before).to.equal(1);
        });
    });

    describe("with a backlog of changes that takes longer than the timeout of a watch", () => {
        it("brings a copy of the store up to date", async () => {
            let confirmedAtMs = 0;
            const changes = new Set<string>();
            const replica = startReplicaTask({
                store: openAccess(link.address, []).store,
                prefix: "tanagerdeck/",
                clock: systemClock,
                log: noopLog,
                onChange: ({ key }) => changes.add(key),
                onLoaded() {},
                onConfirmed: atMs => (confirmedAtMs = atMs),
            });
            closers.push(() => replica.stop());
            await pollUntil(() => confirmedAtMs > 0, MAX_APPLY_DELAY_MS);
            for (let item = 0; item < 40; item++) {
                store.write(`tanagerdeck/job/${item}/definition`, "x".repeat(10_000));
            }
            await pollUntil(() => changes.size === 40, 2 * MAX_APPLY_DELAY_MS);
        });
    });
});
