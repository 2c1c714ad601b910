import { randomBytes } from "node:crypto";
import type { ConfigurationDocument } from "@tanagerdeck/decisions/document/documentTypes";
import type { ChildProcess } from "@tanagerdeck/standins/processes/childProcess";
import { pollUntil } from "@tanagerdeck/standins/processes/polling";
import type { ProcessGroup } from "@tanagerdeck/standins/processes/processGroup";
import {
    agentSettings,
    entrySettings,
    type EnvironmentSettings,
    type ServerSettings,
} from "@tanagerdeck/standins/processes/processSettings";
import type { Firm } from "./firms.ts";

const ANY_PORT = "127.0.0.1:0";
const SLOTS = 8;
const CONNECTIONS = 64;
const READY_TIMEOUT_MS = 20_000;

/** The running processes of one firm's environment, with the settings that they share. */
export interface Environment {
    firm: Firm;
    settings: EnvironmentSettings;
    entries: ChildProcess[];
    runners: ChildProcess[];
    workers: ChildProcess[];
}

/** Starts the entries of a firm's environment, one in each availability zone. */
export async function startEntries(
    group: ProcessGroup,
    firm: Firm,
    platformAddress: string,
): Promise<Environment> {
    const { environment } = firm;
    const settings: EnvironmentSettings = {
        environment,
        region: firm.region,
        peerToken: randomBytes(16).toString("hex"),
        operatorToken: randomBytes(16).toString("hex"),
        logLevel: "warn",
    };
    const entries = await Promise.all(
        firm.availabilityZones.map((availabilityZone, index) => {
            const name = `${environment}-entry-${index + 1}`;
            const entry = { name, availabilityZone, platformAddress, lingerMs: 0 };
            return group.start("tanagerdeck", entrySettings(settings, entry), "entry");
        }),
    );
    return { firm, settings, entries, runners: [], workers: [] };
}

/** Starts one runner with its agent in each availability zone. */
export async function startRunners(group: ProcessGroup, environment: Environment): Promise<void> {
    const { firm, runners } = environment;
    await Promise.all(
        firm.availabilityZones.map(async (availabilityZone, index) => {
            const name = `${firm.environment}-runner-${index + 1}`;
            const runner = await group.start("runner", {
                name,
                address: ANY_PORT,
                controlAddress: ANY_PORT,
            });
            runners.push(runner);
            const address = runner.addresses.address!;
            const server = { kind: "runner" as const, address, slots: SLOTS, connections: CONNECTIONS };
            await startAgent(group, environment, `${name}-agent`, availabilityZone, server);
        }),
    );
}

/** Starts all workers of the document's racks, each with its agent. */
export async function startWorkers(group: ProcessGroup, environment: Environment): Promise<void> {
    const { firm, workers } = environment;
    const positions = firm.document.racks.flatMap(rack =>
        Array.from({ length: rack.workers }, (_value, slot) => ({ rack, slot })),
    );
    await Promise.all(
        positions.map(async ({ rack, slot }) => {
            const name = `${firm.environment}-${rack.name}-worker-${slot}`;
            const standin = { name, address: ANY_PORT, controlAddress: ANY_PORT };
            const worker = await group.start("worker", standin);
            workers.push(worker);
            await startAgent(group, environment, `${name}-agent`, rack.availabilityZone, {
                kind: "worker",
                address: worker.addresses.address!,
                rack: rack.name,
                slot,
                accelerators: rack.acceleratorsPerWorker,
            });
        }),
    );
}

/** Starts the agent of a backend server; the addresses of the entries are its seeds. */
export function startAgent(
    group: ProcessGroup,
    environment: Environment,
    name: string,
    availabilityZone: string,
    server: ServerSettings,
): Promise<ChildProcess> {
    const seeds = environment.entries.map(entry => entry.addresses.peerAddress!);
    const agent = { name, availabilityZone, seeds, server };
    return group.start("tanagerdeck", agentSettings(environment.settings, agent), "agent");
}

/** Applies the firm's document as the first configuration revision. */
export function applyDocument(environment: Environment): Promise<void> {
    return replaceDocument(environment, environment.firm.document, 0);
}

/** Replaces the configuration at `expectedRevision`. Rejects with the response text if an entry refuses it. */
export async function replaceDocument(
    environment: Environment,
    document: ConfigurationDocument,
    expectedRevision: number,
): Promise<void> {
    const { firm, settings, entries } = environment;
    const change = {
        text: JSON.stringify(document),
        expectedRevision,
        changeId: `quickstart-${expectedRevision}`,
    };
    const response = await fetch(`http://${entries[0]!.addresses.operatorAddress}/v1/configuration`, {
        method: "POST",
        headers: { authorization: `Bearer ${settings.operatorToken}` },
        body: JSON.stringify(change),
    });
    if (!response.ok) {
        throw new Error(
            `The configuration document of ${firm.environment} was refused: ${await response.text()}`,
        );
    }
}

/** Waits until the metrics of every entry show the configuration and the agents of all backend servers. */
export async function waitUntilServing(environment: Environment): Promise<void> {
    for (const entry of environment.entries) {
        await pollUntil(
            async () => {
                const metrics = await (
                    await fetch(`http://${entry.addresses.metricsAddress}/metrics`)
                ).text();
                const agents = Number(/tanagerdeck_agents\{state="serving"\} (\d+)/.exec(metrics)?.[1]);
                const revision = Number(/tanagerdeck_configuration_revision (\d+)/.exec(metrics)?.[1]);
                return revision >= 1 && agents >= environment.runners.length + environment.workers.length;
            },
            READY_TIMEOUT_MS,
            `${entry.name} serving`,
        );
    }
}
