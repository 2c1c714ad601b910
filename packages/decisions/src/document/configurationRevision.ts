import type { Configuration } from "./documentTypes.ts";

/** Adopts a configuration only if it is newer, so that no process goes back. */
export function newerConfiguration(
    current: Configuration | undefined,
    offered: Configuration | undefined,
): Configuration | undefined {
    if (!offered || (current && offered.revision <= current.revision)) {
        return current;
    }
    return offered;
}
