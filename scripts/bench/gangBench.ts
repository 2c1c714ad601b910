import { MAX_PARTIAL_RUN_MS } from "@tanagerdeck/decisions/gang/gangTypes";
import { REPEATABLE_KIND } from "@tanagerdeck/standins/gang/gangConfiguration";
import { GANG_FAULTS, GANG_STEPS } from "@tanagerdeck/standins/gang/gangFaults";
import { runJobWithFaults } from "@tanagerdeck/standins/gang/jobScenario";
import {
    RECLAIM_FAULTS,
    reclaimWithFault,
    type ReclaimFault,
} from "@tanagerdeck/standins/gang/reclaimScenario";
import type { Bench, Measure } from "./benchTypes.ts";

/** Stated target for the start of urgent work that reclaims accelerators. */
const START_LIMIT_MS = 4_900;
const SEED = 20_260;
const OCCURRENCES = [1, 2, 3];

/**
 * Measures the time of a reclaim and the longest partial run of a gang under faults, on a manual clock with the real
 * tasks and a network latency of 1 ms. The baseline of each measure is its stated target.
 */
export const gangBench: Bench = async () => [...(await reclaimMeasures()), await partialMeasure()];

async function reclaimMeasures(): Promise<Measure[]> {
    const measures: Measure[] = [];
    for (const fault of Object.keys(RECLAIM_FAULTS) as ReclaimFault[]) {
        const { startMs } = await reclaimWithFault(fault);
        const name = `reclaim until all parts compute, fault: ${fault} (manual clock)`;
        measures.push({ name, unit: "ms", value: startMs, baseline: START_LIMIT_MS });
    }
    return measures;
}

async function partialMeasure(): Promise<Measure> {
    let longest = 0;
    for (const step of GANG_STEPS) {
        for (const fault of GANG_FAULTS) {
            for (const occurrence of OCCURRENCES) {
                const injections = [{ step, fault, occurrence }];
                const cancels = step === "stop";
                const { partialMs } = await runJobWithFaults(REPEATABLE_KIND, injections, cancels, SEED);
                longest = Math.max(longest, partialMs);
            }
        }
    }
    const name = "longest time of a part without its gang, every fault at every step (manual clock)";
    return { name, unit: "ms", value: longest, baseline: MAX_PARTIAL_RUN_MS };
}
