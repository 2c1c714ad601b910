import { firstFitPlacement } from "@tanagerdeck/decisions/placement/firstFitPlacement";
import type { Priority } from "@tanagerdeck/decisions/document/documentTypes";
import { dispatchRound } from "@tanagerdeck/decisions/queue/dispatchRound";
import type { Measure } from "./benchTypes.ts";
import { type LoopResult, type LoopStarts, type LoopState, type Policy, runLoop } from "./placementLoop.ts";
import { type BenchJob, firmWorkloads, type Workload } from "./placementWorkload.ts";

const PRIORITIES: Priority[] = ["urgent", "normal", "batch"];

/** Fragmentation, completion time and reclaims against first-come first-fit, for both firms. */
export async function placementBench(): Promise<Measure[]> {
    return firmWorkloads().flatMap(workload =>
        measuresOf(
            workload.firm,
            runLoop(workload, queuePolicy(workload)),
            runLoop(workload, firstComeFirstFit),
        ),
    );
}

/** The policy of the decisions package. */
export function queuePolicy({ document }: Workload): Policy {
    const accountWeights = new Map(document.clientAccounts.map(({ name, weight }) => [name, weight]));
    return state => {
        const { starts, plan } = dispatchRound({ ...state, accountWeights });
        return { starts: starts.map(({ job, placement }) => ({ job: job as BenchJob, placement })), plan };
    };
}

/** Starts jobs strictly in order of arrival on the first free accelerators, adjacent or not. */
function firstComeFirstFit({ waiting, workers }: LoopState): LoopStarts {
    const starts: LoopStarts["starts"] = [];
    let left = workers;
    for (const job of waiting) {
        const placement = firstFitPlacement(job, left);
        if (!placement) {
            break;
        }
        const { clientAccount } = job;
        const taken = new Map(placement.members.map(({ agent, indexes }) => [agent, new Set(indexes)]));
        left = left.map(worker => ({
            ...worker,
            accelerators: worker.accelerators.map((state, index) =>
                taken.get(worker.agent)?.has(index) ? { kind: "held", clientAccount } : state,
            ),
        }));
        starts.push({ job, placement });
    }
    return { starts };
}

function measuresOf(firm: string, ours: LoopResult, baseline: LoopResult): Measure[] {
    const measure = (name: string, unit: string, valueOf: (result: LoopResult) => number): Measure => ({
        name: `placement.${firm}.${name}`,
        unit,
        value: valueOf(ours),
        baseline: valueOf(baseline),
    });
    const measures = [
        measure("largest-gang-of-free", "ratio", result => Number(result.fragmentation.toFixed(4))),
        measure("reclaims", "per 1000 jobs", ({ reclaims, jobs }) =>
            Number(((reclaims * 1_000) / jobs).toFixed(2)),
        ),
        measure("not-adjacent", "per 1000 jobs", ({ scattered, jobs }) =>
            Number(((scattered * 1_000) / jobs).toFixed(2)),
        ),
    ];
    for (const priority of PRIORITIES) {
        for (const percentile of [50, 99]) {
            measures.push(
                measure(`completion.${priority}.p${percentile}`, "s", ({ completionMs }) =>
                    Number((completionMs[priority].getValueAtPercentile(percentile) / 1_000).toFixed(1)),
                ),
            );
        }
    }
    return measures;
}
