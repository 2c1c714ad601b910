import { z } from "zod";

const addressSchema = z.string().regex(/^[^:]+:\d+$/, "must have the form IP:PORT");

/** Settings of every process on the users' platform, as the deployment template fills them in. */
const commonSettings = {
    name: z.string().min(1),
    availabilityZone: z.string().min(1),
    ip: z.string().min(1),
    peerPort: z.number().int(),
    metricsPort: z.number().int(),
    /** Addresses of some entries, possibly out of date. Only the IP of each is used; the port is `peerPort`. */
    seeds: z
        .array(addressSchema)
        .nullish()
        .transform(seeds => seeds ?? []),
    storeAddress: addressSchema,
    longestHoldMs: z.number().positive(),
    keepJobsSeconds: z.number().positive(),
    graceSeconds: z.number().positive(),
    /**
     * Time in milliseconds from the acknowledgement of an evacuation until no task may start in the availability zone. Absent
     * where the deployment does not use evacuations.
     */
    evacuationLimitMs: z
        .number()
        .positive()
        .nullish()
        .transform(limitMs => limitMs ?? undefined),
};

const optionalPositive = z
    .number()
    .positive()
    .nullish()
    .transform(value => value ?? undefined);

/** Limits for what callers may make an entry hold; each has a default. */
const intakeSchema = z.object({
    /** Memory for all connections of callers, in MB. */
    memoryMb: optionalPositive,
    maxConnections: optionalPositive,
    /** Unanswered requests of a connection up to which it is read. */
    readAhead: optionalPositive,
    /** Replaces the manifest's `header_timeout_ms`. */
    headTimeoutMs: optionalPositive,
    /** Replaces the manifest's `idle_timeout_ms`. */
    idleTimeoutMs: optionalPositive,
});

/** Settings of an entry process on the users' platform. */
export const platformEntrySchema = z.object({
    ...commonSettings,
    callerAddress: addressSchema,
    readyAddress: addressSchema,
    /** Factor by which tasks run slower when they are far from their data or from each other. */
    farFactor: z.number().min(1),
    /** Fraction of a core that the process may use. */
    cpuShare: z.number().positive().default(1),
    /** Speed of that core relative to a standard core. */
    cpuSpeed: z.number().positive().default(1),
    /** Memory of the VM in MB. */
    memoryMb: optionalPositive,
    /** File descriptors that the process may open. */
    maxDescriptors: optionalPositive,
    intake: intakeSchema.nullish().transform(intake => intake ?? undefined),
    /** All availability zones with their regions; an evacuation of another zone has no effect. */
    zones: z
        .record(z.string(), z.string())
        .nullish()
        .transform(zones => zones ?? undefined),
});

/** Settings of an agent process on the users' platform. */
export const platformAgentSchema = z.object({
    ...commonSettings,
    registrationAddress: addressSchema,
    workerAddress: addressSchema,
    /** Service of the worker. Heartbeats that name another one come from another writer. */
    workerService: z
        .string()
        .nullish()
        .transform(service => service ?? undefined),
});

export type PlatformEntrySettings = z.infer<typeof platformEntrySchema>;
export type PlatformAgentSettings = z.infer<typeof platformAgentSchema>;
