import type { Job, Resources, Step } from "@tanagerdeck/decisions/job/jobTypes";
import type { Boot, Progress } from "@tanagerdeck/decisions/job/progressTypes";
import type { RecordedProgress } from "@tanagerdeck/decisions/plan/clusterState";
import type {
    EndedTask,
    RunningTask,
    SyncReport,
    WorkerDescription,
} from "@tanagerdeck/decisions/worker/workerReport";

/** A boot of a test worker. */
export function bootOf(id: string, bornMs = 1_000): Boot {
    return { id, bornMs };
}

/** Resources of a task with the given numbers of cores and accelerators. */
export function resourcesOf(cores: number, gpus: number): Resources {
    return { cpuMillis: cores * 1_000, memoryMb: 1_000, gpus };
}

/** A step with one task outside of a gang; `changes` overrides its fields. */
export function stepOf(changes: Partial<Step> = {}): Step {
    return {
        count: 1,
        resources: resourcesOf(4, 1),
        estimateMs: 5_000,
        after: [],
        gang: false,
        sameRack: false,
        checkpointing: false,
        speculative: false,
        longRunning: false,
        ...changes,
    };
}

/** A job with the given steps; `changes` overrides its other fields. */
export function jobOf(id: string, steps: Step[], changes: Partial<Job> = {}): Job {
    return {
        id,
        spec: `spec of ${id}`,
        steps,
        queue: "queue",
        service: "desk",
        clientAccount: "okahandja",
        terms: { priority: 1, attempts: 2, stretch: 2, latencyTargetMs: 1_000 },
        acceptedAtMs: 0,
        ...changes,
    };
}

/** Progress that the store holds as one value. */
export function recordedOf(progress: Progress): RecordedProgress {
    return { progress, layout: "whole", revisions: new Map([["head", 1]]) };
}

/** A ready worker with 64 cores and 8 accelerators; `changes` overrides its fields. */
export function descriptionOf(name: string, changes: Partial<WorkerDescription> = {}): WorkerDescription {
    return {
        boot: bootOf(`i-${name}`),
        service: "desk",
        availabilityZone: "zone",
        rack: "r1",
        labels: ["a", "r1"],
        capacity: { cpuMillis: 64_000, memoryMb: 128_000, gpus: 8 },
        condition: "ready",
        hasLapsed: false,
        ...changes,
    };
}

/** An agent's report of a worker, without tasks or orders unless `lists` gives them. */
export function reportOf(
    worker: WorkerDescription | undefined,
    lists: { running?: RunningTask[]; ended?: EndedTask[] } & Partial<SyncReport> = {},
): SyncReport {
    return {
        stamp: { incarnation: "first", now: 0, wall: 0 },
        version: 1,
        worker,
        running: [],
        ended: [],
        starts: [],
        stops: [],
        ...lists,
    };
}
