import { expect } from "chai";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { startCrowd, type Crowd } from "@tanagerdeck/standins/crowd/crowd";
import {
    bareRequests,
    endlessHeads,
    heldConnections,
    largeChunks,
    malformedInput,
    mixedCrowd,
    sentAhead,
    stalledBodies,
    tinyChunks,
} from "@tanagerdeck/standins/crowd/crowdKinds";
import {
    CROWD_NODE_FLAGS,
    CROWD_SETTINGS,
    crowdProblems,
    peakProblems,
} from "@tanagerdeck/standins/crowd/crowdLimits";
import { requestOrdinarily } from "@tanagerdeck/standins/crowd/ordinaryRequest";
import { watchProcess, type ProcessWatch } from "@tanagerdeck/standins/crowd/processWatch";
import { startEmulatedDeployment } from "@tanagerdeck/standins/emulator/emulatedDeployment";
import type { EmulatedDeployment, EmulatedEntry } from "@tanagerdeck/standins/emulator/emulatorTypes";
import { pollUntil } from "@tanagerdeck/standins/polling/pollUntil";
import { bundlePrograms } from "@tanagerdeck/standins/processes/programBundle";
import { LEADER_KEY } from "@tanagerdeck/store/replica/storeKeys";
import { decodeContent } from "@tanagerdeck/store/replica/storedValueCodec";

/** Guards against a hand-over that fails, or loses an entry, because clients load both entries meanwhile. */
describe("a leader that hands over under a crowd of clients", () => {
    const CONNECTIONS_PER_ENTRY = 64;
    const PLAY_MS = 8_000;
    const HAND_OVER_DELAY_MS = 500;
    /** Longer than any time limit of a connection, so that only a process that hangs reaches it. */
    const END_LIMIT_MS = 20_000;
    const KIND = mixedCrowd([
        tinyChunks(100_000),
        sentAhead(5_000),
        bareRequests(8_000),
        largeChunks(),
        stalledBodies(),
        endlessHeads(),
        malformedInput,
        heldConnections,
    ]);
    let programs: string;
    let deployment: EmulatedDeployment;
    let crowds: Crowd[];
    let watches: Map<EmulatedEntry, ProcessWatch>;

    before(async () => {
        programs = mkdtempSync(join(tmpdir(), "tanagerdeck-programs-"));
        await bundlePrograms(programs);
    });

    after(() => rmSync(programs, { recursive: true, force: true }));

    beforeEach(async () => {
        deployment = await startEmulatedDeployment(
            {
                programs,
                entries: 2,
                workers: 1,
                workersPerRack: 1,
                longestHoldMs: 6_000,
                stopDurationMs: 200,
                gangTimeoutMs: 3_000,
                heartbeatIntervalMs: 500,
                nodeFlags: CROWD_NODE_FLAGS,
                settings: CROWD_SETTINGS,
            },
            () => undefined,
        );
        crowds = [];
        watches = new Map(deployment.entries.map(entry => [entry, watchProcess(entry.child.pid)]));
        for (const { callerAddress } of deployment.entries) {
            expect(await requestOrdinarily(callerAddress)).to.equal("served");
        }
        await pollUntil(() => currentLeader() !== undefined, 10_000);
    });

    afterEach(async () => {
        for (const crowd of crowds) {
            crowd.stop();
        }
        for (const watch of watches.values()) {
            watch.stop();
        }
        await deployment.stop();
    });

    function currentLeader(): EmulatedEntry | undefined {
        const value = deployment.store.item(LEADER_KEY)?.value;
        const ip = value === undefined ? undefined : decodeContent("leader", value)?.address.split(":")[0];
        return deployment.entries.find(({ callerAddress }) => callerAddress.split(":")[0] === ip);
    }

    it("ends in order, and the other entry leads and answers others", async () => {
        const former = currentLeader()!;
        const next = deployment.entries.find(entry => entry !== former)!;
        for (const [index, { callerAddress }] of deployment.entries.entries()) {
            crowds.push(
                startCrowd({
                    address: callerAddress,
                    connections: CONNECTIONS_PER_ENTRY,
                    kind: KIND,
                    localAddress: `127.9.1.${1 + index}`,
                    playMs: PLAY_MS,
                }),
            );
        }
        await pause(HAND_OVER_DELAY_MS);
        former.child.signal("SIGTERM");
        const code = await Promise.race([former.child.ended, pause(END_LIMIT_MS).then(() => "hangs")]);
        await Promise.all(crowds.map(crowd => crowd.played));
        const ordinary = await requestOrdinarily(next.callerAddress);
        const problems = [
            ...(code === 0 ? [] : [`the former leader ended with ${code}`]),
            ...peakProblems({ child: former.child, watch: watches.get(former)! }),
            ...crowdProblems({ child: next.child, watch: watches.get(next)! }),
        ];
        expect({ problems, leader: currentLeader()?.name, ordinary }).to.deep.equal({
            problems: [],
            leader: next.name,
            ordinary: "served",
        });
    });
});

function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
