import { readdirSync, readFileSync } from "node:fs";

/** Peaks of a process, which stay readable after it has ended. */
export interface ProcessWatch {
    /** Greatest resident memory in megabytes, as the kernel counts it (`VmHWM`). */
    peakMb(): number;
    /** Greatest number of open descriptors that was seen. */
    peakDescriptors(): number;
    stop(): void;
}

/** A process that runs out of memory ends within some hundred milliseconds. */
const SAMPLE_INTERVAL_MS = 25;

/** Watches a process until it ends or the watch is stopped. */
export function watchProcess(pid: number): ProcessWatch {
    let peakMb = 0;
    let peakDescriptors = 0;
    const sample = () => {
        try {
            const status = readFileSync(`/proc/${pid}/status`, "latin1");
            peakMb = Math.max(peakMb, Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024);
            peakDescriptors = Math.max(peakDescriptors, readdirSync(`/proc/${pid}/fd`).length);
        } catch {
            // The process has ended.
            clearInterval(timer);
        }
    };
    const timer = setInterval(sample, SAMPLE_INTERVAL_MS);
    const sampled = (read: () => number) => () => {
        sample();
        return read();
    };
    return {
        peakMb: sampled(() => peakMb),
        peakDescriptors: sampled(() => peakDescriptors),
        stop: () => clearInterval(timer),
    };
}
