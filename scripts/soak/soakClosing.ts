import type { EmulatedDeployment, EmulatedEntry } from "@tanagerdeck/standins/emulator/emulatorTypes";
import type { StoreFault } from "@tanagerdeck/standins/keyvalue/memoryStore";
import type { FaultRunner } from "./soakFaultRunner.ts";
import { restartAfterEnd, type ActiveFault } from "./soakFaults.ts";
import type { SoakRandom } from "./soakRandom.ts";

/** Time for which a SIGTERM of an entry is followed by no other. */
const ROLL_INTERVAL_MS = 2_000;

/** Restarts all entries in turn and disturbs the store, then ends all processes and workers at once. */
export async function runClosing(
    deployment: EmulatedDeployment,
    random: SoakRandom,
    runFault: FaultRunner["runFault"],
): Promise<void> {
    const storeStartMs = random.between(500, 4_000);
    await Promise.all([
        rollEntries(deployment, runFault),
        pause(storeStartMs).then(() => runFault(disturbedStore(deployment, random))),
    ]);
    await pause(random.between(0, 1_500));
    await runFault(powerLoss(deployment, random));
}

async function rollEntries(
    { entries }: EmulatedDeployment,
    runFault: FaultRunner["runFault"],
): Promise<void> {
    for (const entry of entries) {
        await runFault(plannedRestart(entry));
    }
}

function plannedRestart(entry: EmulatedEntry): ActiveFault {
    const { child } = entry;
    child.signal("SIGTERM");
    return {
        name: `planned SIGTERM ${entry.name}`,
        durationMs: ROLL_INTERVAL_MS,
        undo: () => restartAfterEnd(entry, child),
    };
}

function disturbedStore({ store, storeDelay }: EmulatedDeployment, random: SoakRandom): ActiveFault {
    const mode = random.pick<StoreFault | "slow">(["slow", "slow", "refuse", "lose-reply", "late", "silent"]);
    if (mode === "slow") {
        storeDelay.ms = random.between(200, 800);
    } else {
        store.faults.mode = mode;
    }
    return {
        name: `store ${mode}, delay ${storeDelay.ms} ms`,
        durationMs: random.between(3_000, 4_500),
        undo() {
            storeDelay.ms = 0;
            store.faults.mode = "none";
        },
    };
}

/** Ends all entries, agents and workers at once; the workers come back as new boots. */
function powerLoss({ entries, agents }: EmulatedDeployment, random: SoakRandom): ActiveFault {
    const targets = [...entries, ...agents];
    const children = targets.map(({ child }) => child);
    for (const child of children) {
        child.signal("SIGKILL");
    }
    for (const { worker, server } of agents) {
        server.behaviour = "mute";
        worker.crash();
    }
    return {
        name: "power loss",
        durationMs: random.between(600, 1_400),
        async undo() {
            await Promise.all(children.map(child => child.ended));
            for (const agent of agents) {
                agent.server.behaviour = "normal";
                agent.rebootWorker();
            }
            await Promise.all(targets.map(target => target.restart()));
        },
    };
}

function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
