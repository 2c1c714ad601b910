import { setFlagsFromString } from "node:v8";

/**
 * V8 flags of every tanagerdeck process. All of them take effect at run time. Node 20 has read `--max-semi-space-size` before any script runs, so
 * setting it here has no effect; the growth factor is read at each collection. A factor of 1 keeps the young
 * generation at its initial size instead of letting it grow to 32 MB. The others avoid compiling the same code
 * a second time, whose working memory is not given back to the system.
 */
export const HEAP_FLAGS = [
    "--semi-space-growth-factor=1",
    "--no-wasm-tier-up",
    "--no-wasm-dynamic-tiering",
    "--no-sparkplug",
];

/** More flags for agents, which wait for sockets and compute little. Entries decide placements and need it. */
export const AGENT_FLAGS = ["--no-opt"];

/** Sets V8 flags; to be called before other modules are loaded. */
export function applyHeapFlags(flags: string[]): void {
    for (const flag of flags) {
        setFlagsFromString(flag);
    }
}
