import { findAnyPlaces, findNearPlaces } from "@tanagerdeck/standins/plan/plain/plainPlacementSearch";
import { subtractResources } from "@tanagerdeck/decisions/job/jobTypes";
import type { Decision } from "@tanagerdeck/decisions/schedule/scheduleTypes";
import { scheduleRound, type RoundInput } from "@tanagerdeck/decisions/schedule/schedulingRound";
import type { Measure } from "./benchTypes.ts";
import { simulatePlan, type PlanPolicy, type PlanResult } from "./planSimulation.ts";
import { DEPLOYMENTS, planJobs } from "./planWorkload.ts";

/**
 * Measures the earned value, the wasted work, the stops and the longest round of the scheduler under high load. The
 * baseline is first-come first-fit. The measure `worth` is the earned value divided by the value of all jobs.
 */
export async function planBench(): Promise<Measure[]> {
    const measures: Measure[] = [];
    for (const deployment of DEPLOYMENTS) {
        const run = (policy: PlanPolicy): PlanResult[] =>
            Array.from({ length: deployment.seeds }, (_, seed) =>
                simulatePlan(deployment, planJobs(deployment, seed + 1), policy),
            );
        const measured = run(scheduleRound);
        const baseline = run(firstComeFirstFit);
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
            measure("round.longest", "ms", results =>
                Math.max(...results.map(({ longestRoundMs }) => longestRoundMs)),
            ),
        );
    }
    return measures;
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
