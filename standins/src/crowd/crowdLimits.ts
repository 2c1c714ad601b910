import type { ChildProcess } from "../processes/childProcess.ts";
import type { ProcessWatch } from "./processWatch.ts";

/**
 * Memory of the VM in megabytes. A quiet entry peaks at 68 MB, and at 88 MB while 16 connections use it one request
 * after the other. The rest holds `intake.memoryMb` and the blocks of up to 64 KB that are read from each connection
 * until the next garbage collection frees them.
 */
const VM_MEMORY_MB = 160;
/** Descriptors that a process may hold. */
const MAX_DESCRIPTORS = 600;
/** Node flags of the processes. The heap is small, so that a small crowd fills it. */
export const CROWD_NODE_FLAGS = ["--max-old-space-size=56"];

/** Settings of a process that a crowd plays against: small limits, so that small crowds reach them. */
export const CROWD_SETTINGS = {
    memoryMb: VM_MEMORY_MB,
    maxDescriptors: MAX_DESCRIPTORS,
    // 100 descriptors remain for everything else: a quiet entry or agent holds fewer than 50.
    intake: { memoryMb: 16, maxConnections: 500, headTimeoutMs: 2_000, idleTimeoutMs: 3_000 },
};

/** A process with the watch over its peaks. */
export interface WatchedProcess {
    child: ChildProcess;
    watch: ProcessWatch;
}

/** The ways in which a process has failed to bear a crowd; empty if it lives and its peaks are within the limits. */
export function crowdProblems({ child, watch }: WatchedProcess): string[] {
    return child.running() ? peakProblems({ child, watch }) : [`${child.name} ended: ${lastWords(child)}`];
}

/** The peaks of a process that are above the limits; the process may have ended. */
export function peakProblems({ child, watch }: WatchedProcess): string[] {
    const problems: string[] = [];
    if (watch.peakMb() >= VM_MEMORY_MB) {
        problems.push(`${child.name} used ${watch.peakMb().toFixed(0)} MB of ${VM_MEMORY_MB}`);
    }
    if (watch.peakDescriptors() >= MAX_DESCRIPTORS) {
        problems.push(`${child.name} held ${watch.peakDescriptors()} descriptors of ${MAX_DESCRIPTORS}`);
    }
    return problems;
}

/** The reason that V8 printed, or the end of the output. */
function lastWords(child: ChildProcess): string {
    const output = child.output();
    return /FATAL ERROR: .*/.exec(output)?.[0] ?? output.slice(-300);
}
