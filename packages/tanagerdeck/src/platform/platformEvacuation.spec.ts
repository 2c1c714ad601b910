import { expect } from "chai";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import type { Listener } from "@tanagerdeck/runtime/http/listener";
import { fixtureManifest } from "@tanagerdeck/standins/emulator/entryFixture";
import { startStoreServer } from "@tanagerdeck/standins/emulator/storeServer";
import { createMemoryStore, type MemoryStore } from "@tanagerdeck/standins/keyvalue/memoryStore";
import { pollUntil } from "@tanagerdeck/standins/polling/pollUntil";
import type { ChildProcess } from "@tanagerdeck/standins/processes/childProcess";
import { createProcessGroup, type ProcessGroup } from "@tanagerdeck/standins/processes/processGroup";
import { bundlePrograms } from "@tanagerdeck/standins/processes/programBundle";

/** Guards against faults of the wiring, which the specs of the parts do not show. */
describe("an entry process of a deployment with evacuations", function () {
    this.timeout(60_000);
    const IP = `127.${193 + ((process.pid >> 8) & 0x1f)}.${process.pid & 0xff}.10`;
    const METRICS_PORT = 9_464;
    let programs: string;
    let store: MemoryStore;
    let storeServer: Listener;
    let group: ProcessGroup;
    let entry: ChildProcess;

    before(async () => {
        programs = mkdtempSync(join(tmpdir(), "tanagerdeck-programs-"));
        await bundlePrograms(programs);
    });

    after(() => rmSync(programs, { recursive: true, force: true }));

    beforeEach(async () => {
        store = createMemoryStore(systemClock);
        store.write("op/config", fixtureManifest(1));
        storeServer = await startStoreServer("127.0.0.1:0", store);
        group = createProcessGroup({ programs });
    });

    afterEach(async () => {
        await group.stopAll();
        await storeServer.close();
    });

    async function startEntry(changes: object): Promise<void> {
        const settings = {
            name: "entry-1",
            availabilityZone: "zone-1",
            ip: IP,
            peerPort: 7_000,
            metricsPort: METRICS_PORT,
            seeds: [],
            storeAddress: storeServer.address,
            longestHoldMs: 6_000,
            keepJobsSeconds: 120,
            graceSeconds: 6,
            farFactor: 3,
            callerAddress: `${IP}:8521`,
            readyAddress: `${IP}:8523`,
            ...changes,
        };
        entry = await group.start("tanagerdeck", settings, "platform-entry");
    }

    async function metric(name: string): Promise<string | undefined> {
        const text = await (await fetch(`http://${IP}:${METRICS_PORT}/metrics`)).text();
        return text
            .split("\n")
            .find(line => line.startsWith(`${name} `))
            ?.slice(name.length + 1);
    }

    function lines(sentence: string): string[] {
        return entry
            .output()
            .split("\n")
            .filter(line => line.includes(sentence));
    }

    const rounds = async () => Number((await metric("tanagerdeck_round_seconds_count")) ?? 0);

    it("shows the evacuated zones that exist, and plans", async () => {
        const revision = store.write("op/evacuate/zone-2", "");
        store.write("op/evacuate/moon", "{}");
        await startEntry({ evacuationLimitMs: 5_000, zones: { "zone-1": "north", "zone-2": "north" } });
        const zone2 = 'tanagerdeck_zone_evacuated{zone="zone-2"}';
        await pollUntil(async () => (await metric(zone2)) === String(revision), 5_000);
        expect(await metric('tanagerdeck_zone_evacuated{zone="moon"}')).to.equal(undefined);
        await pollUntil(async () => (await rounds()) > 0, 10_000);
        await store.commit({ expected: [], puts: [], removes: ["op/evacuate/zone-2"] });
        await pollUntil(async () => (await metric(zone2)) === undefined, 5_000);
        await pollUntil(() => lines("manifest: The evacuation of a zone has ended.").length === 1, 5_000);
        expect(lines("manifest: A zone is evacuated.")).to.have.length(1);
        expect(lines("manifest: An unknown zone is to be evacuated; it is ignored.")).to.have.length(1);
    });

    // Guards against a changed behavior of deployments that do not ask for evacuations.
    it("does not look at the requests if the settings name no limit", async () => {
        store.write("op/evacuate/zone-2", "{}");
        await startEntry({});
        await pollUntil(async () => (await rounds()) > 0, 10_000);
        expect(await metric('tanagerdeck_zone_evacuated{zone="zone-2"}')).to.equal(undefined);
        expect(lines("evacuat")).to.deep.equal([]);
    });
});
