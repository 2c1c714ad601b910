import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { ConfigurationDocument } from "@tanagerdeck/decisions/document/documentTypes";
import type { JobStatus } from "@tanagerdeck/decisions/gang/jobTypes";
import { tokenDigest } from "@tanagerdeck/runtime/access/token";
import type { ChildProcess } from "./childProcess.ts";
import { pollUntil } from "./polling.ts";
import { createProcessGroup } from "./processGroup.ts";
import { agentSettings, entrySettings } from "./processSettings.ts";
import { bundlePrograms } from "./programBundle.ts";
import type { ComputingInterval } from "../worker/workerModel.ts";

const ANY_PORT = "127.0.0.1:0";
const READY_TIMEOUT_MS = 15_000;
const CALL_TIMEOUT_MS = 1_000;
const RACKS = ["rack-a", "rack-b"];
const ACCELERATORS = 8;

/** API token of the only client account. */
export const CALLER_TOKEN = "caller-token-for-tests";

const SETTINGS = {
    environment: "test",
    region: "khomas",
    peerToken: "peer-token-for-tests",
    operatorToken: "operator-token-for-tests",
    logLevel: "warn" as const,
};

/** A document with one gang kind and four workers in two racks; tests tell revisions apart by `weight`. */
export function createDocument(weight: number): ConfigurationDocument {
    return {
        clientAccounts: [
            {
                name: "planning",
                tokenDigests: [tokenDigest(CALLER_TOKEN)],
                guarantees: [],
                quota: { accelerators: 32, requestsPerSecond: 1_000, waiting: 1_000 },
                weight,
            },
        ],
        kinds: [
            {
                name: "forecast",
                clientAccounts: ["planning"],
                repeatable: true,
                form: "gang",
                limits: { seconds: 60, bytes: 10_000, accelerators: 32 },
                priority: "normal",
            },
        ],
        racks: RACKS.map(name => ({
            name,
            availabilityZone: "windhoek",
            workers: 2,
            acceleratorsPerWorker: ACCELERATORS,
        })),
        weights: { completionTime: 1, fragmentation: 1 },
        whenPlatformUnreachable: "serve-while-peers-agree",
    };
}

/** A deployment of separate processes: one platform, two entries, and four workers with their agents. */
export interface Deployment {
    platform: ChildProcess;
    entries: ChildProcess[];
    workers: ChildProcess[];
    agents: ChildProcess[];
    /** Restarts each process that has ended under its name; the agent of a restarted worker is restarted too. */
    restartEnded(): Promise<void>;
    startCaller(settings: { name: string; jobs: object[] }): Promise<ChildProcess>;
    apply(document: ConfigurationDocument, expectedRevision: number): Promise<Response>;
    /** Polls until every entry and agent reports at least the configuration revision. */
    waitForRevision(revision: number, limitMs: number): Promise<void>;
    /** Polls until every entry counts all agents as serving. */
    waitUntilServing(): Promise<void>;
    stop(): Promise<void>;
}

/** Bundles the programs and starts a deployment, to which no document has been applied yet. */
export async function startDeployment(): Promise<Deployment> {
    const programs = mkdtempSync(join(tmpdir(), "tanagerdeck-programs-"));
    await bundlePrograms(programs);
    const group = createProcessGroup({ programs });
    const standinSettings = (name: string) => ({ name, address: ANY_PORT, controlAddress: ANY_PORT });
    const platform = await group.start("platform", standinSettings("platform"));
    const startEntry = (index: number) => {
        const platformAddress = platform.addresses.address!;
        const entry = { name: `entry-${index}`, availabilityZone: "windhoek", platformAddress, lingerMs: 0 };
        return group.start("tanagerdeck", entrySettings(SETTINGS, entry), "entry");
    };
    const entries = await Promise.all([0, 1].map(startEntry));
    const startWorker = (index: number) => group.start("worker", standinSettings(`worker-${index}`));
    const workers = await Promise.all([0, 1, 2, 3].map(startWorker));
    const startAgent = (index: number) => {
        const seeds = entries.map(entry => entry.addresses.peerAddress!);
        const rack = RACKS[Math.floor(index / 2)]!;
        const address = workers[index]!.addresses.address!;
        const server = {
            kind: "worker" as const,
            address,
            rack,
            slot: index % 2,
            accelerators: ACCELERATORS,
        };
        const agent = { name: `agent-${index}`, availabilityZone: "windhoek", seeds, server };
        return group.start("tanagerdeck", agentSettings(SETTINGS, agent), "agent");
    };
    const agents = await Promise.all([0, 1, 2, 3].map(startAgent));

    const deployment: Deployment = {
        platform,
        entries,
        workers,
        agents,
        async restartEnded() {
            for (const [index, worker] of workers.entries()) {
                if (!worker.running()) {
                    workers[index] = await startWorker(index);
                    agents[index]!.signal("SIGKILL");
                    await agents[index]!.ended;
                }
            }
            for (const [index, entry] of entries.entries()) {
                entries[index] = entry.running() ? entry : await startEntry(index);
            }
            for (const [index, agent] of agents.entries()) {
                agents[index] = agent.running() ? agent : await startAgent(index);
            }
        },
        startCaller: ({ name, jobs }) =>
            group.start("caller", {
                ...standinSettings(name),
                addresses: entries.map(entry => entry.addresses.callerAddress!),
                token: CALLER_TOKEN,
                requests: [],
                jobs,
                jobLimitMs: READY_TIMEOUT_MS,
            }),
        apply: (document, expectedRevision) =>
            fetch(`http://${entries[0]!.addresses.operatorAddress}/v1/configuration`, {
                method: "POST",
                headers: { authorization: `Bearer ${SETTINGS.operatorToken}` },
                body: JSON.stringify({
                    text: JSON.stringify(document),
                    expectedRevision,
                    changeId: `change-${expectedRevision}`,
                }),
            }),
        async waitForRevision(revision, limitMs) {
            for (const child of [...entries, ...agents]) {
                const reached = async () => (await revisionOf(child)) >= revision;
                await pollUntil(reached, limitMs, `revision ${revision} at ${child.name}`);
            }
        },
        async waitUntilServing() {
            for (const entry of entries) {
                const serving = async () =>
                    (await readMetric(entry, 'tanagerdeck_agents{state="serving"}')) >= agents.length;
                await pollUntil(serving, READY_TIMEOUT_MS, `all agents serving at ${entry.name}`);
            }
        },
        async stop() {
            await group.stopAll();
            rmSync(programs, { recursive: true, force: true });
        },
    };
    return deployment;
}

/** Configuration revision that a process reports; 0 if it has none. */
export function revisionOf(child: ChildProcess): Promise<number> {
    return readMetric(child, "tanagerdeck_configuration_revision");
}

async function readMetric(child: ChildProcess, name: string): Promise<number> {
    const text = await (await fetchAuthorized(`${child.addresses.metricsAddress}/metrics`)).text();
    const line = text.split("\n").find(candidate => candidate.startsWith(`${name} `));
    return Number(line?.slice(name.length) ?? 0);
}

/** Computing intervals of a worker process, in milliseconds since the Unix epoch. */
export async function intervalsOf(worker: ChildProcess): Promise<ComputingInterval[]> {
    const response = await fetchAuthorized(`${worker.addresses.controlAddress}/intervals`);
    return (await response.json()) as ComputingInterval[];
}

/** Reads a job's status from an entry. */
export async function jobStatus(entry: ChildProcess, id: string): Promise<JobStatus> {
    const response = await fetchAuthorized(`${entry.addresses.callerAddress}/v1/jobs/${id}`);
    if (!response.ok) {
        throw new Error(await response.text());
    }
    return (await response.json()) as JobStatus;
}

function fetchAuthorized(address: string): Promise<Response> {
    return fetch(`http://${address}`, {
        headers: { authorization: `Bearer ${CALLER_TOKEN}` },
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
}
