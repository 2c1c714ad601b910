import { expect } from "chai";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { startCrowd, type Crowd, type CrowdOptions } from "@tanagerdeck/standins/crowd/crowd";
import {
    bareRequests,
    endlessHeads,
    heldConnections,
    largeChunks,
    sentAhead,
    stalledBodies,
    tinyChunks,
} from "@tanagerdeck/standins/crowd/crowdKinds";
import { CROWD_NODE_FLAGS, CROWD_SETTINGS, crowdProblems } from "@tanagerdeck/standins/crowd/crowdLimits";
import { requestOrdinarily } from "@tanagerdeck/standins/crowd/ordinaryRequest";
import { watchProcess, type ProcessWatch } from "@tanagerdeck/standins/crowd/processWatch";
import { startEntryFixture, type EntryFixture } from "@tanagerdeck/standins/emulator/entryFixture";
import { bundlePrograms } from "@tanagerdeck/standins/processes/programBundle";

/** Guards against clients that end an entry by what they send, or keep it from answering others. */
describe("an entry under a crowd of clients", () => {
    /** Source address of crowds that do not share that of the ordinary caller. */
    const CROWD_ADDRESS = "127.9.0.1";
    const PLAY_MS = 6_000;
    let programs: string;
    let fixture: EntryFixture;
    let watch: ProcessWatch;
    let crowd: Crowd | undefined;

    before(async () => {
        programs = mkdtempSync(join(tmpdir(), "tanagerdeck-programs-"));
        await bundlePrograms(programs);
    });

    after(() => rmSync(programs, { recursive: true, force: true }));

    beforeEach(async () => {
        fixture = await startEntryFixture(programs, CROWD_NODE_FLAGS, CROWD_SETTINGS);
        watch = watchProcess(fixture.entry.pid);
        expect(await requestOrdinarily(fixture.callerAddress)).to.equal("served");
    });

    afterEach(async () => {
        crowd?.stop();
        watch.stop();
        await fixture.stop();
    });

    /** Plays a crowd, and checks the process and an ordinary request while the crowd's connections are open. */
    async function expectBorne(options: Pick<CrowdOptions, "connections" | "kind" | "localAddress">) {
        crowd = startCrowd({ address: fixture.callerAddress, playMs: PLAY_MS, ...options });
        await crowd.played;
        const ordinary = await requestOrdinarily(fixture.callerAddress);
        expect({ problems: crowdProblems({ child: fixture.entry, watch }), ordinary }).to.deep.equal({
            problems: [],
            ordinary: "served",
        });
    }

    it("answers others while queries are sent ahead and the answers left unread, from the same address", async () => {
        await expectBorne({ connections: 40, kind: sentAhead(5_000) });
    });

    it("answers others while requests without Host or key are sent ahead", async () => {
        await expectBorne({ connections: 42, kind: bareRequests(8_000), localAddress: CROWD_ADDRESS });
    });

    it("answers others while bodies in large chunks do not end", async () => {
        await expectBorne({ connections: 460, kind: largeChunks(), localAddress: CROWD_ADDRESS });
    });

    it("answers others while bodies in one-byte chunks do not end", async () => {
        await expectBorne({ connections: 40, kind: tinyChunks(30_000), localAddress: CROWD_ADDRESS });
    });

    it("answers others while header blocks do not end", async () => {
        await expectBorne({ connections: 200, kind: endlessHeads(), localAddress: CROWD_ADDRESS });
    });

    it("answers others while bodies stop just short of their end, from the same address", async () => {
        await expectBorne({ connections: 460, kind: stalledBodies() });
    });

    it("answers others while more connections are held open than it may have descriptors", async () => {
        await expectBorne({ connections: 650, kind: heldConnections, localAddress: CROWD_ADDRESS });
    });
});
