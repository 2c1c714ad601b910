import { findAccount } from "@tanagerdeck/decisions/gang/jobAdmission";
import type { AcceleratorState } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { WaitingJob } from "@tanagerdeck/decisions/gang/jobTypes";
import type { Placement, WorkerView } from "@tanagerdeck/decisions/placement/placementTypes";
import { beginAttempt } from "./jobAttempt.ts";
import type { Job, JobContext, JobsState } from "./jobTaskTypes.ts";

/** Attempts in progress at once; a burst of jobs then does not flood the agents with reservations. */
const MAX_ATTEMPTS = 64;

/** Begins an attempt for each waiting job that fits now. */
export function placeWaiting(state: JobsState, context: JobContext): void {
    const { configuration } = state;
    const waiting = waitingJobs(state, context);
    if (!configuration || waiting.length === 0) {
        return;
    }
    const views = workerViews(state);
    let attempts = countAttempts(state);
    for (const { key } of state.options.order(waiting, configuration)) {
        const job = state.jobs.get(key);
        if (!job || attempts >= MAX_ATTEMPTS || !withinQuota(state, job, views)) {
            continue;
        }
        const { clientAccount, shape } = job.record;
        const usable = views.filter(view => !job.excluded.has(view.agent));
        const placement = state.options.place({ clientAccount, shape }, usable, configuration);
        if (!placement) {
            continue;
        }
        claim(views, placement, clientAccount);
        beginAttempt(state, job, placement, context);
        attempts++;
    }
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

/** The workers, with the accelerators of this entry's attempts that no report shows yet. */
function workerViews(state: JobsState): WorkerView[] {
    const views: WorkerView[] = [];
    for (const agent of state.agents) {
        const { name, address, availabilityZone, worker } = agent.report;
        if (!worker) {
            continue;
        }
        views.push({
            agent: name,
            address,
            availabilityZone,
            rack: worker.rack,
            slot: worker.slot,
            accelerators: [...worker.accelerators],
            usable: agent.state === "serving" && state.options.usable(agent),
        });
    }
    for (const job of state.jobs.values()) {
        if (job.placement) {
            claim(views, job.placement, job.record.clientAccount);
        }
    }
    return views;
}

function claim(views: WorkerView[], placement: Placement, clientAccount: string): void {
    const held: AcceleratorState = { kind: "held", clientAccount };
    for (const member of placement.members) {
        const view = views.find(candidate => candidate.agent === member.agent);
        for (const index of member.indexes) {
            if (view?.accelerators[index]?.kind === "free") {
                view.accelerators[index] = held;
            }
        }
    }
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
function withinQuota(state: JobsState, job: Job, views: WorkerView[]): boolean {
    const { clientAccount, shape } = job.record;
    const account = state.configuration && findAccount(state.configuration.document, clientAccount);
    let used = 0;
    for (const { accelerators } of views) {
        for (const accelerator of accelerators) {
            if (accelerator.kind !== "free" && accelerator.clientAccount === clientAccount) {
                used++;
            }
        }
    }
    return used + shape.accelerators <= (account?.quota.accelerators ?? 0);
}
