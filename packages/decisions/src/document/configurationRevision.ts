import type { Configuration } from "./documentTypes.ts";

/** Returns the configuration with the higher revision, so that a process never returns to an older one. */
export function newerConfiguration(
    current: Configuration | undefined,
    offered: Configuration | undefined,
): Configuration | undefined {
    if (!offered || (current && offered.revision <= current.revision)) {
        return current;
    }
    return offered;
}
