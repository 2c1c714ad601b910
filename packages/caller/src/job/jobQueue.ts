import { findAccount } from "@tanagerdeck/decisions/gang/jobAdmission";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { AcceleratorState } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { WaitingJob } from "@tanagerdeck/decisions/gang/jobTypes";
import type { Placement, WorkerView } from "@tanagerdeck/decisions/placement/placementTypes";
import { beginAttempt } from "./jobAttempt.ts";
import type { Job, JobContext, JobsState } from "./jobTaskTypes.ts";

/** Attempts in progress at once; a burst of jobs then does not flood the agents with reservations. */
const MAX_ATTEMPTS = 64;

/** The workers as far as this entry knows, and the accelerators in use or held by client account. */
interface Fleet {
    views: Map<string, WorkerView>;
    used: Map<string, number>;
}

/** Begins an attempt for each waiting job that fits now. */
export function placeWaiting(state: JobsState, context: JobContext): void {
    const { configuration } = state;
    const waiting = waitingJobs(state, context);
    if (!configuration || waiting.length === 0) {
        return;
    }
    const fleet = knownFleet(state);
    let attempts = countAttempts(state);
    for (const { key } of state.options.order(waiting, configuration)) {
        const job = state.jobs.get(key);
        if (!job || attempts >= MAX_ATTEMPTS || !withinQuota(configuration, job, fleet)) {
            continue;
        }
        const { clientAccount, shape } = job.record;
        const workers = workersFor(fleet, job, context.clock.now());
        const placement = state.options.place({ clientAccount, shape }, workers, configuration);
        if (!placement) {
            continue;
        }
        claim(fleet, placement, clientAccount);
        beginAttempt(state, job, placement, context);
        attempts++;
    }
}

/** The workers as this job may use them: not those that have failed it, lately or for good. */
function workersFor(fleet: Fleet, job: Job, now: number): WorkerView[] {
    return [...fleet.views.values()].map(view => {
        const avoided = (job.avoided.get(view.agent) ?? 0) > now || job.excluded.has(view.agent);
        return avoided ? { ...view, usable: false } : view;
    });
}

function waitingJobs(state: JobsState, context: JobContext): WaitingJob[] {
    const now = context.clock.now();
    const waiting: WaitingJob[] = [];
    for (const job of state.jobs.values()) {
        if (job.phase !== "queued" || job.nextTryAt > now || job.cancelled) {
            continue;
        }
        const { key, priority, acceptedAt, record } = job;
        const { clientAccount, shape, seconds } = record;
        waiting.push({ key, clientAccount, priority, shape, seconds, waitedMs: now - acceptedAt });
    }
    return waiting;
}

/** The reported workers, with the accelerators of this entry's attempts that no report shows yet. */
function knownFleet(state: JobsState): Fleet {
    const fleet: Fleet = { views: new Map(), used: new Map() };
    for (const agent of state.agents) {
        const { name, address, availabilityZone, worker } = agent.report;
        if (!worker) {
            continue;
        }
        const { rack, slot } = worker;
        const accelerators = [...worker.accelerators];
        const serving = agent.state === "serving" && worker.ready !== false;
        const usable = serving && state.options.usable(agent);
        fleet.views.set(name, { agent: name, address, availabilityZone, rack, slot, accelerators, usable });
        for (const accelerator of accelerators) {
            if (accelerator.kind !== "free") {
                count(fleet, accelerator.clientAccount);
            }
        }
    }
    for (const job of state.jobs.values()) {
        if (job.placement) {
            claim(fleet, job.placement, job.record.clientAccount);
        }
    }
    return fleet;
}

function claim(fleet: Fleet, placement: Placement, clientAccount: string): void {
    const held: AcceleratorState = { kind: "held", clientAccount };
    for (const member of placement.members) {
        const accelerators = fleet.views.get(member.agent)?.accelerators ?? [];
        for (const index of member.indexes) {
            const known = accelerators[index];
            if (known && (known.kind === "free" || known.clientAccount !== clientAccount)) {
                accelerators[index] = held;
                count(fleet, clientAccount);
            }
        }
    }
}

function count(fleet: Fleet, clientAccount: string): void {
    fleet.used.set(clientAccount, (fleet.used.get(clientAccount) ?? 0) + 1);
}

function countAttempts(state: JobsState): number {
    let attempts = 0;
    for (const { phase } of state.jobs.values()) {
        if (phase === "reserving" || phase === "recording" || phase === "committing") {
            attempts++;
        }
    }
    return attempts;
}

/** True if the account's accelerators in use and this job's stay within its quota. */
function withinQuota(configuration: Configuration, job: Job, fleet: Fleet): boolean {
    const { clientAccount, shape } = job.record;
    const quota = findAccount(configuration.document, clientAccount)?.quota.accelerators ?? 0;
    return (fleet.used.get(clientAccount) ?? 0) + shape.accelerators <= quota;
}
