/** Amounts of CPU, memory and GPUs. */
export interface Resources {
    cpuMillis: number;
    memoryMb: number;
    gpus: number;
}

/** A set of identical tasks in a job. A task runs on one worker. */
export interface Step {
    count: number;
    /** Resources that each task needs. */
    resources: Resources;
    /** The submitter's rough estimate of a task's duration. */
    estimateMs: number;
    /** Positions in the job of the earlier steps that must be done before this one starts. */
    after: number[];
    /** Whether the tasks run all together or not at all. The step is done as soon as one of its tasks is done. */
    gang: boolean;
    /** Whether the tasks slow down by the deployment's distance factor (`farFactor`) unless they share a rack. */
    sameRack: boolean;
    /** The rack that holds the input data; tasks on other racks slow down by the distance factor. */
    dataRack?: string | undefined;
    requiredLabel?: string | undefined;
    /** Maximum number of the step's tasks on one worker. */
    maxPerWorker?: number | undefined;
    checkpointing: boolean;
    /** Whether several copies of a task may run in parallel. */
    speculative: boolean;
    /** Whether the tasks run until the job is cancelled, and are restarted whenever they end. */
    longRunning: boolean;
}

/** A job whose steps run several times at fixed intervals. */
export interface Schedule {
    /** Wall-clock time of the first occurrence, in milliseconds since 1970. */
    firstDueMs: number;
    intervalMs: number;
    occurrences: number;
}

/** Scheduling terms that a queue applies to its jobs. */
export interface QueueTerms {
    /** Priority of the jobs; 0 is the highest. */
    priority: number;
    /** Number of failed runs after which a task group, and so its job, fails. */
    attempts: number;
    /** Factor by which the job's own work counts in its latency objective. */
    stretch: number;
    /** Constant part of the latency objective, in milliseconds. */
    latencyTargetMs: number;
}

/** What a caller submits. */
export interface JobRequest {
    id: string;
    /** Specification that is passed to the workers unread. */
    spec: string;
    steps: Step[];
    schedule?: Schedule | undefined;
    /** Fields that ask for what does not exist. They are logged and are no part of the job. */
    unsupported?: string[] | undefined;
}

/** An accepted job. Immutable. */
export interface Job extends Omit<JobRequest, "unsupported"> {
    queue: string;
    service: string;
    /** The client account that is charged; absent on public queues. */
    clientAccount?: string | undefined;
    /** The queue's terms at acceptance, so that they still apply after the queue has been removed. */
    terms: QueueTerms;
    /** Wall-clock time of the entry that accepted the job, in milliseconds since 1970. */
    acceptedAtMs: number;
}

/** State of a job as its submitter sees it. */
export type JobState = "queued" | "running" | "completed" | "failed" | "cancelled";

/** The sum of two amounts. */
export function addResources(left: Resources, right: Resources): Resources {
    return {
        cpuMillis: left.cpuMillis + right.cpuMillis,
        memoryMb: left.memoryMb + right.memoryMb,
        gpus: left.gpus + right.gpus,
    };
}

/** `left` minus `right`; a component may become negative. */
export function subtractResources(left: Resources, right: Resources): Resources {
    return {
        cpuMillis: left.cpuMillis - right.cpuMillis,
        memoryMb: left.memoryMb - right.memoryMb,
        gpus: left.gpus - right.gpus,
    };
}

/** Number of times that `needed` fits into `free`; at least 0. */
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
