import { expect } from "chai";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { startCrowd, type Crowd } from "@tanagerdeck/standins/crowd/crowd";
import {
    endlessHeads,
    malformedInput,
    mixedCrowd,
    stalledBodies,
    tinyChunks,
    wrongBodies,
} from "@tanagerdeck/standins/crowd/crowdKinds";
import { CROWD_NODE_FLAGS, CROWD_SETTINGS, crowdProblems } from "@tanagerdeck/standins/crowd/crowdLimits";
import { watchProcess, type ProcessWatch } from "@tanagerdeck/standins/crowd/processWatch";
import { queryJobState, submitJob } from "@tanagerdeck/standins/emulator/emulatedCaller";
import { startEmulatedDeployment } from "@tanagerdeck/standins/emulator/emulatedDeployment";
import type { EmulatedDeployment, EmulatedProcess } from "@tanagerdeck/standins/emulator/emulatorTypes";
import { pollUntil } from "@tanagerdeck/standins/polling/pollUntil";
import { bundlePrograms } from "@tanagerdeck/standins/processes/programBundle";
import { PLATFORM_PEER_TOKEN } from "./peerToken.ts";

/** Guards against input of any form to the listeners for workers and peers that ends a process. */
describe("the other listeners under a crowd", () => {
    const PLAY_MS = 6_000;
    const CROWD_ADDRESS = "127.9.2.1";
    const PEER_PORT = 7000;
    const REGISTRATION_PORT = 8526;
    /** Longest body of a heartbeat. */
    const HEARTBEAT_BYTES = 64 * 1024;
    /** A part of the 8 MB that a peer may send, so that a few unfinished bodies fit into the memory. */
    const PEER_BODY_BYTES = 256 * 1024;
    /** An agent, whose compiler is off, takes some microseconds for each chunk. */
    const TINY_CHUNKS = 25_000;
    /** Long, since it shall not decide on the speed of the machine. */
    const JOB_LIMIT_MS = 25_000;
    let programs: string;
    let deployment: EmulatedDeployment;
    let watches: Map<EmulatedProcess, ProcessWatch>;
    let crowd: Crowd | undefined;
    let lastId = 0x0d1b_0000;

    before(async () => {
        programs = mkdtempSync(join(tmpdir(), "tanagerdeck-programs-"));
        await bundlePrograms(programs);
    });

    after(() => rmSync(programs, { recursive: true, force: true }));

    beforeEach(async () => {
        deployment = await startEmulatedDeployment(
            {
                programs,
                entries: 1,
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
        const processes = [...deployment.entries, ...deployment.agents];
        watches = new Map(processes.map(process => [process, watchProcess(process.child.pid)]));
        expect(await runJob()).to.equal("completed");
    });

    afterEach(async () => {
        crowd?.stop();
        for (const watch of watches.values()) {
            watch.stop();
        }
        await deployment.stop();
    });

    /** Submits a small job and returns its state, which is `completed` unless the time limit passes first. */
    async function runJob(): Promise<string | undefined> {
        const { callerAddress } = deployment.entries[0]!;
        lastId += 1;
        const id = lastId.toString(16).padStart(16, "0");
        const script = { job: id, durationMs: 100, cpuMillis: 1_000, gpus: 0, gang: 1, failures: 0 };
        const job = { id, queue: "urgent", account: deployment.accounts[0]!, tasks: 1, script };
        let state: string | undefined;
        let isAccepted = false;
        await pollUntil(
            async () => {
                isAccepted ||= (await submitJob(callerAddress, job)).status === 200;
                state = isAccepted ? (await queryJobState(callerAddress, job)).state : "not accepted";
                return state === "completed";
            },
            JOB_LIMIT_MS,
            100,
        ).catch(() => undefined);
        return state;
    }

    function headOf(path: string): string {
        return [
            `POST ${path} HTTP/1.1`,
            "host: process",
            `authorization: Bearer ${PLATFORM_PEER_TOKEN}`,
            "content-type: application/json",
            "",
        ].join("\r\n");
    }

    /** Crowd of malformed and unfinished input to the given paths; the first one reads bodies of `bodyBytes`. */
    function inputKind(paths: string[], bodyBytes: number) {
        const head = headOf(paths[0]!);
        return mixedCrowd([
            malformedInput,
            tinyChunks(TINY_CHUNKS, head),
            stalledBodies(head, bodyBytes),
            endlessHeads(head),
            wrongBodies(headOf, paths),
        ]);
    }

    async function expectBorne(
        process: EmulatedProcess,
        port: number,
        paths: string[],
        bodyBytes: number,
    ): Promise<void> {
        const ip = deployment.entries.some(entry => entry === process)
            ? deployment.entries[0]!.callerAddress.split(":")[0]
            : deployment.agents[0]!.server.address.split(":")[0];
        crowd = startCrowd({
            address: `${ip}:${port}`,
            connections: 200,
            kind: inputKind(paths, bodyBytes),
            localAddress: CROWD_ADDRESS,
            playMs: PLAY_MS,
        });
        await crowd.played;
        const state = await runJob();
        const problems = [...watches].flatMap(([{ child }, watch]) => crowdProblems({ child, watch }));
        expect({ problems, state }).to.deep.equal({ problems: [], state: "completed" });
    }

    describe("at the port for the heartbeats of the worker", () => {
        it("leave the agent serving its worker", async () => {
            const paths = ["/v1/Instances.Heartbeat/i-1-0", "/v1/Instances.Leave/i-1-0", "/other"];
            await expectBorne(deployment.agents[0]!, REGISTRATION_PORT, paths, HEARTBEAT_BYTES);
        });
    });

    describe("at the port for the other processes", () => {
        it("leave the entry serving", async () => {
            await expectBorne(
                deployment.entries[0]!,
                PEER_PORT,
                ["/relay", "/learn", "/doubt", "/other"],
                PEER_BODY_BYTES,
            );
        });

        it("leave the agent serving its worker", async () => {
            await expectBorne(
                deployment.agents[0]!,
                PEER_PORT,
                ["/relay", "/sync", "/other"],
                PEER_BODY_BYTES,
            );
        });
    });
});
