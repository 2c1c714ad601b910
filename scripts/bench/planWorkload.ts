import { uniformFloat32 } from "pure-rand/distribution/uniformFloat32";
import { congruential32 } from "pure-rand/generator/congruential32";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Job, Resources, Step } from "@tanagerdeck/decisions/job/jobTypes";

/** How the jobs of one queue arrive, and how large and long they are. */
interface Stream {
    queue: string;
    priority: number;
    perSecond: number;
    /** Worth of a mean job in time, and late. */
    worth: number;
    lateWorth: number;
    stretch: number;
    latencyTargetMs: number;
    meanTasks: number;
    meanMs: number;
    /** Largest factor by which an estimate is off. */
    estimateFactor: number;
    cpuMillis: number;
    gpus: readonly number[];
    gangPart: number;
    sameRackPart: number;
    checkpointPart: number;
}

/** A deployment and its traffic. */
export interface Deployment {
    name: string;
    workers: number;
    workersPerRack: number;
    capacity: Resources;
    streams: Stream[];
    /** Seeds over which a measure is averaged; one placement that differs moves a small site's seed by 0.1. */
    seeds: number;
}

/** A job with what only the bench knows of it. */
export interface PlanJob {
    job: Job;
    /** True duration of each task, by step, on a worker near its data. */
    taskMs: number[][];
    worth: number;
    lateWorth: number;
    objectiveMs: number;
    /** Whether its client account's guarantee covers it. */
    isGuaranteed: boolean;
}

/** Time in which jobs arrive. */
const TRAFFIC_MS = 60_000;
/** Factor of the traffic of the days of high load. */
const LOAD = 1.3;
/** Range of sizes and durations around their mean, as a factor. */
const SPREAD = 3;
const LARGEST_SIZE = 4;
/** Part of the urgent jobs that the guarantees cover. */
const GUARANTEED_PART = 0.6;
const SIZELESS_PART = 0.3;

const TASK_GPUS = [1, 2, 4, 8, 8] as const;

function streamsOf(scale: { rates: number[]; tasks: number[]; batchMs: number }): Stream[] {
    const [checks = 0, quotes = 0, sweeps = 0] = scale.rates;
    const [checkTasks = 1, quoteTasks = 1, sweepTasks = 1] = scale.tasks;
    return [
        {
            queue: "check",
            priority: 1,
            perSecond: checks,
            worth: 3,
            lateWorth: 0.9,
            stretch: 3,
            latencyTargetMs: 1_200,
            meanTasks: checkTasks,
            meanMs: 12_143,
            estimateFactor: 1.5,
            cpuMillis: 26_000,
            gpus: TASK_GPUS,
            gangPart: 1,
            sameRackPart: 0.3,
            checkpointPart: 0.45,
        },
        {
            queue: "quote",
            priority: 0,
            perSecond: quotes,
            worth: 4,
            lateWorth: 0.8,
            stretch: 1.5,
            latencyTargetMs: 400,
            meanTasks: quoteTasks,
            meanMs: 3_571,
            estimateFactor: 1.9,
            cpuMillis: 7_500,
            gpus: TASK_GPUS,
            gangPart: 1,
            sameRackPart: 0.5,
            checkpointPart: 0,
        },
        {
            queue: "sweep",
            priority: 2,
            perSecond: sweeps,
            worth: 1,
            lateWorth: 0.3,
            stretch: 3,
            latencyTargetMs: 3_000,
            meanTasks: sweepTasks,
            meanMs: scale.batchMs,
            estimateFactor: 1.2,
            cpuMillis: 5_600,
            gpus: [1],
            gangPart: 0,
            sameRackPart: 0,
            checkpointPart: 0.45,
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
            atMs += (-Math.log(1 - uniformFloat32(random)) * 1_000) / (stream.perSecond * LOAD);
            if (atMs >= TRAFFIC_MS) {
                break;
            }
            jobs.push(drawJob(stream, random, atMs, `${stream.queue}-${jobs.length}`));
        }
    }
    return jobs.sort((left, right) => left.job.acceptedAtMs - right.job.acceptedAtMs);
}

function drawJob(stream: Stream, random: RandomGenerator, acceptedAtMs: number, id: string): PlanJob {
    const chance = (part: number) => uniformFloat32(random) < part;
    const around = (mean: number, factor: number) => mean * factor ** (2 * uniformFloat32(random) - 1);
    const count = Math.max(1, Math.round(around(stream.meanTasks, SPREAD)));
    const gang = chance(stream.gangPart);
    const gpus = stream.gpus[Math.floor(uniformFloat32(random) * stream.gpus.length)]!;
    const baseMs = around(stream.meanMs, SPREAD / 2);
    const step: Step = {
        count,
        resources: { cpuMillis: stream.cpuMillis, memoryMb: 4_000, gpus },
        estimateMs: Math.round(around(baseMs, stream.estimateFactor)),
        after: [],
        gang,
        sameRack: gang && chance(stream.sameRackPart),
        checkpointing: chance(stream.checkpointPart),
        speculative: false,
        longRunning: false,
    };
    const taskMs = Array.from({ length: count }, () => (gang ? baseMs : around(baseMs, 1.15)));
    const size = (count * baseMs) / (stream.meanTasks * stream.meanMs);
    const weight = SIZELESS_PART + (1 - SIZELESS_PART) * Math.min(LARGEST_SIZE, size);
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
        worth: stream.worth * weight,
        lateWorth: stream.lateWorth * weight,
        isGuaranteed: priority === 0 && chance(GUARANTEED_PART),
        objectiveMs: stretch * Math.max(...taskMs) + latencyTargetMs,
    };
}
