import { setTimeout as delay } from "node:timers/promises";
import { spawn } from "node:child_process";
import { startDeployment } from "./deployment.ts";
import { startLoad } from "./load.ts";
import { sampleProcess } from "./processSample.ts";

const REQUESTS_PER_SECOND = 40;
const AGENTS = 4;
const KILOBYTES_PER_MEGABYTE = 1_024;
const BARE_PROGRAM = "setInterval(() => undefined, 1000)";

/** Memory of one role in MB after a period of constant load. */
export interface MemoryRow {
    role: string;
    resident: number;
    privateDirty: number;
}

/** Measures the memory of an entry and of an agent that run the programs in the folder `programs`. */
export async function measureMemory(
    label: string,
    programs: string,
    seconds: number,
    seed: number,
): Promise<MemoryRow[]> {
    const deployment = await startDeployment(programs, AGENTS);
    const load = startLoad(deployment, REQUESTS_PER_SECOND, seed);
    const { entry, agent } = await deployment.measure(seconds);
    await load.stop();
    await deployment.stop();
    return [
        row(`entry, ${label}`, entry.residentKilobytes, entry.privateDirtyKilobytes),
        row(`agent of a runner, ${label}`, agent.residentKilobytes, agent.privateDirtyKilobytes),
    ];
}

/** Measures the memory of a Node process that only keeps a timer, as the lower bound for every role. */
export async function measureBareRuntime(): Promise<MemoryRow> {
    const child = spawn(process.execPath, ["-e", BARE_PROGRAM], { stdio: "ignore" });
    await delay(2_000);
    const { residentKilobytes, privateDirtyKilobytes } = sampleProcess(child.pid!);
    child.kill("SIGKILL");
    return row("bare runtime", residentKilobytes, privateDirtyKilobytes);
}

function row(role: string, residentKilobytes: number, privateDirtyKilobytes: number): MemoryRow {
    return {
        role,
        resident: residentKilobytes / KILOBYTES_PER_MEGABYTE,
        privateDirty: privateDirtyKilobytes / KILOBYTES_PER_MEGABYTE,
    };
}
