import { readFileSync } from "node:fs";
import type { EntryStatus } from "@tanagerdeck/operator/status/statusRoutes";
import { callEntry } from "@tanagerdeck/operator/client/operatorClient";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import { startPlatformStandin, type PlatformStandin } from "@tanagerdeck/standins/platform/platformStandin";
import { pollUntil } from "@tanagerdeck/standins/polling/pollUntil";
import { echoBehaviour, startRunnerStandin } from "@tanagerdeck/standins/runner/runnerStandin";
import { startAgent } from "@tanagerdeck/tanagerdeck/agent/agentProcess";
import { startEntry } from "@tanagerdeck/tanagerdeck/entry/entryProcess";
import { agentSettingsSchema, entrySettingsSchema } from "@tanagerdeck/tanagerdeck/settings/settingsSchema";
import type { Measure } from "./benchTypes.ts";

const ENTRIES = 4;
const AGENTS = 64;
/** Targets that the design states. */
const SPREAD_TARGET_MS = 17_000;
const DRAIN_TARGET_MS = 5_000;
/** Each poll reads four status replies with 64 agents; polling more often would load the measured event loop. */
const POLL_INTERVAL_MS = 100;
const ANY_PORT = "127.0.0.1:0";
const TOKEN = "token-for-the-control-bench";
const DOCUMENT = readFileSync("examples/okahandja.json", "utf8");

/**
 * Measures the time until 4 entries and 64 agents hold a new configuration, also with silent watches, and the time
 * until all entries know of a drain.
 */
export async function controlBench(): Promise<Measure[]> {
    const platform = await startPlatformStandin(ANY_PORT);
    const runner = await startRunnerStandin(ANY_PORT, echoBehaviour);
    const entries: RunningProcess[] = [];
    for (let entry = 0; entry < ENTRIES; entry++) {
        entries.push(await startBenchEntry(platform, entry));
    }
    const seeds = entries.map(entry => entry.addresses.peerAddress!);
    const agents: RunningProcess[] = [];
    for (let agent = 0; agent < AGENTS; agent++) {
        agents.push(await startBenchAgent(seeds, runner.listener.address, agent));
    }
    await pollUntil(
        async () => (await statuses(entries)).every(({ agents: seen }) => seen.length === AGENTS),
        30_000,
    );
    const spreadMs = await timeSpread(entries, 0);
    platform.faults.silentWatches = true;
    const silentWatchSpreadMs = await timeSpread(entries, 1);
    const drainMs = await timeDrain(entries);
    for (const process of [...agents, ...entries]) {
        await process.stop();
    }
    await runner.listener.close();
    await platform.listener.close();
    return [
        { name: "configurationSpread", unit: "ms", value: spreadMs, baseline: SPREAD_TARGET_MS },
        {
            name: "configurationSpreadSilentWatches",
            unit: "ms",
            value: silentWatchSpreadMs,
            baseline: SPREAD_TARGET_MS,
        },
        { name: "drainKnownEverywhere", unit: "ms", value: drainMs, baseline: DRAIN_TARGET_MS },
    ];
}

/** Applies the next revision and waits until every entry holds it and every agent has reported it to every entry. */
async function timeSpread(entries: RunningProcess[], expectedRevision: number): Promise<number> {
    const startedAt = performance.now();
    const change = {
        text: `${DOCUMENT}${" ".repeat(expectedRevision)}`,
        expectedRevision,
        changeId: `c${expectedRevision}`,
    };
    (await callOperator(entries[0]!, "POST", "/v1/configuration", change)).unsafeCoerce();
    const revision = expectedRevision + 1;
    await pollUntil(
        async () => {
            const seen = await statuses(entries);
            return seen.every(
                status =>
                    status.configuration.revision === revision &&
                    status.agents.every(agent => agent.configurationRevision === revision),
            );
        },
        60_000,
        POLL_INTERVAL_MS,
    );
    return Math.round(performance.now() - startedAt);
}

/** Drains one agent through the first entry and waits until every entry shows the agent as draining. */
async function timeDrain(entries: RunningProcess[]): Promise<number> {
    const startedAt = performance.now();
    (await callOperator(entries[0]!, "POST", "/v1/drain/agent-0")).unsafeCoerce();
    await pollUntil(async () => {
        const seen = await statuses(entries);
        return seen.every(({ agents }) =>
            agents.some(({ name, state }) => name === "agent-0" && state === "draining"),
        );
    }, 30_000);
    return Math.round(performance.now() - startedAt);
}

function statuses(entries: RunningProcess[]): Promise<EntryStatus[]> {
    return Promise.all(
        entries.map(
            async entry =>
                (await callOperator(entry, "GET", "/v1/status")).unsafeCoerce().value as EntryStatus,
        ),
    );
}

function callOperator(entry: RunningProcess, method: "GET" | "POST", path: string, body?: object) {
    const address = entry.addresses.operatorAddress!;
    return callEntry({ address, token: TOKEN, method, path, body, timeoutMs: 20_000 });
}

function commonSettings(name: string) {
    return {
        name,
        environment: "bench",
        region: "khomas",
        availabilityZone: "windhoek",
        peerAddress: ANY_PORT,
        metricsAddress: ANY_PORT,
        peerToken: TOKEN,
        logLevel: "error",
    };
}

function startBenchEntry(platform: PlatformStandin, number: number): Promise<RunningProcess> {
    return startEntry(
        entrySettingsSchema.parse({
            ...commonSettings(`entry-${number}`),
            callerAddress: ANY_PORT,
            operatorAddress: ANY_PORT,
            platformAddress: platform.listener.address,
            operatorToken: TOKEN,
        }),
    );
}

function startBenchAgent(seeds: string[], address: string, number: number): Promise<RunningProcess> {
    return startAgent(
        agentSettingsSchema.parse({
            ...commonSettings(`agent-${number}`),
            seeds: [seeds[number % seeds.length]],
            server: { kind: "runner", address, slots: 8, connections: 1 },
        }),
    );
}
