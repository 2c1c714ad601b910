import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";

/** Two job kinds: jobs of the first may run more than once, jobs of the second must not. */
export const REPEATABLE_KIND = "routes";
export const NON_REPEATABLE_KIND = "booking";

/** A configuration with two client accounts and both job kinds; `boundWorkers` workers are bound to `owner`. */
export function gangConfiguration(boundWorkers = 0, acceleratorsPerWorker = 2): Configuration {
    const quota = { accelerators: 64, requestsPerSecond: 10, waiting: 100 };
    const limits = { seconds: 20, bytes: 10_000, accelerators: 6 * acceleratorsPerWorker };
    const clientAccounts = ["vans", "owner"];
    const kind = { clientAccounts, form: "gang", limits, priority: "normal" } as const;
    const accelerators = [];
    for (let worker = 0; worker < boundWorkers; worker++) {
        for (let index = 0; index < acceleratorsPerWorker; index++) {
            accelerators.push({ rack: `rack-${Math.floor(worker / 3)}`, slot: worker % 3, index });
        }
    }
    const shape = { span: "neighbouring-racks" as const, accelerators: accelerators.length };
    const rack = { availabilityZone: "zone", workers: 3, acceleratorsPerWorker };
    return {
        revision: 1,
        digest: "",
        changeId: "",
        document: {
            clientAccounts: clientAccounts.map(name => ({
                name,
                tokenDigests: [],
                guarantees: name === "owner" && boundWorkers > 0 ? [shape] : [],
                quota,
                weight: 1,
            })),
            kinds: [
                { ...kind, name: REPEATABLE_KIND, repeatable: true },
                { ...kind, name: NON_REPEATABLE_KIND, repeatable: false },
            ],
            racks: [
                { ...rack, name: "rack-0" },
                { ...rack, name: "rack-1" },
            ],
            weights: { completionTime: 1, fragmentation: 1 },
            whenPlatformUnreachable: "serve",
        },
        bindings: boundWorkers > 0 ? [{ clientAccount: "owner", guarantee: 0, shape, accelerators }] : [],
    };
}
