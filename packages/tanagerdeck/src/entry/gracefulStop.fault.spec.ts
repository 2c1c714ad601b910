import { expect } from "chai";
import { tokenDigest } from "@tanagerdeck/runtime/access/token";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import { startPlatformStandin, type PlatformStandin } from "@tanagerdeck/standins/platform/platformStandin";
import {
    echoBehaviour,
    startRunnerStandin,
    type RunnerStandin,
} from "@tanagerdeck/standins/runner/runnerStandin";
import { startAgent } from "../agent/agentProcess.ts";
import { agentSettingsSchema, entrySettingsSchema } from "../settings/settingsSchema.ts";
import { startEntry } from "./entryProcess.ts";
import { CONFIGURATION, waitUntil } from "./testing/requestHarness.ts";

const PEER_TOKEN = "peer-token-for-tests";
const OPERATOR_TOKEN = "operator-token-for-tests";
const CALLER_TOKEN = "caller-token-for-tests";
const ANY_PORT = "127.0.0.1:0";
const COMMON_SETTINGS = {
    environment: "test",
    region: "khomas",
    availabilityZone: "windhoek",
    logLevel: "error",
};
const LINGER_MS = 300;
/** Runs for longer than one poll window of 1,500 ms, so that the entry polls again while the agent stops. */
const LONG_BODY = '{"ms":1800}';
const REQUEST_COUNT = 5;

// Guards against requests that fail because an entry or an agent stops as planned while they run, wait or arrive.
describe("invariant 7: a planned stop interrupts no request", () => {
    let platform: PlatformStandin;
    let runner: RunnerStandin;
    let entry: RunningProcess;
    let agent: RunningProcess;

    beforeEach(async () => {
        platform = await startPlatformStandin(ANY_PORT);
        runner = await startRunnerStandin(ANY_PORT, echoBehaviour);
        entry = await startEntry(entrySettings(platform));
        agent = await startAgent(agentSettings(entry, runner));
        await applyDocument(entry);
    });

    afterEach(async () => {
        await agent.stop();
        await entry.stop();
        await runner.kill();
        await platform.listener.close();
    });

    describe("step: stop of an entry", () => {
        it("fault: requests are running and arriving: all are answered", async () => {
            const running = Array.from({ length: REQUEST_COUNT }, () => submit(LONG_BODY));
            await waitUntil(() => runner.executed.length === REQUEST_COUNT, "the requests run");
            const stopped = entry.stop();
            const late = submit('{"ms":1}');
            await expectAnswered([...running, late]);
            await stopped;
            const refused = await submit("{}").then(
                () => "answered",
                () => "refused",
            );
            expect(refused).to.equal("refused");
            entry.stop = async () => undefined;
        });
    });

    describe("step: stop of an agent", () => {
        it("fault: requests run and wait: all are answered before the agent is gone", async () => {
            const running = Array.from({ length: 2 * REQUEST_COUNT }, () => submit(LONG_BODY));
            await waitUntil(() => runner.executed.length === 8, "the slots are taken");
            const stopped = agent.stop();
            await expectAnswered(running);
            await stopped;
            agent.stop = async () => undefined;
        });

        it("fault: a call on a new connection after the stop began: it is served", async () => {
            const running = submit(LONG_BODY, "id-1");
            await waitUntil(() => runner.executed.length === 1, "the request runs");
            const stopped = agent.stop();
            const cancelled = await fetch(`http://${entry.addresses.callerAddress}/v1/requests/id-1`, {
                method: "DELETE",
                headers: { authorization: `Bearer ${CALLER_TOKEN}` },
            });
            expect(await cancelled.json()).to.include({ reason: "cancelled" });
            expect((await running).headers.get("x-verdict")).to.equal("may-have-run");
            await stopped;
            agent.stop = async () => undefined;
        });

        it("fault: a request arrives after the stop began: not run, at once", async () => {
            const running = submit(LONG_BODY);
            await waitUntil(() => runner.executed.length === 1, "the request runs");
            const stopped = agent.stop();
            const response = await submit('{"ms":1}');
            expect(response.headers.get("x-verdict")).to.equal("not-run");
            await expectAnswered([running]);
            await stopped;
            expect(runner.executed).to.have.length(1);
            agent.stop = async () => undefined;
        });
    });

    async function expectAnswered(responses: Promise<Response>[]): Promise<void> {
        for (const response of await Promise.all(responses)) {
            expect(response.status, await response.text()).to.equal(200);
        }
    }

    function submit(body: string, id?: string): Promise<Response> {
        return fetch(`http://${entry.addresses.callerAddress}/v1/requests`, {
            method: "POST",
            headers: { authorization: `Bearer ${CALLER_TOKEN}` },
            body: JSON.stringify({ kind: "quote", id, deadlineMs: 10_000, body }),
        });
    }
});

function entrySettings(platform: PlatformStandin) {
    return entrySettingsSchema.parse({
        ...COMMON_SETTINGS,
        name: "entry-1",
        callerAddress: ANY_PORT,
        operatorAddress: ANY_PORT,
        peerAddress: ANY_PORT,
        metricsAddress: ANY_PORT,
        platformAddress: platform.listener.address,
        peerToken: PEER_TOKEN,
        operatorToken: OPERATOR_TOKEN,
        lingerMs: LINGER_MS,
    });
}

function agentSettings(entry: RunningProcess, runner: RunnerStandin) {
    return agentSettingsSchema.parse({
        ...COMMON_SETTINGS,
        name: "agent-1",
        peerAddress: ANY_PORT,
        metricsAddress: ANY_PORT,
        seeds: [entry.addresses.peerAddress],
        peerToken: PEER_TOKEN,
        server: { kind: "runner", address: runner.listener.address, slots: 8, connections: 64 },
    });
}

async function applyDocument(entry: RunningProcess): Promise<void> {
    const { document } = CONFIGURATION;
    const clientAccounts = document.clientAccounts.map(account => ({
        ...account,
        tokenDigests: [tokenDigest(CALLER_TOKEN)],
    }));
    const text = JSON.stringify({ ...document, clientAccounts });
    const response = await fetch(`http://${entry.addresses.operatorAddress}/v1/configuration`, {
        method: "POST",
        headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
        body: JSON.stringify({ text, expectedRevision: 0, changeId: "first" }),
    });
    expect(response.status).to.equal(200);
}
