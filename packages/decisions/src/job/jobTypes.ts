/** Amounts of one worker's resources. */
export interface Resources {
    cpuMillis: number;
    memoryMb: number;
    gpus: number;
}

/** Tasks of one kind in a job. A task runs on one worker. */
export interface Step {
    count: number;
    /** Needed by each task. */
    resources: Resources;
    /** The submitter's rough estimate of a task's duration. */
    estimateMs: number;
    /** Earlier steps that must be done first, by their position in the job. */
    after: number[];
    /** The tasks run together or not at all, and one end as done stands for all of them. */
    gang: boolean;
    /** The tasks are slower by the deployment's distance factor unless they run within one rack. */
    sameRack: boolean;
    /** The rack with the input; tasks on other racks are slower by the distance factor. */
    dataRack?: string | undefined;
    requiredLabel?: string | undefined;
    /** Largest number of the step's tasks on one worker. */
    maxPerWorker?: number | undefined;
    checkpointing: boolean;
    /** Copies may run in parallel. */
    speculative: boolean;
    /** The tasks run until the job is cancelled and are restarted however they end. */
    longRunning: boolean;
}

/** A job whose steps run several times at fixed intervals. */
export interface Schedule {
    /** Wall-clock time of the first occurrence, in milliseconds since 1970. */
    firstDueMs: number;
    intervalMs: number;
    occurrences: number;
}

/** How a queue treats its jobs. */
export interface QueueTerms {
    /** 0 is the most urgent. */
    priority: number;
    /** Runs of a task that may end as failed before its job fails. */
    attempts: number;
    /** Factor of the job's own work in its latency objective. */
    stretch: number;
    /** Constant part of the latency objective, in milliseconds. */
    latencyTargetMs: number;
}

/** What a caller submits. */
export interface JobRequest {
    id: string;
    /** Opaque text for the workers. */
    spec: string;
    steps: Step[];
    schedule?: Schedule | undefined;
}

/** An accepted job; it never changes. */
export interface Job extends JobRequest {
    queue: string;
    service: string;
    /** The client account that pays; absent on public queues. */
    clientAccount?: string | undefined;
    /** Terms of the queue at acceptance, for the time after the queue has been removed. */
    terms: QueueTerms;
    /** Wall clock of the entry that accepted it. */
    acceptedAtMs: number;
}

/** State of a job as its caller sees it. */
export type JobState = "queued" | "running" | "completed" | "failed" | "cancelled";

/** The sum of two amounts. */
export function addResources(left: Resources, right: Resources): Resources {
    return {
        cpuMillis: left.cpuMillis + right.cpuMillis,
        memoryMb: left.memoryMb + right.memoryMb,
        gpus: left.gpus + right.gpus,
    };
}

/** `left` without `right`; a component may become negative. */
export function subtractResources(left: Resources, right: Resources): Resources {
    return {
        cpuMillis: left.cpuMillis - right.cpuMillis,
        memoryMb: left.memoryMb - right.memoryMb,
        gpus: left.gpus - right.gpus,
    };
}

/** How many times `needed` fits into `free`. */
export function countFitting(free: Resources, needed: Resources): number {
    let times = Number.MAX_SAFE_INTEGER;
    for (const part of ["cpuMillis", "memoryMb", "gpus"] as const) {
        if (needed[part] > 0) {
            times = Math.min(times, Math.floor(free[part] / needed[part]));
        }
    }
    return Math.max(0, times);
}

/** An empty amount. */
export const NO_RESOURCES: Readonly<Resources> = { cpuMillis: 0, memoryMb: 0, gpus: 0 };
