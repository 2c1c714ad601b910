import { readFileSync } from "node:fs";

/** A process that had to wait for a processor. */
export interface Starvation {
    name: string;
    /** Time on the clock of the violations at the end of the sample. */
    atMs: number;
    /** Time within the last sample for which the process was ready to run and did not. */
    waitedMs: number;
}

/** Samples how long the processes of a run wait for a processor, to tell overload of the VM from faults. */
export interface StarvationMonitor {
    samples: Starvation[];
    stop(): void;
}

const SAMPLE_INTERVAL_MS = 1_000;
/** Waits below this are left out. */
const MIN_WAIT_MS = 300;

/** Starts the sampling; `processes` gives the names and ids of the processes to watch. */
export function startStarvationMonitor(processes: () => { name: string; pid: number }[]): StarvationMonitor {
    const samples: Starvation[] = [];
    const earlierWaits = new Map<number, number>();

    function sample(): void {
        const atMs = performance.now();
        for (const { name, pid } of processes()) {
            const waitMs = readWaitMs(pid);
            if (waitMs === undefined) {
                continue;
            }
            const waitedMs = Math.round(waitMs - (earlierWaits.get(pid) ?? waitMs));
            earlierWaits.set(pid, waitMs);
            if (waitedMs >= MIN_WAIT_MS) {
                samples.push({ name, atMs: Math.round(atMs), waitedMs });
            }
        }
    }

    const timer = setInterval(sample, SAMPLE_INTERVAL_MS);
    return { samples, stop: () => clearInterval(timer) };
}

/** Total time for which the main thread of a process has waited for a processor; undefined if the system does not tell. */
function readWaitMs(pid: number): number | undefined {
    try {
        const [, waitNs] = readFileSync(`/proc/${pid}/schedstat`, "utf8").split(" ");
        return Number(waitNs) / 1e6;
    } catch {
        return undefined;
    }
}
