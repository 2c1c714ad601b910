import { findAnyPlaces, findNearPlaces } from "@tanagerdeck/standins/plan/plain/plainPlacementSearch";
import { subtractResources } from "@tanagerdeck/decisions/job/jobTypes";
import type { Decision } from "@tanagerdeck/decisions/schedule/scheduleTypes";
import { scheduleRound, type RoundInput } from "@tanagerdeck/decisions/schedule/schedulingRound";
import type { Measure } from "./benchTypes.ts";
import { plainScheduleRound } from "@tanagerdeck/standins/plan/plain/plainSchedulingRound";
import { createSpeedRecord } from "@tanagerdeck/decisions/speed/speedTypes";
import { simulatePlan, type PlanPolicy, type PlanResult } from "./planSimulation.ts";
import type { SpeedKnowledge } from "./planSpeeds.ts";
import {
    DEPLOYMENTS,
    LEAVING_DEPLOYMENTS,
    planJobs,
    UNEQUAL_DEPLOYMENT,
    type Deployment,
} from "./planWorkload.ts";

/** One of this many rounds is also decided by the plain searches, which take many times as long. */
const PLAIN_ROUND_INTERVAL = 40;

/**
 * Measures the earned value, the wasted work, the stops and the time of a round of the scheduler under high load. The
 * baseline is first-come first-fit, but for the median and the 95th percentile of a round: there it is the round with
 * plain searches on the same input. The measure `worth` is the earned value divided by the value of all jobs. Loads with
 * workers that leave follow, whose baseline is the same round without moves.
 */
export async function planBench(): Promise<Measure[]> {
    const measures: Measure[] = [];
    for (const deployment of DEPLOYMENTS) {
        const times = createRoundTimes();
        const measured = simulateSeeds(deployment, times.policy);
        const baseline = simulateSeeds(deployment, firstComeFirstFit);
        const measure = (
            name: string,
            unit: string,
            valueOf: (results: PlanResult[]) => number,
        ): Measure => ({
            name: `plan.${deployment.name}.${name}`,
            unit,
            value: Number(valueOf(measured).toFixed(3)),
            baseline: Number(valueOf(baseline).toFixed(3)),
        });
        measures.push(
            measure("worth", "of what is owed", results =>
                mean(results.map(({ earnedValueRatio }) => earnedValueRatio)),
            ),
            measure("wasted", "of the work", results =>
                mean(results.map(({ wastedWorkRatio }) => wastedWorkRatio)),
            ),
            measure("stops", "a minute", results => mean(results.map(({ stops }) => stops))),
            measure("starved", "jobs", results => mean(results.map(({ starvedJobs }) => starvedJobs))),
            {
                name: `plan.${deployment.name}.round.longest`,
                unit: "ms",
                value: Number(Math.max(...times.searchMs).toFixed(3)),
                baseline: Number(
                    Math.max(...baseline.map(({ longestRoundMs }) => longestRoundMs)).toFixed(3),
                ),
            },
        );
        for (const [name, part] of [
            ["median", 0.5],
            ["p95", 0.95],
        ] as const) {
            measures.push({
                name: `plan.${deployment.name}.round.${name}`,
                unit: "ms",
                value: Number(quantile(times.searchMs, part).toFixed(3)),
                baseline: Number(quantile(times.plainMs, part).toFixed(3)),
            });
        }
    }
    return [...measures, ...departureMeasures(), ...speedMeasures()];
}

function simulateSeeds(deployment: Deployment, policy: PlanPolicy): PlanResult[] {
    return Array.from({ length: deployment.seeds }, (_, seed) =>
        simulatePlan(deployment, planJobs(deployment, seed + 1), policy),
    );
}

/** Measures the moves from workers that leave at short notice. The baseline is the same round without moves. */
export function departureMeasures(): Measure[] {
    const measures: Measure[] = [];
    const units = {
        earnedValueRatio: ["worth", "of what is owed"],
        wastedWorkRatio: ["wasted", "of the work"],
        affectedEndMs: ["affected.end", "ms"],
        moves: ["moves", "a minute"],
    } as const;
    for (const deployment of LEAVING_DEPLOYMENTS) {
        const measured = simulateSeeds(deployment, scheduleRound);
        const baseline = simulateSeeds(deployment, withoutMoves);
        for (const field of ["earnedValueRatio", "wastedWorkRatio", "affectedEndMs", "moves"] as const) {
            const [name, unit] = units[field];
            measures.push({
                name: `plan.${deployment.name}.${name}`,
                unit,
                value: Number(mean(measured.map(result => result[field])).toFixed(3)),
                baseline: Number(mean(baseline.map(result => result[field])).toFixed(3)),
            });
        }
    }
    return measures;
}

/** Added to a seed for the jobs that run before those that are measured. */
const EARLIER_SEED = 100;

/**
 * Measures the earned value, of all jobs and by queue, where workers differ in speed. The baseline is the same scheduler
 * with equal factors for all workers. `fresh` knows nothing at first, `learned` has run the same load once before, and
 * `known` has the true factors.
 */
export function speedMeasures(): Measure[] {
    const deployment = UNEQUAL_DEPLOYMENT;
    const run = (knowledge: SpeedKnowledge, hasRunBefore = false): PlanResult[] =>
        Array.from({ length: deployment.seeds }, (_, seed) => {
            const record = createSpeedRecord();
            if (hasRunBefore) {
                const earlier = planJobs(deployment, EARLIER_SEED + seed + 1);
                simulatePlan(deployment, earlier, scheduleRound, knowledge, record);
            }
            return simulatePlan(deployment, planJobs(deployment, seed + 1), scheduleRound, knowledge, record);
        });
    const equal = run("nothing");
    const measures: Measure[] = [];
    for (const [name, results] of [
        ["fresh", run("learned")],
        ["learned", run("learned", true)],
        ["known", run("all")],
    ] as const) {
        const measure = (kind: string, valueOf: (result: PlanResult) => number): Measure => ({
            name: `plan.${deployment.name}.${name}.${kind}`,
            unit: "of what is owed",
            value: Number(mean(results.map(valueOf)).toFixed(3)),
            baseline: Number(mean(equal.map(valueOf)).toFixed(3)),
        });
        measures.push(measure("worth", ({ earnedValueRatio }) => earnedValueRatio));
        for (const { queue } of deployment.streams) {
            measures.push(
                measure(`worth.${queue}`, ({ valueRatioByQueue }) => valueRatioByQueue[queue] ?? 0),
            );
        }
    }
    return measures;
}

function withoutMoves(input: RoundInput): Decision[] {
    const placed = input.placed.map(group => ({ ...group, leavesInMs: undefined }));
    return scheduleRound({ ...input, placed });
}

/** A policy that schedules rounds, with the durations of its rounds and of some decided by the plain searches. */
function createRoundTimes(): { policy: PlanPolicy; searchMs: number[]; plainMs: number[] } {
    const searchMs: number[] = [];
    const plainMs: number[] = [];
    const timed = (policy: PlanPolicy, input: RoundInput, durations: number[]): Decision[] => {
        const startedAt = performance.now();
        const decisions = policy(input);
        durations.push(performance.now() - startedAt);
        return decisions;
    };
    return {
        searchMs,
        plainMs,
        policy(input) {
            if (searchMs.length % PLAIN_ROUND_INTERVAL === 0) {
                timed(plainScheduleRound, copyOf(input), plainMs);
            }
            return timed(scheduleRound, input, searchMs);
        },
    };
}

/** A copy of the input, as a round counts the tasks that it places in the views of the workers. */
function copyOf(input: RoundInput): RoundInput {
    const workers = input.workers.map(view => ({ ...view, tasksByStep: new Map(view.tasksByStep) }));
    return { ...input, workers };
}

function quantile(values: number[], part: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0;
}

function mean(values: number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** The baseline: places the groups that fit in order of acceptance, near their data if possible, and stops nothing. */
function firstComeFirstFit({ waiting, workers }: RoundInput): Decision[] {
    const decisions: Decision[] = [];
    const views = new Map(workers.map(worker => [worker.name, worker]));
    const ordered = [...waiting].sort((left, right) => left.job.acceptedAtMs - right.job.acceptedAtMs);
    for (const candidate of ordered) {
        const free = (worker: RoundInput["workers"][number]) => worker.free;
        const near = findNearPlaces(candidate, workers, free);
        const places = near ?? findAnyPlaces(candidate, workers, free);
        if (!places) {
            continue;
        }
        for (const { worker } of places) {
            const view = views.get(worker)!;
            view.free = subtractResources(view.free, candidate.group.step.resources);
        }
        const { job, group } = candidate;
        decisions.push({ kind: "place", job: job.id, group: group.key, places, isFar: !near });
    }
    return decisions;
}
