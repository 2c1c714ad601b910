import { setFlagsFromString } from "node:v8";

/**
 * V8 flags of every tanagerdeck process. Node 20 has read `--max-semi-space-size` before any script runs, so
 * setting it here has no effect; the growth factor is read at each collection. A factor of 1 keeps the young
 * generation at its initial size instead of letting it grow to 32 MB.
 */
export const HEAP_FLAGS = ["--semi-space-growth-factor=1"];

/** Sets the heap flags; to be called before other modules are loaded. */
export function applyHeapFlags(setFlag: (flag: string) => void = setFlagsFromString): void {
    for (const flag of HEAP_FLAGS) {
        setFlag(flag);
    }
}
