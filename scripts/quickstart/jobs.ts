import { MAX_PARTIAL_RUN_MS } from "@tanagerdeck/decisions/gang/gangTypes";
import { longestPartialRunOfParts } from "@tanagerdeck/standins/gang/gangMeasures";
import type { ProcessGroup } from "@tanagerdeck/standins/processes/processGroup";
import type { CallerSettings } from "@tanagerdeck/standins/programs/callerProgram";
import type { ComputingInterval } from "@tanagerdeck/standins/worker/workerModel";
import { readControl, runCaller } from "./callers.ts";
import type { Environment } from "./environment.ts";

const RUN_TIMES_MS = [500, 1_000, 1_500];
const ACCELERATORS = [16, 24, 8];

/** What became of the gang jobs of one environment. */
export interface JobResult {
    gangs: number;
    /** Jobs with verdict `ran` of whose last attempt every part finished. */
    gangsWhole: number;
    /** Jobs of which a part computed for too long without the others. */
    gangsPartial: number;
    problems: string[];
}

type Part = ComputingInterval[];

/** Submits gang jobs from a caller process, follows them to their end and checks the workers' intervals. */
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
        workers.map(worker => readControl<Part>(worker.addresses.controlAddress!, "/intervals")),
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

/** The parts of each attempt of a job, one for each worker that computed. */
function attemptsOf(id: string, workers: Part[]): Part[][] {
    const attempts = new Map<string, Part[]>();
    for (const intervals of workers) {
        const own = intervals.filter(interval => interval.id.includes(`/${id}#`));
        for (const task of new Set(own.map(interval => interval.id))) {
            const part = own.filter(interval => interval.id === task);
            attempts.set(task, [...(attempts.get(task) ?? []), part]);
        }
    }
    return [...attempts.values()];
}

function finishedAccelerators(parts: Part[]): number {
    const finished = parts.filter(part => part.some(interval => interval.finished));
    return finished.reduce((sum, part) => sum + part[0]!.indexes.length, 0);
}

/** A part that never computed has no intervals, so the missing accelerators count as one more part. */
function isPartial(parts: Part[], accelerators: number): boolean {
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
