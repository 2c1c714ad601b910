import { setFlagsFromString } from "node:v8";

/**
 * V8 flags of every tanagerdeck process. All of them take effect when they are set at run time.
 *
 * - `--semi-space-growth-factor=1` keeps the young generation at its initial size; by default it grows to 32 MB. V8
 *   reads the factor at each collection. `--max-semi-space-size` would have no effect here, since Node 20 reads it
 *   before any script runs.
 * - The other flags avoid compiling the same code a second time; V8 does not return the memory that the second
 *   compilation uses to the system.
 */
export const HEAP_FLAGS = [
    "--semi-space-growth-factor=1",
    "--no-wasm-tier-up",
    "--no-wasm-dynamic-tiering",
    "--no-sparkplug",
];

/**
 * Additional flags for agents. They turn the optimizing compiler off, since agents mostly wait for sockets and
 * compute little. Entries compute placements and need the compiler.
 */
export const AGENT_FLAGS = ["--no-opt"];

/** Sets V8 flags; must be called before other modules are loaded. */
export function applyHeapFlags(flags: string[]): void {
    for (const flag of flags) {
        setFlagsFromString(flag);
    }
}
