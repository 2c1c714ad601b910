import type { EmulatedDeployment } from "@tanagerdeck/standins/emulator/emulatorTypes";
import { FAULT_INJECTORS, type ActiveFault } from "./soakFaults.ts";
import type { SoakRandom } from "./soakRandom.ts";

/** Injects and undoes the faults of a run. */
export interface FaultRunner {
    /** Injects random faults for a time and undoes them. */
    runRandomFaults(durationMs: number): Promise<void>;
    /** Keeps a fault active for its duration and undoes it. */
    runFault(fault: ActiveFault): Promise<void>;
    /** Time at which the last fault was undone; undefined while a fault is active. */
    calmSince(): number | undefined;
    /** Faults in order of injection, each with its time since the start in seconds. */
    faults: string[];
}

/** Range of the time between two fault injections; faults overlap. */
const FAULT_INTERVAL_MS = [200, 2_500] as const;

/** Creates the runner; `progress` is called with a description of each fault when it is injected. */
export function createFaultRunner(
    deployment: EmulatedDeployment,
    random: SoakRandom,
    progress: (line: string) => void,
): FaultRunner {
    const startedAt = performance.now();
    const faults: string[] = [];
    const activeFaults = new Set<ActiveFault>();
    let calmSince: number | undefined = startedAt;

    async function runFault(fault: ActiveFault): Promise<void> {
        activeFaults.add(fault);
        calmSince = undefined;
        const elapsedSeconds = ((performance.now() - startedAt) / 1_000).toFixed(2);
        const line = `${elapsedSeconds} ${fault.name} for ${fault.durationMs} ms`;
        faults.push(line);
        progress(line);
        await pause(fault.durationMs);
        await fault.undo();
        activeFaults.delete(fault);
        if (activeFaults.size === 0) {
            calmSince = performance.now();
        }
    }

    return {
        faults,
        calmSince: () => calmSince,
        runFault,
        async runRandomFaults(durationMs) {
            const endsAt = performance.now() + durationMs;
            const pendingUndos: Promise<void>[] = [];
            while (performance.now() < endsAt) {
                await pause(random.between(...FAULT_INTERVAL_MS));
                const fault = await random.pick(FAULT_INJECTORS)(deployment, random);
                if (fault) {
                    pendingUndos.push(runFault(fault));
                }
            }
            await Promise.all(pendingUndos);
            undoAllFaults(deployment);
        },
    };
}

/**
 * Undoes all faults. Needed because an overlapping fault that was undone late may have restored the state of another
 * fault.
 */
function undoAllFaults({ store, entries, agents }: EmulatedDeployment): void {
    store.faults.mode = "none";
    store.faults.pausesLeases = false;
    for (const { child, storeProxy } of [...entries, ...agents]) {
        child.signal("SIGCONT");
        storeProxy.faultFor = () => "none";
    }
    for (const { server, worker } of agents) {
        server.behaviour = "normal";
        worker.setHung(false);
    }
}

function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
