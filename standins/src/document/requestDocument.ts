import { tokenDigest } from "@tanagerdeck/runtime/access/token";

/** A configuration document with one client account, whose callers authenticate with `token`, and one request kind. */
export function requestDocument(token: string) {
    return {
        clientAccounts: [
            {
                name: "counter",
                tokenDigests: [tokenDigest(token)],
                guarantees: [],
                quota: { accelerators: 0, requestsPerSecond: 100, waiting: 100 },
                weight: 1,
            },
        ],
        kinds: [
            {
                name: "quote",
                clientAccounts: ["counter"],
                repeatable: true,
                form: "request",
                limits: { seconds: 10, bytes: 10_000, accelerators: 0 },
                priority: "urgent",
            },
        ],
        racks: [],
        weights: { completionTime: 3, fragmentation: 1 },
    };
}
