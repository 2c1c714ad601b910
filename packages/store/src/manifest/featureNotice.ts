import type { Log } from "@tanagerdeck/runtime/log/log";

/** Returns a function that logs the features that the operator asks for and that do not exist, once for each set. */
export function createFeatureNotice(log: Log): (features: Iterable<string>) => void {
    const logged = new Set<string>();
    return features => {
        const sorted = [...new Set(features)].sort().join(" ");
        if (sorted !== "" && !logged.has(sorted)) {
            logged.add(sorted);
            log.warn("The operator asks for features that are not supported.", { features: sorted });
        }
    };
}
