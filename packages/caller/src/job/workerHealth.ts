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

/** Records what the end of a gang says about its workers. */
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

/** Names of the workers that get no work now; one whose probe is due may get some. */
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

/** Takes the due probes of the workers that an attempt uses. */
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
