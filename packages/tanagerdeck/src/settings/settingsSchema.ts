// Schemas of the settings files of entry and agent processes.
import { z } from "zod";

const addressSchema = z
    .string()
    .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, "must be an IPv4 number and a port, such as 10.0.0.1:7000");
const nameSchema = z
    .string()
    .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "must be lower-case letters, digits and hyphens");
const traceFields = {
    traceCollector: z.string().url().optional(),
    traceFile: z.string().min(1).optional(),
    traceSampleRatio: z.number().min(0).max(1).default(0),
};
const logLevelSchema = z.enum(["debug", "info", "warn", "error"]).default("info");

/** Schema of the settings of an entry process. */
export const entrySettingsSchema = z.strictObject({
    name: nameSchema,
    environment: nameSchema,
    region: nameSchema,
    availabilityZone: nameSchema,
    callerAddress: addressSchema,
    operatorAddress: addressSchema,
    peerAddress: addressSchema,
    metricsAddress: addressSchema,
    platformAddress: addressSchema,
    /** Peer addresses of other entries, which provide the configuration while the platform is down. */
    seeds: z.array(addressSchema).default([]),
    peerToken: z.string().min(16),
    operatorToken: z.string().min(16),
    lingerMs: z.number().int().nonnegative().default(3_000),
    logLevel: logLevelSchema,
    ...traceFields,
});

/** Schema of the settings of an agent process. */
export const agentSettingsSchema = z.strictObject({
    name: nameSchema,
    environment: nameSchema,
    region: nameSchema,
    availabilityZone: nameSchema,
    peerAddress: addressSchema,
    metricsAddress: addressSchema,
    seeds: z.array(addressSchema).min(1),
    peerToken: z.string().min(16),
    server: z.discriminatedUnion("kind", [
        z.strictObject({
            kind: z.literal("runner"),
            address: addressSchema,
            slots: z.number().int().positive(),
            connections: z.number().int().positive(),
        }),
        z.strictObject({
            kind: z.literal("worker"),
            address: addressSchema,
            rack: nameSchema,
            slot: z.number().int().nonnegative(),
            accelerators: z.number().int().positive(),
        }),
    ]),
    drainGraceMs: z.number().int().nonnegative().default(30_000),
    logLevel: logLevelSchema,
    ...traceFields,
});

/** Settings of an entry process. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/** Settings of an agent process. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
