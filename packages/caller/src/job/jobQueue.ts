import type { AcceleratorState } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { Placement, WorkerView } from "@tanagerdeck/decisions/placement/placementTypes";
import { MAX_STARTS_PER_ROUND } from "@tanagerdeck/decisions/queue/dispatchRound";
import type { RunningGang, WaitingJob } from "@tanagerdeck/decisions/queue/queueTypes";
import { beginAttempt } from "./jobAttempt.ts";
import { MAX_BACKOFF_MS } from "./jobState.ts";
import type { Job, JobContext, JobsState } from "./jobTaskTypes.ts";
import { quarantinedWorkers, takeProbes } from "./workerHealth.ts";

/** Limit of concurrent attempts, so that a burst of jobs does not flood the agents with reservations. */
const MAX_ATTEMPTS = 64;

/** Runs a dispatch round and begins an attempt for each waiting job that it starts. */
export function dispatchWaitingJobs(state: JobsState, context: JobContext): void {
    const { configuration, index, runTimes, plan } = state;
    const waiting = waitingJobs(state, context);
    const maxStarts = Math.min(MAX_STARTS_PER_ROUND, MAX_ATTEMPTS - countOpenAttempts(state));
    if (!configuration || !index || waiting.length === 0 || maxStarts <= 0) {
        return;
    }
    const { clientAccounts } = configuration.document;
    const round = state.options.dispatch({
        nowMs: context.clock.now(),
        waiting,
        running: runningGangs(state),
        workers: listWorkers(state, context.clock.now()),
        index,
        runTimes,
        accountWeights: new Map(clientAccounts.map(({ name, weight }) => [name, weight])),
        plan,
        maxStarts,
    });
    state.plan = round.plan;
    let begun = 0;
    for (const { job: started, placement } of round.starts) {
        const job = state.jobs.get(started.id);
        // A job in back-off takes part in the round, so that its accelerators stay reserved, but does not start yet.
        if (job && job.nextAttemptAt <= context.clock.now()) {
            takeProbes(state, placement, context.clock.now());
            beginAttempt(state, job, placement, context);
            begun++;
        }
    }
    if (!round.isComplete && begun > 0) {
        context.after(0, { kind: "dispatch" });
    }
}

/** Lists the queued jobs, including those whose next attempt is due within the longest back-off. */
function waitingJobs(state: JobsState, context: JobContext): WaitingJob[] {
    const now = context.clock.now();
    const waiting: WaitingJob[] = [];
    for (const job of state.jobs.values()) {
        if (job.phase !== "queued" || job.cancelled || job.nextAttemptAt > now + MAX_BACKOFF_MS) {
            continue;
        }
        const { key, priority, acceptedAt, record } = job;
        const { clientAccount, kind, shape } = record;
        waiting.push({
            id: key,
            clientAccount,
            kind,
            priority,
            shape,
            acceptedAtMs: acceptedAt,
            limitMs: remainingMs(job),
            avoidedAgents: avoidedAgents(job, now),
        });
    }
    return waiting;
}

/** Returns the agents that this job must not use: excluded for the whole job, or avoided for now. */
function avoidedAgents(job: Job, now: number): Set<string> {
    const avoided = new Set(job.excluded);
    for (const [agent, until] of job.avoided) {
        if (until > now) {
            avoided.add(agent);
        }
    }
    return avoided;
}

/** Returns the run time left of the job's limit; checkpointed run time counts as used. */
function remainingMs({ limitMs, record }: Job): number {
    return Math.max(1, limitMs - record.ranMs);
}

function runningGangs(state: JobsState): RunningGang[] {
    const running: RunningGang[] = [];
    for (const job of state.jobs.values()) {
        if (job.placement && (job.phase === "running" || job.phase === "settling")) {
            running.push({
                id: job.key,
                kind: job.record.kind,
                members: job.placement.members,
                startedAtMs: job.startedAt,
                limitMs: remainingMs(job),
            });
        }
    }
    return running;
}

/** Lists the reported workers. Accelerators of this entry's attempts count as held, even if no report shows it yet. */
function listWorkers(state: JobsState, now: number): WorkerView[] {
    const views = new Map<string, WorkerView>();
    const quarantined = quarantinedWorkers(state, now);
    for (const agent of state.agents) {
        const { name, address, availabilityZone, worker } = agent.report;
        if (!worker) {
            continue;
        }
        const { rack, slot } = worker;
        const accelerators = [...worker.accelerators];
        const isServing = agent.state === "serving" && worker.ready !== false;
        const usable = isServing && !quarantined.has(name);
        views.set(name, { agent: name, address, availabilityZone, rack, slot, accelerators, usable });
    }
    for (const job of state.jobs.values()) {
        if (job.placement) {
            markHeld(views, job.placement, job.record.clientAccount);
        }
    }
    return [...views.values()];
}

function markHeld(views: Map<string, WorkerView>, placement: Placement, clientAccount: string): void {
    const held: AcceleratorState = { kind: "held", clientAccount };
    for (const member of placement.members) {
        const accelerators = views.get(member.agent)?.accelerators ?? [];
        for (const index of member.indexes) {
            const known = accelerators[index];
            if (known && (known.kind === "free" || known.clientAccount !== clientAccount)) {
                accelerators[index] = held;
            }
        }
    }
}

function countOpenAttempts(state: JobsState): number {
    let attempts = 0;
    for (const { phase } of state.jobs.values()) {
        if (phase === "reserving" || phase === "recording" || phase === "committing") {
            attempts++;
        }
    }
    return attempts;
}
