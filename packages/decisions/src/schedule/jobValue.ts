import type { Job, QueueTerms, Resources, Step } from "../job/jobTypes.ts";

/** Value of a job as a function of its completion time, for one scheduling round. */
export interface JobValue {
    /** Value of a completion within the latency objective. */
    fullValue: number;
    /** Expected time to completion if all runnable tasks start now, in milliseconds. */
    runMs: number;
    /** Expected work in core-seconds; an accelerator counts as several cores. */
    workCoreSeconds: number;
    /** Wall-clock time at which the latency objective ends. */
    objectiveAtMs: number;
    /** Wall-clock time after which a completion has no value. */
    zeroValueAtMs: number;
}

/** Value of a job of mean size by its queue's priority; lower priorities count as the last one. */
const VALUE_BY_PRIORITY = [4, 3, 1];
/** Fraction of the value that does not depend on the job's size, and the largest relative size that counts. */
const SIZE_INDEPENDENT_FRACTION = 0.3;
const MAX_RELATIVE_SIZE = 4;
/** Fraction of the value that a late completion keeps, and the multiple of the objective after which none is left. */
const LATE_VALUE_FRACTION = 0.3;
const ZERO_VALUE_FACTOR = 3;
/** Cores that an accelerator counts as in measures of work. */
export const CORES_PER_GPU = 8;
/** Estimated duration of tasks whose submitter gives none, in milliseconds. */
const DEFAULT_ESTIMATE_MS = 5_000;
/** Time scale on which slack lowers a job's urgency, in milliseconds. */
const SLACK_SCALE_MS = 8_000;

/** The submitter's estimate of a task's duration, or a default. */
export function estimateOf(step: Step): number {
    return step.estimateMs > 0 ? step.estimateMs : DEFAULT_ESTIMATE_MS;
}

/** A task's CPU and accelerators as a number of cores. */
export function coreEquivalents(resources: Resources): number {
    return resources.cpuMillis / 1_000 + resources.gpus * CORES_PER_GPU;
}

/**
 * Duration of the longest chain of dependent steps, in milliseconds. Steps other than gangs that need more than the
 * fraction `part` of the capacity `room` count as several waves, each of that width.
 */
export function criticalPathMs(steps: Step[], room: Resources, part: number): number {
    const endsAt: number[] = [];
    for (const step of steps) {
        let startsAt = 0;
        for (const earlier of step.after) {
            startsAt = Math.max(startsAt, endsAt[earlier] ?? 0);
        }
        endsAt.push(startsAt + estimateOf(step) * countWaves(step, room, part));
    }
    return Math.max(0, ...endsAt);
}

function countWaves({ gang, count, resources }: Step, room: Resources, part: number): number {
    if (gang) {
        return 1;
    }
    let waves = 1;
    for (const name of ["cpuMillis", "memoryMb", "gpus"] as const) {
        if (room[name] > 0) {
            waves = Math.max(waves, Math.ceil((count * resources[name]) / (room[name] * part)));
        }
    }
    return waves;
}

/** Expected work of all steps in core-seconds. */
export function expectedCoreSeconds(steps: Step[]): number {
    let work = 0;
    for (const step of steps) {
        work += step.count * coreEquivalents(step.resources) * (estimateOf(step) / 1_000);
    }
    return work;
}

/** Reference quantities for the value of a job. */
export interface ValueScale {
    /** Mean work of the queue's jobs in core-seconds. */
    meanCoreSeconds: number;
    /** Capacity of all workers of the service. */
    room: Resources;
}

/** Fraction of the service's capacity that the latency objective assumes for one wave of a wide step. */
const OBJECTIVE_CAPACITY_FRACTION = 0.25;

/** Computes the value of a job, or of one occurrence, whose latency is measured from `sinceMs`. */
export function valueOf(job: Job, terms: QueueTerms, scale: ValueScale, sinceMs: number): JobValue {
    const { meanCoreSeconds, room } = scale;
    const workCoreSeconds = expectedCoreSeconds(job.steps);
    const size = meanCoreSeconds > 0 ? Math.min(MAX_RELATIVE_SIZE, workCoreSeconds / meanCoreSeconds) : 1;
    const fullValue =
        valueOfPriority(terms.priority) *
        (SIZE_INDEPENDENT_FRACTION + (1 - SIZE_INDEPENDENT_FRACTION) * size);
    const objectiveMs =
        terms.stretch * criticalPathMs(job.steps, room, OBJECTIVE_CAPACITY_FRACTION) + terms.latencyTargetMs;
    return {
        fullValue,
        runMs: criticalPathMs(job.steps, room, 1),
        workCoreSeconds,
        objectiveAtMs: sinceMs + objectiveMs,
        zeroValueAtMs: sinceMs + ZERO_VALUE_FACTOR * objectiveMs,
    };
}

/** Value of a completion at the given wall-clock time. */
export function valueAt(value: JobValue, completionMs: number): number {
    if (completionMs <= value.objectiveAtMs) {
        return value.fullValue;
    }
    return completionMs <= value.zeroValueAtMs ? LATE_VALUE_FRACTION * value.fullValue : 0;
}

/** Time for which the job can still wait before its value drops. */
export function slackOf(value: JobValue, nowMs: number): number {
    const inTime = value.objectiveAtMs - value.runMs - nowMs;
    return inTime >= 0 ? inTime : Math.max(0, value.zeroValueAtMs - value.runMs - nowMs);
}

/**
 * Priority index of waiting jobs: value per core-second of work, reduced exponentially by the remaining slack. This is
 * the apparent tardiness cost rule (Vepsalainen and Morton, 1987).
 */
export function urgencyOf(value: JobValue, nowMs: number): number {
    const completionValue = valueAt(value, nowMs + value.runMs);
    const density = completionValue / Math.max(1, value.workCoreSeconds);
    return density * Math.exp(-slackOf(value, nowMs) / SLACK_SCALE_MS);
}

function valueOfPriority(priority: number): number {
    return VALUE_BY_PRIORITY[priority] ?? VALUE_BY_PRIORITY.at(-1) ?? 1;
}
