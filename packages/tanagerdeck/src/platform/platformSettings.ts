import { z } from "zod";

const addressSchema = z.string().regex(/^[^:]+:\d+$/, "allowed is IP:PORT");

/** Settings that every process has on the users' platform; the deployment's template fills them in. */
const commonSettings = {
    name: z.string().min(1),
    availabilityZone: z.string().min(1),
    ip: z.string().min(1),
    peerPort: z.number().int(),
    metricsPort: z.number().int(),
    /** Addresses of a few entries, possibly stale; only their IPs are used. */
    seeds: z
        .array(addressSchema)
        .nullish()
        .transform(seeds => seeds ?? []),
    storeAddress: addressSchema,
    longestHoldMs: z.number().positive(),
    keepJobsSeconds: z.number().positive(),
    graceSeconds: z.number().positive(),
};

/** Settings of an entry. */
export const platformEntrySchema = z.object({
    ...commonSettings,
    callerAddress: addressSchema,
    readyAddress: addressSchema,
    /** How many times slower tasks run far from their data or from each other. */
    farFactor: z.number().min(1),
    /** Part of a core that the process may use, and how many times as fast as a standard core it is. */
    cpuShare: z.number().positive().default(1),
    cpuSpeed: z.number().positive().default(1),
});

/** Settings of an agent. */
export const platformAgentSchema = z.object({
    ...commonSettings,
    registrationAddress: addressSchema,
    workerAddress: addressSchema,
});

export type PlatformEntrySettings = z.infer<typeof platformEntrySchema>;
export type PlatformAgentSettings = z.infer<typeof platformAgentSchema>;
