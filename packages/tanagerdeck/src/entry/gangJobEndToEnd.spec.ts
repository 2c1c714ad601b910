import { expect } from "chai";
import type { TopologySpan } from "@tanagerdeck/decisions/document/documentTypes";
import { startPlatformStandin, type PlatformStandin } from "@tanagerdeck/standins/platform/platformStandin";
import { startWorkerStandin, type WorkerStandin } from "@tanagerdeck/standins/worker/workerStandin";
import { gangConfiguration } from "@tanagerdeck/standins/gang/gangConfiguration";
import { doubleAllocations } from "@tanagerdeck/standins/gang/gangMeasures";
import { tokenDigest } from "@tanagerdeck/runtime/access/token";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import { startAgent } from "../agent/agentProcess.ts";
import { agentSettingsSchema, entrySettingsSchema } from "../settings/settingsSchema.ts";
import { startEntry } from "./entryProcess.ts";

const PEER_TOKEN = "peer-token-for-tests";
const OPERATOR_TOKEN = "operator-token-for-tests";
const CALLER_TOKEN = "caller-token-for-tests";
const OTHER_TOKEN = "other-token-for-tests";
const ANY_PORT = "127.0.0.1:0";
const WORKERS = 3;
const POLL_MS = 50;

// Guards against a broken path of a gang job between caller, entry, agents and workers, and against access to the
// jobs of another client account.
describe("a gang job from the caller to the workers and back", () => {
    let platform: PlatformStandin;
    let entry: RunningProcess;
    const workers: WorkerStandin[] = [];
    const agents: RunningProcess[] = [];

    before(async () => {
        platform = await startPlatformStandin(ANY_PORT);
        entry = await startEntry(
            entrySettingsSchema.parse({
                name: "entry-1",
                environment: "test",
                region: "north",
                availabilityZone: "zone",
                callerAddress: ANY_PORT,
                operatorAddress: ANY_PORT,
                peerAddress: ANY_PORT,
                metricsAddress: ANY_PORT,
                platformAddress: platform.listener.address,
                peerToken: PEER_TOKEN,
                operatorToken: OPERATOR_TOKEN,
                logLevel: "error",
            }),
        );
        await applyDocument();
        for (let slot = 0; slot < WORKERS; slot++) {
            const worker = await startWorkerStandin(ANY_PORT);
            workers.push(worker);
            agents.push(
                await startAgent(
                    agentSettingsSchema.parse({
                        name: `agent-${slot}`,
                        environment: "test",
                        region: "north",
                        availabilityZone: "zone",
                        peerAddress: ANY_PORT,
                        metricsAddress: ANY_PORT,
                        seeds: [entry.addresses.peerAddress],
                        peerToken: PEER_TOKEN,
                        server: {
                            kind: "worker",
                            address: worker.listener.address,
                            rack: "rack-0",
                            slot,
                            accelerators: 2,
                        },
                        drainGraceMs: 0,
                        logLevel: "error",
                    }),
                ),
            );
        }
    });

    after(async () => {
        await Promise.all(agents.map(agent => agent.stop()));
        await entry.stop();
        await Promise.all(workers.map(worker => worker.listener.close()));
        await platform.listener.close();
    });

    describe("a job that fits", () => {
        it("runs on all workers at the same time and its end is recorded", async () => {
            const response = await callEntryRoute(
                "POST",
                "/v1/jobs",
                CALLER_TOKEN,
                createJob("first", 6, 1_500),
            );
            expect(response.status).to.equal(202);
            const status = await waitForEnd("first");
            expect(status).to.deep.include({ state: "finished", recorded: true });
            expect(status.end.verdict).to.equal("ran");
            const models = workers.map(worker => worker.model);
            expect(models.map(model => model.intervals.length)).to.deep.equal([1, 1, 1]);
            expect(doubleAllocations(models, performance.now())).to.deep.equal([]);
        });

        it("does not run again when the caller repeats its id", async () => {
            const response = await callEntryRoute(
                "POST",
                "/v1/jobs",
                CALLER_TOKEN,
                createJob("first", 6, 1_500),
            );
            expect(await response.json()).to.deep.include({ id: "first", state: "finished" });
            expect(workers[0]!.model.intervals).to.have.length(1);
        });
    });

    describe("a job of another client account", () => {
        it("can be neither read nor cancelled", async () => {
            for (const method of ["GET", "DELETE"]) {
                const response = await callEntryRoute(method, "/v1/jobs/first", OTHER_TOKEN);
                expect(response.status).to.equal(404);
            }
        });
    });

    describe("a job that can never run", () => {
        it("is refused at once with not-run, because it would wait forever", async () => {
            const response = await callEntryRoute(
                "POST",
                "/v1/jobs",
                CALLER_TOKEN,
                createJob("huge", 3, 100, "worker"),
            );
            expect(response.status).to.equal(422);
            expect(response.headers.get("x-verdict")).to.equal("not-run");
        });
    });

    describe("a job that is cancelled while it runs", () => {
        it("stops on all workers and ends with the verdict ran", async () => {
            await callEntryRoute("POST", "/v1/jobs", CALLER_TOKEN, createJob("long", 6, 60_000));
            await waitUntil(async () => workers.every(({ model }) => model.intervals.length === 2));
            const response = await callEntryRoute("DELETE", "/v1/jobs/long", CALLER_TOKEN);
            expect(response.status).to.equal(202);
            const status = await waitForEnd("long");
            expect(status).to.deep.include({ state: "cancelled" });
            expect(status.end.verdict).to.equal("ran");
            expect(workers.every(({ model }) => model.list().length === 0)).to.equal(true);
        });
    });

    function createJob(
        id: string,
        accelerators: number,
        ms: number,
        span: TopologySpan = "neighbouring-racks",
    ): object {
        const shape = { span, accelerators };
        return { id, kind: "routes", shape, seconds: 2, body: JSON.stringify({ ms }) };
    }

    async function waitForEnd(id: string) {
        let status = { state: "", recorded: false, end: { verdict: "" } };
        await waitUntil(async () => {
            const response = await callEntryRoute("GET", `/v1/jobs/${id}`, CALLER_TOKEN);
            status = (await response.json()) as typeof status;
            return status.end !== undefined && status.recorded;
        });
        return status;
    }

    async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
        const deadline = Date.now() + 15_000;
        while (!(await condition())) {
            expect(Date.now(), "the condition was not met in time").to.be.below(deadline);
            await new Promise(resolve => setTimeout(resolve, POLL_MS));
        }
    }

    function callEntryRoute(method: string, path: string, token: string, body?: object): Promise<Response> {
        return fetch(`http://${entry.addresses.callerAddress}${path}`, {
            method,
            headers: { authorization: `Bearer ${token}` },
            body: body && JSON.stringify(body),
        });
    }

    async function applyDocument(): Promise<void> {
        const { document } = gangConfiguration();
        const tokens = [CALLER_TOKEN, OTHER_TOKEN];
        const clientAccounts = document.clientAccounts.map((account, position) => {
            return { ...account, tokenDigests: [tokenDigest(tokens[position]!)] };
        });
        const text = JSON.stringify({ ...document, clientAccounts });
        const response = await fetch(`http://${entry.addresses.operatorAddress}/v1/configuration`, {
            method: "POST",
            headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
            body: JSON.stringify({ text, expectedRevision: 0, changeId: "first" }),
        });
        expect(response.status).to.equal(200);
    }
});
