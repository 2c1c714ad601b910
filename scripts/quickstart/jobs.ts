import { MAX_PARTIAL_RUN_MS } from "@tanagerdeck/decisions/gang/gangTypes";
import { longestPartialRunOfParts } from "@tanagerdeck/standins/gang/gangMeasures";
import type { ProcessGroup } from "@tanagerdeck/standins/processes/processGroup";
import type { CallerSettings } from "@tanagerdeck/standins/programs/callerProgram";
import type { ComputingInterval } from "@tanagerdeck/standins/worker/workerModel";
import { readControl, runCaller } from "./callers.ts";
import type { Environment } from "./environment.ts";

const RUN_TIMES_MS = [500, 1_000, 1_500];
const ACCELERATORS = [16, 24, 8];

/** Results of the gang jobs of one environment. */
export interface JobResult {
    gangs: number;
    /** Jobs with verdict `ran` that have an attempt of which every part finished. */
    gangsWhole: number;
    /** Jobs of which a part computed without the others for longer than `MAX_PARTIAL_RUN_MS`. */
    gangsPartial: number;
    problems: string[];
}

type PartIntervals = ComputingInterval[];

/** Submits gang jobs from a caller process, waits for their end and checks the computing intervals of the workers. */
export async function sendJobs(
    group: ProcessGroup,
    environment: Environment,
    count: number,
): Promise<JobResult> {
    const { firm, workers } = environment;
    const jobs = Array.from({ length: count }, (_value, index) => createJob(environment, index));
    const name = `${firm.environment}-planning`;
    const report = await runCaller(group, environment, {
        name,
        token: firm.planningToken,
        requests: [],
        jobs,
    });
    const intervals = await Promise.all(
        workers.map(worker => readControl<PartIntervals>(worker.addresses.controlAddress!, "/intervals")),
    );
    const result: JobResult = { gangs: count, gangsWhole: 0, gangsPartial: 0, problems: [] };
    for (const { id, shape } of jobs) {
        const end = report.jobs.find(job => job.id === id);
        const attempts = attemptsOf(id, intervals);
        const whole = attempts.some(parts => finishedAccelerators(parts) === shape.accelerators);
        if (end?.verdict === "ran" && whole) {
            result.gangsWhole++;
        } else {
            result.problems.push(`${id}: ${end?.verdict ?? "no verdict"}: ${end?.detail}`);
        }
        if (attempts.some(parts => isPartial(parts, shape.accelerators))) {
            result.gangsPartial++;
        }
    }
    return result;
}

function createJob({ firm }: Environment, index: number): CallerSettings["jobs"][number] {
    return {
        kind: firm.gangKind,
        id: `${firm.environment}-job-${index}`,
        shape: { span: "rack", accelerators: ACCELERATORS[index % ACCELERATORS.length]! },
        seconds: 2,
        body: JSON.stringify({ ms: RUN_TIMES_MS[index % RUN_TIMES_MS.length] }),
    };
}

/** Groups the computing intervals of a job by attempt; each attempt has one part for each worker that computed. */
function attemptsOf(id: string, workers: PartIntervals[]): PartIntervals[][] {
    const attempts = new Map<string, PartIntervals[]>();
    for (const intervals of workers) {
        const jobIntervals = intervals.filter(interval => interval.id.includes(`/${id}#`));
        for (const task of new Set(jobIntervals.map(interval => interval.id))) {
            const part = jobIntervals.filter(interval => interval.id === task);
            attempts.set(task, [...(attempts.get(task) ?? []), part]);
        }
    }
    return [...attempts.values()];
}

function finishedAccelerators(parts: PartIntervals[]): number {
    const finished = parts.filter(part => part.some(interval => interval.finished));
    return finished.reduce((sum, part) => sum + part[0]!.indexes.length, 0);
}

/**
 * Whether a part computed without the others for too long. A part that never computed has no intervals, so missing
 * accelerators count as one more part.
 */
function isPartial(parts: PartIntervals[], accelerators: number): boolean {
    const computed = parts.reduce((sum, part) => sum + part[0]!.indexes.length, 0);
    const all = computed < accelerators ? [...parts, []] : parts;
    const now = performance.timeOrigin + performance.now();
    return (
        longestPartialRunOfParts(
            all.map(intervals => ({ intervals })),
            now,
        ) > MAX_PARTIAL_RUN_MS
    );
}
