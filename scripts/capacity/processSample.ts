import { readFileSync } from "node:fs";

/** Clock ticks per second in /proc/PID/stat; Linux always reports 100 to user space. */
const TICKS_PER_SECOND = 100;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** Resources that a process has used since its start, and its current memory. */
export interface ProcessSample {
    atSeconds: number;
    processorSeconds: number;
    /** Bytes read and written by system calls, nearly all of which is socket traffic. */
    transferredBytes: number;
    residentKilobytes: number;
    privateDirtyKilobytes: number;
}

/** Resource usage of a process between two samples. */
export interface ProcessUsage {
    /** Microseconds of processor time per second. */
    processorMicroseconds: number;
    /** Bytes per second, both directions added. */
    bytesPerSecond: number;
    residentKilobytes: number;
    privateDirtyKilobytes: number;
}

/** Samples a process from /proc. */
export function sampleProcess(pid: number): ProcessSample {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const io = readFileSync(`/proc/${pid}/io`, "utf8");
    const memory = readFileSync(`/proc/${pid}/smaps_rollup`, "utf8");
    return {
        atSeconds: performance.now() / 1_000,
        processorSeconds: (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND,
        transferredBytes: field(io, "rchar") + field(io, "wchar"),
        residentKilobytes: field(memory, "Rss"),
        privateDirtyKilobytes: field(memory, "Private_Dirty"),
    };
}

/** The usage between two samples; the memory is that of the later sample. */
export function usageBetween(before: ProcessSample, after: ProcessSample): ProcessUsage {
    const seconds = after.atSeconds - before.atSeconds;
    return {
        processorMicroseconds:
            ((after.processorSeconds - before.processorSeconds) / seconds) * MICROSECONDS_PER_SECOND,
        bytesPerSecond: (after.transferredBytes - before.transferredBytes) / seconds,
        residentKilobytes: after.residentKilobytes,
        privateDirtyKilobytes: after.privateDirtyKilobytes,
    };
}

/** The mean usage of several processes. */
export function meanUsage(usages: ProcessUsage[]): ProcessUsage {
    const mean = (read: (usage: ProcessUsage) => number) =>
        usages.reduce((total, use) => total + read(use), 0) / usages.length;
    return {
        processorMicroseconds: mean(usage => usage.processorMicroseconds),
        bytesPerSecond: mean(usage => usage.bytesPerSecond),
        residentKilobytes: mean(usage => usage.residentKilobytes),
        privateDirtyKilobytes: mean(usage => usage.privateDirtyKilobytes),
    };
}

function field(text: string, name: string): number {
    return Number(new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(text)?.[1] ?? 0);
}
