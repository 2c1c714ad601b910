import { z } from "zod";

const address = z.string().regex(/^[^:]+:\d+$/, "allowed is IP:PORT");

/** Settings that every process has on the users' platform; the deployment's template fills them in. */
const common = {
    name: z.string().min(1),
    availabilityZone: z.string().min(1),
    ip: z.string().min(1),
    peerPort: z.number().int(),
    metricsPort: z.number().int(),
    /** Addresses of a few entries, possibly stale; only their IPs are used. */
    seeds: z
        .array(address)
        .nullish()
        .transform(seeds => seeds ?? []),
    storeAddress: address,
    longestHoldMs: z.number().positive(),
    keepJobsSeconds: z.number().positive(),
    graceSeconds: z.number().positive(),
};

/** Settings of an entry. */
export const platformEntrySchema = z.object({
    ...common,
    callerAddress: address,
    readyAddress: address,
    /** How many times slower tasks run far from their data or from each other. */
    farFactor: z.number().min(1),
    /** Part of a core that the process may use, and how many times as fast as a standard core it is. */
    cpuShare: z.number().positive().default(1),
    cpuSpeed: z.number().positive().default(1),
});

/** Settings of an agent. */
export const platformAgentSchema = z.object({
    ...common,
    registrationAddress: address,
    workerAddress: address,
});

export type PlatformEntrySettings = z.infer<typeof platformEntrySchema>;
export type PlatformAgentSettings = z.infer<typeof platformAgentSchema>;
