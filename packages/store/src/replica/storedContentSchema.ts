import { z } from "zod";
import type { TaskPlacement } from "@tanagerdeck/decisions/job/progressTypes";
import { countTasks, MAX_TASKS } from "@tanagerdeck/decisions/job/jobSize";
import { isAddress } from "@tanagerdeck/runtime/http/listener";

const resources = z.object({ cpuMillis: z.number(), memoryMb: z.number(), gpus: z.number() });

const step = z.looseObject({
    count: z.int().nonnegative(),
    resources,
    estimateMs: z.number(),
    after: z.array(z.int()),
    gang: z.boolean(),
    sameRack: z.boolean(),
    dataRack: z.string().optional(),
    requiredLabel: z.string().optional(),
    maxPerWorker: z.number().optional(),
    checkpointing: z.boolean(),
    speculative: z.boolean(),
    longRunning: z.boolean(),
});

const placement = z.object({
    index: z.int(),
    worker: z.string(),
    boot: z.object({ id: z.string(), bornMs: z.number() }),
});

/** Placements of consecutive tasks on one worker. */
const placementRange = z.object({
    from: z.int().nonnegative(),
    to: z.int().nonnegative(),
    worker: z.string(),
    boot: z.object({ id: z.string(), bornMs: z.number() }),
});

type StoredPlacement = z.infer<typeof placement> | z.infer<typeof placementRange>;

function countPlacements(stored: StoredPlacement[]): number {
    let total = 0;
    for (const one of stored) {
        total += "from" in one ? Math.max(0, one.to - one.from + 1) : 1;
    }
    return total;
}

function expandRanges(stored: StoredPlacement[]): TaskPlacement[] {
    const placements: TaskPlacement[] = [];
    for (const one of stored) {
        if (!("from" in one)) {
            placements.push(one);
            continue;
        }
        const { from, to, worker, boot } = one;
        for (let index = from; index <= to; index++) {
            placements.push({ index, worker, boot });
        }
    }
    return placements;
}

const placements = z
    .array(z.union([placement, placementRange]))
    .refine(stored => countPlacements(stored) <= MAX_TASKS, "too many placements")
    .transform(expandRanges);

const group = z.looseObject({
    phase: z.enum(["waiting", "placed", "closing", "done", "failed"]),
    run: z.int().nonnegative(),
    placements,
    failures: z.number(),
    failedRun: z.number(),
    crashes: z.record(z.string(), z.object({ total: z.number(), atStart: z.number() })).optional(),
    saved: z.string().optional(),
});

const registration = z.looseObject({
    name: z.string(),
    address: z.string().refine(isAddress, "not an address with a port"),
    availabilityZone: z.string(),
    incarnation: z.string(),
});

/**
 * Schemas of the stored contents, by kind. They hold for what this and earlier releases have written; fields that a
 * later release adds are kept.
 */
export const STORED_CONTENT_SCHEMAS = {
    definition: z
        .looseObject({
            id: z.string(),
            spec: z.string(),
            steps: z.array(step),
            schedule: z
                .looseObject({
                    firstDueMs: z.number(),
                    intervalMs: z.number(),
                    occurrences: z.int().nonnegative(),
                })
                .optional(),
            queue: z.string(),
            service: z.string(),
            clientAccount: z.string().optional(),
            terms: z.looseObject({
                priority: z.number(),
                attempts: z.number(),
                stretch: z.number(),
                latencyTargetMs: z.number(),
            }),
            acceptedAtMs: z.number(),
        })
        .refine(job => countTasks(job) <= MAX_TASKS, "too many tasks"),
    cancel: z.looseObject({ atMs: z.number() }),
    progress: z
        .looseObject({
            begun: z.boolean(),
            final: z.enum(["completed", "failed", "cancelled"]).optional(),
            endedAtMs: z.number().optional(),
            groups: z.record(z.string(), group).optional(),
            /** Set if the groups are stored in parts. */
            layout: z.literal("parts").optional(),
        })
        .refine(({ groups, layout }) => (groups === undefined) === (layout === "parts"), "no groups"),
    "progress-part": z.looseObject({ groups: z.record(z.string(), group) }),
    registration,
    leader: registration,
    speeds: z.looseObject({
        workers: z.record(
            z.string(),
            z.object({
                boot: z.object({ id: z.string(), bornMs: z.number() }),
                factor: z.number().positive(),
                observations: z.number().nonnegative(),
            }),
        ),
    }),
    absences: z.looseObject({ agents: z.record(z.string(), z.number().nonnegative()) }),
} as const;
