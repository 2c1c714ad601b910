import { firstFitPlacement } from "@tanagerdeck/decisions/placement/firstFitPlacement";
import { choosePlacement } from "@tanagerdeck/decisions/placement/choosePlacement";
import { indexPlacement, type PlacementIndex } from "@tanagerdeck/decisions/placement/placementIndex";
import type { Placement, WorkerView } from "@tanagerdeck/decisions/placement/placementTypes";
import type { ConfigurationDocument, Priority } from "@tanagerdeck/decisions/document/documentTypes";
import { dispatchRound } from "@tanagerdeck/decisions/queue/dispatchRound";
import type { Measure } from "./benchTypes.ts";
import {
    type SimulationResult,
    type PolicyDecision,
    type Policy,
    simulatePlacement,
} from "./placementSimulation.ts";
import { type BenchJob, burstWorkload, firmWorkloads, type Workload } from "./placementWorkload.ts";

const PRIORITIES: Priority[] = ["urgent", "normal", "batch"];

/**
 * Measures fragmentation, completion times and reclaims for the workloads of both firms, and waits under bursts. The
 * baselines place jobs first-come first-fit, on any or on adjacent accelerators.
 */
export async function placementBench(): Promise<Measure[]> {
    const firmMeasures = firmWorkloads().flatMap(workload => {
        const measured = simulatePlacement(workload, queuePolicy(workload));
        const adjacent = firstComeFirstFitAdjacent(workload);
        return [
            ...measuresOf(
                workload.firm,
                measured,
                simulatePlacement(workload, firstComeFirstServed(firstFitPlacement)),
            ),
            ...measuresOf(`${workload.firm}.adjacent`, measured, simulatePlacement(workload, adjacent)),
        ];
    });
    return [...firmMeasures, ...burstMeasures()];
}

/** Measures the waits of small jobs and large gangs under bursts. The baseline is first-come first-fit, adjacent. */
function burstMeasures(): Measure[] {
    const workload = burstWorkload();
    const measured = simulatePlacement(workload, queuePolicy(workload));
    const baseline = simulatePlacement(workload, firstComeFirstFitAdjacent(workload));
    const waitOf = ({ waitMs }: SimulationResult, kind: string, percentile: number) =>
        Number(((waitMs.get(kind)?.getValueAtPercentile(percentile) ?? 0) / 1_000).toFixed(1));
    return ["small", "large"].flatMap(kind =>
        [50, 99].map(percentile => ({
            name: `placement.burst.wait.${kind}.p${percentile}`,
            unit: "s",
            value: waitOf(measured, kind, percentile),
            baseline: waitOf(baseline, kind, percentile),
        })),
    );
}

function firstComeFirstFitAdjacent({ document }: Workload): Policy {
    const index = adjacentOnlyIndex(document);
    return firstComeFirstServed((job, workers) => choosePlacement(job, workers, index));
}

/** The policy of the scheduler itself, from the decisions package. */
export function queuePolicy({ document }: Workload): Policy {
    const accountWeights = new Map(document.clientAccounts.map(({ name, weight }) => [name, weight]));
    return state => {
        const { starts, plan } = dispatchRound({ ...state, accountWeights });
        return { starts: starts.map(({ job, placement }) => ({ job: job as BenchJob, placement })), plan };
    };
}

/** A policy that starts jobs strictly in order of arrival and waits for the first that does not fit. */
function firstComeFirstServed(
    place: (job: BenchJob, workers: WorkerView[]) => Placement | undefined,
): Policy {
    return ({ waiting, workers }) => {
        const starts: PolicyDecision["starts"] = [];
        let left = workers;
        for (const job of waiting) {
            const placement = place(job, left);
            if (!placement) {
                break;
            }
            left = markPlacementHeld(left, placement);
            starts.push({ job, placement });
        }
        return { starts };
    };
}

function markPlacementHeld(workers: WorkerView[], { members }: Placement): WorkerView[] {
    const taken = new Map(members.map(({ agent, indexes }) => [agent, new Set(indexes)]));
    return workers.map(worker => ({
        ...worker,
        accelerators: worker.accelerators.map((state, index) =>
            taken.get(worker.agent)?.has(index) ? { kind: "held", clientAccount: "" } : state,
        ),
    }));
}

/** An index without weights and bindings: all positions score the same and the first adjacent one is chosen. */
function adjacentOnlyIndex(document: ConfigurationDocument): PlacementIndex {
    const weights = { completionTime: 0, fragmentation: 0 };
    return indexPlacement({ document: { ...document, weights }, bindings: [] });
}

function measuresOf(firm: string, measured: SimulationResult, baseline: SimulationResult): Measure[] {
    const measure = (name: string, unit: string, valueOf: (result: SimulationResult) => number): Measure => ({
        name: `placement.${firm}.${name}`,
        unit,
        value: valueOf(measured),
        baseline: valueOf(baseline),
    });
    const measures = [
        measure("largest-gang-of-free", "ratio", result => Number(result.fragmentation.toFixed(4))),
        measure("reclaims", "per 1000 jobs", ({ reclaims, jobs }) =>
            Number(((reclaims * 1_000) / jobs).toFixed(2)),
        ),
        measure("not-adjacent", "per 1000 jobs", ({ notAdjacent, jobs }) =>
            Number(((notAdjacent * 1_000) / jobs).toFixed(2)),
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
