import { uniformFloat32 } from "pure-rand/distribution/uniformFloat32";
import { congruential32 } from "pure-rand/generator/congruential32";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Job, Resources, Step } from "@tanagerdeck/decisions/job/jobTypes";

/** How the jobs of one queue arrive, and how large and long they are. */
interface JobStream {
    queue: string;
    priority: number;
    jobsPerSecond: number;
    /** Worth of a mean job in time, and late. */
    value: number;
    lateValue: number;
    stretch: number;
    latencyTargetMs: number;
    meanTasks: number;
    meanMs: number;
    /** Largest factor by which an estimate is off. */
    estimateFactor: number;
    cpuMillis: number;
    gpus: readonly number[];
    gangShare: number;
    sameRackShare: number;
    checkpointShare: number;
}

/** A deployment and its traffic. */
export interface Deployment {
    name: string;
    workers: number;
    workersPerRack: number;
    capacity: Resources;
    streams: JobStream[];
    /** Seeds over which a measure is averaged; one placement that differs moves a small site's seed by 0.1. */
    seeds: number;
}

/** A job with what only the bench knows of it. */
export interface PlanJob {
    job: Job;
    /** True duration of each task, by step, on a worker near its data. */
    taskMs: number[][];
    value: number;
    lateValue: number;
    objectiveMs: number;
    /** Whether its client account's guarantee covers it. */
    isGuaranteed: boolean;
}

/** Time in which jobs arrive. */
const TRAFFIC_MS = 60_000;
/** Factor of the traffic of the days of high load. */
const HIGH_LOAD_FACTOR = 1.3;
/** Range of sizes and durations around their mean, as a factor. */
const SPREAD = 3;
const MAX_RELATIVE_SIZE = 4;
/** Part of the urgent jobs that the guarantees cover. */
const GUARANTEED_SHARE = 0.6;
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

/** The rates and sizes of the first users' site, today and grown. */
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
];

/** The jobs of one seed, in the order of their arrival. */
export function planJobs(deployment: Deployment, seed: number): PlanJob[] {
    const random = congruential32(seed);
    const jobs: PlanJob[] = [];
    for (const stream of deployment.streams) {
        let atMs = 0;
        while (true) {
            atMs +=
                (-Math.log(1 - uniformFloat32(random)) * 1_000) / (stream.jobsPerSecond * HIGH_LOAD_FACTOR);
            if (atMs >= TRAFFIC_MS) {
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
    const taskMs = Array.from({ length: count }, () => (gang ? baseMs : logUniformAround(baseMs, 1.15)));
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
