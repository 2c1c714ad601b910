import { z } from "zod";
import type { ConfigurationDocument } from "@tanagerdeck/decisions/document/documentTypes";

const name = z
    .string()
    .regex(
        /^[a-z0-9][a-z0-9-]{0,62}$/,
        "must be 1 to 63 lower-case letters, digits or hyphens and must not start with a hyphen",
    );
const nonNegativeInteger = z.number().int().nonnegative();
const positiveNumber = z.number().positive();

const guaranteeShape = z.strictObject({
    span: z.enum(["worker", "rack", "neighbouring-racks"]),
    accelerators: z.number().int().positive(),
});

const clientAccount = z.strictObject({
    name,
    tokenDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/, "must be a hex SHA-256 digest")),
    guarantees: z.array(guaranteeShape),
    quota: z.strictObject({
        accelerators: nonNegativeInteger,
        requestsPerSecond: positiveNumber,
        waiting: nonNegativeInteger,
    }),
    weight: positiveNumber,
});

const kind = z.strictObject({
    name,
    clientAccounts: z.array(name).min(1),
    repeatable: z.boolean(),
    form: z.enum(["request", "gang"]),
    limits: z.strictObject({
        seconds: positiveNumber,
        bytes: z.number().int().positive(),
        accelerators: nonNegativeInteger,
    }),
    priority: z.enum(["urgent", "normal", "batch"]),
});

const rack = z.strictObject({
    name,
    availabilityZone: name,
    workers: z.number().int().positive(),
    acceleratorsPerWorker: z.number().int().positive(),
});

/** Schema of the operators' configuration document; unknown fields are refused. */
export const documentSchema = z.strictObject({
    clientAccounts: z.array(clientAccount),
    kinds: z.array(kind),
    racks: z.array(rack),
    weights: z.strictObject({ completionTime: nonNegativeInteger, fragmentation: nonNegativeInteger }),
    whenPlatformUnreachable: z
        .enum(["serve", "serve-while-peers-agree", "refuse"])
        .default("serve-while-peers-agree"),
}) satisfies z.ZodType<ConfigurationDocument>;
