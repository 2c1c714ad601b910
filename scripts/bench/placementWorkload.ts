import { uniformFloat32 } from "pure-rand/distribution/uniformFloat32";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { congruential32 } from "pure-rand/generator/congruential32";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type {
    ConfigurationDocument,
    Priority,
    Shape,
    TopologySpan,
    Weights,
} from "@tanagerdeck/decisions/document/documentTypes";
import type { WaitingJob } from "@tanagerdeck/decisions/queue/queueTypes";

/** A job with its true run time, which the scheduler does not see. */
export interface BenchJob extends WaitingJob {
    runMs: number;
}

/** Racks, client accounts and jobs of one firm. */
export interface Workload {
    firm: string;
    document: ConfigurationDocument;
    jobs: BenchJob[];
}

/** Arrival pattern, sizes and durations of the jobs of one kind. Ranges are `[smallest, largest]`. */
interface JobStream {
    kind: string;
    clientAccount: string;
    priority: Priority;
    span: TopologySpan;
    accelerators: [number, number];
    seconds: [number, number];
    /** Number of jobs per day, spread over the hours `[from, to]`. */
    jobs: number;
    hours: [number, number];
    /** Number of jobs in a burst; they arrive one second apart. */
    burst: number;
}

const SECOND_MS = 1_000;
const HOUR_MS = 3_600 * SECOND_MS;
const DAY_MS = 24 * HOUR_MS;
const DAYS = 5;
const SEED = 20261204;

/** Ratio of the declared time limit of a kind to the run time of its shortest job. */
const DECLARED_LIMIT_FACTOR = 10;

const OKAHANDJA: JobStream[] = [
    {
        kind: "quote",
        clientAccount: "counter",
        priority: "urgent",
        span: "worker",
        accelerators: [1, 4],
        seconds: [10, 100],
        jobs: 900,
        hours: [7, 18],
        burst: 3,
    },
    {
        kind: "fleet-check",
        clientAccount: "fleet",
        priority: "normal",
        span: "worker",
        accelerators: [1, 8],
        seconds: [120, 1_200],
        jobs: 400,
        hours: [5, 20],
        burst: 20,
    },
    {
        kind: "overnight-route",
        clientAccount: "routes",
        priority: "batch",
        span: "rack",
        accelerators: [8, 24],
        seconds: [1_800, 14_400],
        jobs: 22,
        hours: [16, 23],
        burst: 4,
    },
    {
        kind: "season-plan",
        clientAccount: "planning",
        priority: "batch",
        span: "neighbouring-racks",
        accelerators: [24, 40],
        seconds: [3_600, 18_000],
        jobs: 4,
        hours: [8, 20],
        burst: 1,
    },
];

const CARONI: JobStream[] = [
    {
        kind: "van-route-plan",
        clientAccount: "vans",
        priority: "normal",
        span: "rack",
        accelerators: [6, 16],
        seconds: [300, 3_000],
        jobs: 90,
        hours: [3, 20],
        burst: 6,
    },
    {
        kind: "expiry-scan",
        clientAccount: "stores",
        priority: "batch",
        span: "worker",
        accelerators: [1, 4],
        seconds: [120, 1_200],
        jobs: 500,
        hours: [0, 24],
        burst: 40,
    },
    {
        kind: "restock-forecast",
        clientAccount: "forecasts",
        priority: "batch",
        span: "neighbouring-racks",
        accelerators: [16, 40],
        seconds: [3_600, 14_400],
        jobs: 12,
        hours: [0, 24],
        burst: 2,
    },
    {
        kind: "recall",
        clientAccount: "desk",
        priority: "urgent",
        span: "worker",
        accelerators: [2, 8],
        seconds: [30, 300],
        jobs: 60,
        hours: [6, 20],
        burst: 2,
    },
];

/** Bursts of small jobs with the same priority as the large gangs that wait. */
const BURST: JobStream[] = [
    {
        kind: "small",
        clientAccount: "stores",
        priority: "normal",
        span: "worker",
        accelerators: [1, 4],
        seconds: [120, 1_200],
        jobs: 2_000,
        hours: [0, 24],
        burst: 50,
    },
    {
        kind: "large",
        clientAccount: "forecasts",
        priority: "normal",
        span: "neighbouring-racks",
        accelerators: [40, 48],
        seconds: [600, 1_800],
        jobs: 20,
        hours: [0, 24],
        burst: 1,
    },
];

/** The workloads of the two firms; the fixed seed makes them equal in every run. */
export function firmWorkloads(): Workload[] {
    return [
        createWorkload(
            "okahandja",
            OKAHANDJA,
            { completionTime: 3, fragmentation: 1 },
            {
                counter: [{ span: "worker", accelerators: 8 }],
                routes: [{ span: "rack", accelerators: 24 }],
            },
        ),
        createWorkload(
            "caroni",
            CARONI,
            { completionTime: 1, fragmentation: 3 },
            {
                vans: [{ span: "rack", accelerators: 16 }],
                desk: [{ span: "worker", accelerators: 8 }],
                forecasts: [{ span: "neighbouring-racks", accelerators: 32 }],
            },
        ),
    ];
}

/** A workload with bursts of small jobs that compete with waiting large gangs. */
export function burstWorkload(): Workload {
    return createWorkload("burst", BURST, { completionTime: 1, fragmentation: 1 }, {});
}

function createWorkload(
    firm: string,
    streams: JobStream[],
    weights: Weights,
    guarantees: Record<string, Shape[]>,
): Workload {
    const random = congruential32(SEED);
    const jobs = streams.flatMap(stream => createJobs(stream, random));
    jobs.sort((left, right) => left.acceptedAtMs - right.acceptedAtMs);
    return { firm, document: createDocument(streams, weights, guarantees), jobs };
}

function createJobs(stream: JobStream, random: RandomGenerator): BenchJob[] {
    const jobs: BenchJob[] = [];
    const [from, to] = stream.hours;
    for (let number = 0; number < stream.jobs * DAYS; number++) {
        const day = Math.floor(number / stream.jobs);
        const previous = jobs.at(-1);
        const isLaterInBurst = previous && number % stream.burst !== 0;
        const arrivalMs = day * DAY_MS + (from + uniformFloat32(random) * (to - from)) * HOUR_MS;
        const [shortest, longest] = stream.seconds;
        const [smallest, largest] = stream.accelerators;
        jobs.push({
            id: `${stream.kind}-${number}`,
            clientAccount: stream.clientAccount,
            kind: stream.kind,
            priority: stream.priority,
            shape: { span: stream.span, accelerators: uniformInt(random, smallest, largest) },
            acceptedAtMs: isLaterInBurst ? previous.acceptedAtMs + SECOND_MS : arrivalMs,
            limitMs: shortest * DECLARED_LIMIT_FACTOR * SECOND_MS,
            runMs: shortest * (longest / shortest) ** uniformFloat32(random) * SECOND_MS,
        });
    }
    return jobs;
}

/** A document with ten workers, at most three in a rack; the availability zone `main` has two racks. */
function createDocument(
    streams: JobStream[],
    weights: Weights,
    guarantees: Record<string, Shape[]>,
): ConfigurationDocument {
    const sites: [string, number][] = [
        ["main", 3],
        ["main", 3],
        ["second", 3],
        ["third", 1],
    ];
    return {
        clientAccounts: streams.map(({ clientAccount }) => ({
            name: clientAccount,
            tokenDigests: [],
            guarantees: guarantees[clientAccount] ?? [],
            quota: { accelerators: 64, requestsPerSecond: 100, waiting: 10_000 },
            weight: 1,
        })),
        kinds: [],
        racks: sites.map(([availabilityZone, workers], position) => ({
            name: `rack-${position}`,
            availabilityZone,
            workers,
            acceleratorsPerWorker: 8,
        })),
        weights,
        whenPlatformUnreachable: "serve-while-peers-agree",
    };
}
