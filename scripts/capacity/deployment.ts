import { setTimeout as delay } from "node:timers/promises";
import type { ChildProcess } from "@tanagerdeck/standins/processes/childProcess";
import { createProcessGroup } from "@tanagerdeck/standins/processes/processGroup";
import { applyDocument, startAgent, startEntries, type Environment } from "../quickstart/environment.ts";
import { FIRMS, type Firm } from "../quickstart/firms.ts";
import { meanUsage, sampleProcess, usageBetween, type ProcessUsage } from "./processSample.ts";

const ANY_PORT = "127.0.0.1:0";

/** One entry with a platform stand-in, one runner and several agents, each a separate process. */
export interface Deployment {
    environment: Environment;
    platform: ChildProcess;
    entry: ChildProcess;
    agents: ChildProcess[];
    /** Starts agents until there are `count`. */
    growTo(count: number): Promise<void>;
    /** Measures the usage of the entry and the mean usage of the agents over `seconds`. */
    measure(seconds: number): Promise<{ entry: ProcessUsage; agent: ProcessUsage }>;
    stop(): Promise<void>;
}

/** Starts a deployment from the bundled programs in the folder `programs`. */
export async function startDeployment(programs: string, agentCount: number): Promise<Deployment> {
    const group = createProcessGroup({ programs });
    const firm: Firm = { ...FIRMS[0]!, availabilityZones: ["windhoek"] };
    const standin = { address: ANY_PORT, controlAddress: ANY_PORT };
    const platform = await group.start("platform", { name: "platform", ...standin });
    const runner = await group.start("runner", { name: "runner", ...standin });
    const environment = await startEntries(group, firm, platform.addresses.address!);
    const entry = environment.entries[0]!;
    const agents: ChildProcess[] = [];
    await applyDocument(environment);

    async function growTo(count: number): Promise<void> {
        const address = runner.addresses.address!;
        const server = { kind: "runner" as const, address, slots: 8, connections: 64 };
        while (agents.length < count) {
            const name = `agent-${agents.length + 1}`;
            agents.push(await startAgent(group, environment, name, "windhoek", server));
        }
    }

    await growTo(agentCount);
    return {
        environment,
        platform,
        entry,
        agents,
        growTo,
        async measure(seconds) {
            const measured = [entry, ...agents];
            const before = measured.map(({ pid }) => sampleProcess(pid));
            await delay(seconds * 1_000);
            const usages = measured.map(({ pid }, index) => usageBetween(before[index]!, sampleProcess(pid)));
            return { entry: usages[0]!, agent: meanUsage(usages.slice(1)) };
        },
        stop: () => group.stopAll(),
    };
}
