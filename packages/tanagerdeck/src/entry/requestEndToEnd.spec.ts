import { expect } from "chai";
import { startPlatformStandin, type PlatformStandin } from "@tanagerdeck/standins/platform/platformStandin";
import {
    echoBehaviour,
    startRunnerStandin,
    type RunnerStandin,
} from "@tanagerdeck/standins/runner/runnerStandin";
import { requestDocument } from "@tanagerdeck/standins/document/requestDocument";
import { startAgent } from "../agent/agentProcess.ts";
import { agentSettingsSchema, entrySettingsSchema } from "../settings/settingsSchema.ts";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import { startEntry } from "./entryProcess.ts";

const PEER_TOKEN = "peer-token-for-tests";
const OPERATOR_TOKEN = "operator-token-for-tests";
const CALLER_TOKEN = "caller-token-for-tests";
const ANY_PORT = "127.0.0.1:0";

const DOCUMENT = requestDocument(CALLER_TOKEN);

// Guards against a broken path between caller, entry, agent and runner, which are connected by their real listeners.
describe("a request from the caller to the runner and back", () => {
    let platform: PlatformStandin;
    let runner: RunnerStandin;
    let entry: RunningProcess;
    let agent: RunningProcess;

    before(async () => {
        platform = await startPlatformStandin("127.0.0.1:0");
        runner = await startRunnerStandin("127.0.0.1:0", echoBehaviour);
        entry = await startEntry(
            entrySettingsSchema.parse({
                name: "entry-1",
                environment: "test",
                region: "khomas",
                availabilityZone: "windhoek",
                callerAddress: ANY_PORT,
                operatorAddress: ANY_PORT,
                peerAddress: ANY_PORT,
                metricsAddress: ANY_PORT,
                platformAddress: platform.listener.address,
                peerToken: PEER_TOKEN,
                operatorToken: OPERATOR_TOKEN,
                logLevel: "error",
                lingerMs: 0,
            }),
        );
        agent = await startAgent(
            agentSettingsSchema.parse({
                name: "agent-1",
                environment: "test",
                region: "khomas",
                availabilityZone: "windhoek",
                peerAddress: ANY_PORT,
                metricsAddress: ANY_PORT,
                seeds: [entry.addresses.peerAddress],
                peerToken: PEER_TOKEN,
                server: { kind: "runner", address: runner.listener.address, slots: 8, connections: 64 },
                logLevel: "error",
            }),
        );
    });

    after(async () => {
        await agent.stop();
        await entry.stop();
        await runner.listener.close();
        await platform.listener.close();
    });

    describe("before a document is applied", () => {
        it("refuses requests with not-run, so that nothing runs without a configuration", async () => {
            const response = await submit({ kind: "quote", deadlineMs: 5_000, body: "{}" });
            expect(response.status).to.equal(503);
            expect(response.headers.get("x-verdict")).to.equal("not-run");
        });
    });

    describe("after a document is applied", () => {
        before(async () => {
            const change = { text: JSON.stringify(DOCUMENT), expectedRevision: 0, changeId: "first" };
            const response = await fetch(`http://${entry.addresses.operatorAddress}/v1/configuration`, {
                method: "POST",
                headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
                body: JSON.stringify(change),
            });
            expect(response.status).to.equal(200);
        });

        it("returns the complete answer of the runner", async () => {
            const response = await submit({ kind: "quote", deadlineMs: 5_000, body: '{"ms":5}' });
            expect(response.status).to.equal(200);
            const body = await response.text();
            expect(JSON.parse(body)).to.deep.equal({ kind: "quote", echo: '{"ms":5}' });
            expect(response.headers.get("content-length")).to.equal(String(Buffer.byteLength(body)));
            expect(runner.executed).to.have.length(1);
        });
    });

    function submit(request: object): Promise<Response> {
        return fetch(`http://${entry.addresses.callerAddress}/v1/requests`, {
            method: "POST",
            headers: { authorization: `Bearer ${CALLER_TOKEN}` },
            body: JSON.stringify(request),
        });
    }
});
