import { uniformFloat32 } from "pure-rand/distribution/uniformFloat32";
import { congruential32 } from "pure-rand/generator/congruential32";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Job, Resources, Step } from "@tanagerdeck/decisions/job/jobTypes";
import type { Departures } from "./planDepartures.ts";

/** Arrival rate, sizes, durations and value of the jobs of one queue. */
interface JobStream {
    queue: string;
    priority: number;
    jobsPerSecond: number;
    /** Value of a job of mean size that ends within its objective. */
    value: number;
    /** Value of a job of mean size that ends late. */
    lateValue: number;
    stretch: number;
    latencyTargetMs: number;
    meanTasks: number;
    meanMs: number;
    /** Maximum factor between an estimate and the true duration. */
    estimateFactor: number;
    cpuMillis: number;
    gpus: readonly number[];
    gangShare: number;
    sameRackShare: number;
    checkpointShare: number;
    /** Maximum factor of a task's run time around that of its step; `TASK_SPREAD` if absent. */
    taskSpread?: number;
}

/** Size of a deployment and its streams of jobs. */
export interface Deployment {
    name: string;
    workers: number;
    workersPerRack: number;
    capacity: Resources;
    streams: JobStream[];
    /** Number of seeds to average over: on a small site, one different placement changes a seed's result by 0.1. */
    seeds: number;
    departures?: Departures | undefined;
    /** Speed factors of the workers, in turn; all are 1 if absent. */
    speeds?: readonly number[];
    /** Time during which jobs arrive; `TRAFFIC_MS` if absent. */
    trafficMs?: number;
    /** Factor on the arrival rates; `HIGH_LOAD_FACTOR` if absent. */
    loadFactor?: number;
}

/** A job with its true durations and its value, which the scheduler does not see. */
export interface PlanJob {
    job: Job;
    /** True duration of each task on a worker near its data, by step and task index. */
    taskMs: number[][];
    value: number;
    lateValue: number;
    /** Time after acceptance within which the job must end to earn its full value. */
    objectiveMs: number;
    /** Whether a guarantee of the client account covers the job. */
    isGuaranteed: boolean;
}

/** Time during which jobs arrive. */
const TRAFFIC_MS = 60_000;
/** Factor on the arrival rates, as on days of high load. */
const HIGH_LOAD_FACTOR = 1.3;
/** Maximum factor of a size above or below its mean; half of it applies to durations. */
const SPREAD = 3;
/** Maximum size of a job, relative to the mean, that adds to its value. */
const MAX_RELATIVE_SIZE = 4;
/** Maximum factor between the run time of a task outside of gangs and that of its step. */
const TASK_SPREAD = 1.15;
/** Share of the urgent jobs that the guarantees cover. */
const GUARANTEED_SHARE = 0.6;
/** Share of the value of a job of mean size that does not depend on the size. */
const SIZE_INDEPENDENT_SHARE = 0.3;

const TASK_GPUS = [1, 2, 4, 8, 8] as const;

function streamsOf(scale: { rates: number[]; tasks: number[]; batchMs: number }): JobStream[] {
    const [checks = 0, quotes = 0, sweeps = 0] = scale.rates;
    const [checkTasks = 1, quoteTasks = 1, sweepTasks = 1] = scale.tasks;
    return [
        {
            queue: "check",
            priority: 1,
            jobsPerSecond: checks,
            value: 3,
            lateValue: 0.9,
            stretch: 3,
            latencyTargetMs: 1_200,
            meanTasks: checkTasks,
            meanMs: 12_143,
            estimateFactor: 1.5,
            cpuMillis: 26_000,
            gpus: TASK_GPUS,
            gangShare: 1,
            sameRackShare: 0.3,
            checkpointShare: 0.45,
        },
        {
            queue: "quote",
            priority: 0,
            jobsPerSecond: quotes,
            value: 4,
            lateValue: 0.8,
            stretch: 1.5,
            latencyTargetMs: 400,
            meanTasks: quoteTasks,
            meanMs: 3_571,
            estimateFactor: 1.9,
            cpuMillis: 7_500,
            gpus: TASK_GPUS,
            gangShare: 1,
            sameRackShare: 0.5,
            checkpointShare: 0,
        },
        {
            queue: "sweep",
            priority: 2,
            jobsPerSecond: sweeps,
            value: 1,
            lateValue: 0.3,
            stretch: 3,
            latencyTargetMs: 3_000,
            meanTasks: sweepTasks,
            meanMs: scale.batchMs,
            estimateFactor: 1.2,
            cpuMillis: 5_600,
            gpus: [1],
            gangShare: 0,
            sameRackShare: 0,
            checkpointShare: 0.45,
        },
    ];
}

const CAPACITY: Resources = { cpuMillis: 64_000, memoryMb: 131_072, gpus: 8 };

/** Rates and sizes of the first users' sites: as it is today, after growth, and the large one. */
export const DEPLOYMENTS: readonly Deployment[] = [
    {
        name: "today",
        workers: 11,
        workersPerRack: 3,
        capacity: CAPACITY,
        streams: streamsOf({ rates: [0.285, 0.262, 0.11], tasks: [2, 3, 9], batchMs: 13_571 }),
        seeds: 20,
    },
    {
        name: "grown",
        workers: 71,
        workersPerRack: 5,
        capacity: CAPACITY,
        streams: streamsOf({ rates: [0.52, 1, 0.361], tasks: [7, 5, 39], batchMs: 8_714 }),
        seeds: 3,
    },
    {
        name: "large",
        workers: 160,
        workersPerRack: 8,
        capacity: CAPACITY,
        streams: streamsOf({ rates: [0.714, 2.28, 0.875], tasks: [13, 5, 38], batchMs: 8_714 }),
        seeds: 2,
    },
];

/** About one of the 11 workers of today's site is away at any time. */
const DEPARTURES: Departures = {
    intervalMs: 8_000,
    noticeMs: 2_000,
    awayMs: 10_000,
    untilMs: TRAFFIC_MS,
};

/** Today's site with workers that leave: at high load, and with half the jobs, so that there often is room elsewhere. */
export const LEAVING_DEPLOYMENTS: readonly Deployment[] = [
    { ...DEPLOYMENTS[0]!, name: "leaving", departures: DEPARTURES },
    {
        ...DEPLOYMENTS[0]!,
        name: "leaving-calm",
        streams: streamsOf({ rates: [0.143, 0.131, 0.055], tasks: [2, 3, 9], batchMs: 13_571 }),
        departures: DEPARTURES,
    },
];

/**
 * A site on a quiet day whose workers differ in speed although they describe themselves alike. Tasks of a step differ by
 * 30 percent for other reasons.
 */
export const UNEQUAL_DEPLOYMENT: Deployment = {
    name: "unequal",
    workers: 56,
    workersPerRack: 4,
    capacity: { cpuMillis: 128_000, memoryMb: 262_144, gpus: 8 },
    streams: unequalStreams(),
    seeds: 10,
    speeds: [0.6, 1, 1.6],
    trafficMs: 34_000,
    loadFactor: 1,
};

function unequalStreams(): JobStream[] {
    const [large, urgent, wide] = streamsOf({ rates: [0.46, 0.87, 0.25], tasks: [6, 5, 39], batchMs: 7_400 });
    return [
        { ...large!, meanMs: 10_000, cpuMillis: 52_000 },
        { ...urgent!, meanMs: 3_000, cpuMillis: 15_000 },
        { ...wide!, cpuMillis: 11_000, taskSpread: 1.3 },
    ];
}

/** Generates the jobs of one seed, in order of arrival. */
export function planJobs(deployment: Deployment, seed: number): PlanJob[] {
    const random = congruential32(seed);
    const { trafficMs = TRAFFIC_MS, loadFactor = HIGH_LOAD_FACTOR } = deployment;
    const jobs: PlanJob[] = [];
    for (const stream of deployment.streams) {
        let atMs = 0;
        while (true) {
            atMs += (-Math.log(1 - uniformFloat32(random)) * 1_000) / (stream.jobsPerSecond * loadFactor);
            if (atMs >= trafficMs) {
                break;
            }
            jobs.push(randomJob(stream, random, atMs, `${stream.queue}-${jobs.length}`));
        }
    }
    return jobs.sort((left, right) => left.job.acceptedAtMs - right.job.acceptedAtMs);
}

function randomJob(stream: JobStream, random: RandomGenerator, acceptedAtMs: number, id: string): PlanJob {
    const chance = (part: number) => uniformFloat32(random) < part;
    const logUniformAround = (mean: number, factor: number) =>
        mean * factor ** (2 * uniformFloat32(random) - 1);
    const count = Math.max(1, Math.round(logUniformAround(stream.meanTasks, SPREAD)));
    const gang = chance(stream.gangShare);
    const gpus = stream.gpus[Math.floor(uniformFloat32(random) * stream.gpus.length)]!;
    const baseMs = logUniformAround(stream.meanMs, SPREAD / 2);
    const { taskSpread = TASK_SPREAD } = stream;
    const step: Step = {
        count,
        resources: { cpuMillis: stream.cpuMillis, memoryMb: 4_000, gpus },
        estimateMs: Math.round(logUniformAround(baseMs, stream.estimateFactor)),
        after: [],
        gang,
        sameRack: gang && chance(stream.sameRackShare),
        checkpointing: chance(stream.checkpointShare),
        speculative: false,
        longRunning: false,
    };
    const taskMs = Array.from({ length: count }, () =>
        gang ? baseMs : logUniformAround(baseMs, taskSpread),
    );
    const relativeSize = (count * baseMs) / (stream.meanTasks * stream.meanMs);
    const sizeFactor =
        SIZE_INDEPENDENT_SHARE + (1 - SIZE_INDEPENDENT_SHARE) * Math.min(MAX_RELATIVE_SIZE, relativeSize);
    const { priority, stretch, latencyTargetMs } = stream;
    return {
        job: {
            id,
            spec: "",
            steps: [step],
            queue: stream.queue,
            service: "desk",
            terms: { priority, attempts: 4, stretch, latencyTargetMs },
            acceptedAtMs,
        },
        taskMs: [taskMs],
        value: stream.value * sizeFactor,
        lateValue: stream.lateValue * sizeFactor,
        isGuaranteed: priority === 0 && chance(GUARANTEED_SHARE),
        objectiveMs: stretch * Math.max(...taskMs) + latencyTargetMs,
    };
}
