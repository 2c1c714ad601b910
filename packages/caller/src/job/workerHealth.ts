import type { GangReport } from "@tanagerdeck/decisions/fleet/reportTypes";
import {
    createHealth,
    isProbeDue,
    quarantinedServers,
    recordOutcome,
    takeProbe,
    type WorkOutcome,
} from "@tanagerdeck/decisions/health/serverHealth";
import type { Placement } from "@tanagerdeck/decisions/placement/placementTypes";
import type { Job, JobsState } from "./jobTaskTypes.ts";

/** Records the outcome of a gang in the health of its workers: success of all, or failure of the lost one. */
export function recordWorkerHealth(state: JobsState, job: Job, report: GangReport, now: number): void {
    if (report.state === "finished") {
        for (const { agent } of job.placement?.members ?? []) {
            recordWorkerOutcome(state, agent, "succeeded", now);
        }
    }
    if (report.end?.reason === "part-failed" && report.end.lostAgent !== undefined) {
        recordWorkerOutcome(state, report.end.lostAgent, "failed", now);
    }
}

/** Returns the names of the quarantined workers, except those whose probe is due. */
export function quarantinedWorkers(state: JobsState, now: number): Set<string> {
    const workers = state.agents.filter(({ report }) => report.worker !== undefined);
    const names = quarantinedServers(state.workerHealth, workers.length);
    for (const name of names) {
        if (isProbeDue(state.workerHealth.get(name)!, now)) {
            names.delete(name);
        }
    }
    return names;
}

/** Marks the probes of an attempt's workers as taken, so that no second job is sent as a probe. */
export function takeProbes(state: JobsState, placement: Placement, now: number): void {
    for (const { agent } of placement.members) {
        const health = state.workerHealth.get(agent);
        if (health) {
            takeProbe(health, now);
        }
    }
}

function recordWorkerOutcome(state: JobsState, agent: string, outcome: WorkOutcome, now: number): void {
    const health = state.workerHealth.get(agent) ?? createHealth();
    recordOutcome(health, outcome, now);
    state.workerHealth.set(agent, health);
}
