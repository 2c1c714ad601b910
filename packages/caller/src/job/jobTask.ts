import { attemptKey } from "@tanagerdeck/decisions/gang/gangTypes";
import { isEnded } from "@tanagerdeck/decisions/gang/jobTypes";
import { indexPlacement } from "@tanagerdeck/decisions/placement/placementIndex";
import type { WorkLoad } from "@tanagerdeck/runtime/metrics/metricsTypes";
import { startTask, type Handlers, type Task } from "@tanagerdeck/runtime/task/task";
import { handleCommitReply, handleReserveReply, reserveMembers } from "./jobAttempt.ts";
import { admitJob } from "./jobAdmission.ts";
import { claimListedJobs } from "./jobClaim.ts";
import { dispatchWaitingJobs } from "./jobQueue.ts";
import { continueUnrecorded, handleWriteResult, saveJob } from "./jobRecording.ts";
import { remoteCancel, remoteStatus } from "./jobRemote.ts";
import { handleAttemptEnd, beginSettle, handleSettleReply, sendSettleRequest } from "./jobSettle.ts";
import { endCancelled, releaseOwnership, jobKey, jobStatus } from "./jobState.ts";
import type { Job, JobContext, JobMessage, JobOptions, JobPhase, JobsState } from "./jobTaskTypes.ts";

const TICK_MS = 100;
/** Phases that a hand-over waits for: the job is neither queued nor committed. */
const HAND_OVER_BLOCKING_PHASES = new Set<JobPhase>(["accepting", "reserving", "recording", "committing"]);
/** Time for which ended jobs are kept in memory; later their status is read from the store. */
const ENDED_RETENTION_MS = 600_000;

/** Starts the task that queues, places and coordinates the gang jobs of one entry. */
export function startJobTask(options: JobOptions): Task<JobMessage> {
    const state: JobsState = {
        jobs: new Map(),
        agents: [],
        configuration: undefined,
        index: undefined,
        plan: undefined,
        runTimes: {},
        workerHealth: new Map(),
        platformDownUntil: 0,
        handOver: undefined,
        options,
    };
    const task = startTask<JobsState, JobMessage>({
        name: "jobs",
        state,
        handlers,
        clock: options.clock,
        reportError: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
    task.send({ kind: "tick" });
    return task;
}

const handlers: Handlers<JobsState, JobMessage> = {
    submit(state, message, context) {
        admitJob(state, message.job, message.reply, context);
    },
    status(state, message, context) {
        const { job: reference, reply } = message;
        const job = state.jobs.get(jobKey(reference));
        if (job) {
            reply({ kind: "status", status: jobStatus(job.record, job.recorded) });
            return;
        }
        context.start(
            () => remoteStatus(state.options, reference).then(reply),
            () => ({ kind: "released" }),
        );
    },
    cancel(state, message, context) {
        const { job: reference, reply } = message;
        const job = state.jobs.get(jobKey(reference));
        if (!job) {
            context.start(
                () => remoteCancel(state.options, reference).then(reply),
                () => ({ kind: "released" }),
            );
            return;
        }
        cancelJob(state, job, context);
        if (isEnded(job.record.state) && !job.recorded) {
            job.waiters.push(reply);
            return;
        }
        reply({ kind: "status", status: jobStatus(job.record, job.recorded) });
    },
    fleet(state, message, context) {
        state.agents = message.agents;
        settleLostAnchors(state, context);
    },
    configuration(state, message) {
        state.configuration = message.configuration;
        state.index = indexPlacement(message.configuration);
    },
    gangs(state, message, context) {
        const recorded: string[] = [];
        for (const report of message.gangs) {
            const job = state.jobs.get(report.gang);
            if (!job || !report.end) {
                continue;
            }
            const key = attemptKey(report);
            const isCurrent = job.record.attempt === report.attempt && !job.endedAttempts.includes(key);
            const isCommitted =
                job.phase === "running" || job.phase === "settling" || job.phase === "committing";
            if (isCurrent && isCommitted) {
                handleAttemptEnd(state, job, report, context);
            } else if (job.recorded) {
                recorded.push(key);
            }
        }
        message.reply(recorded);
    },
    tick(state, _message, context) {
        dispatchWaitingJobs(state, context);
        removeExpiredJobs(state, context);
        state.options.metrics.load("gang", countJobs(state));
        context.after(TICK_MS, { kind: "tick" });
    },
    dispatch(state, _message, context) {
        dispatchWaitingJobs(state, context);
    },
    released() {},
    reserved(state, message, context) {
        const job = findJobInPhase(state, message);
        if (job) {
            handleReserveReply(state, job, message.agent, message.result, context);
        }
    },
    "reserve-again"(state, message, context) {
        const job = findJobInPhase(state, message);
        if (job) {
            reserveMembers(state, job, context);
        }
    },
    committed(state, message, context) {
        const job = findJobInPhase(state, message);
        if (job) {
            handleCommitReply(state, job, message.result, context);
        }
    },
    settle(state, message, context) {
        const job = findJobInPhase(state, message);
        if (job) {
            sendSettleRequest(state, job, context);
        }
    },
    settled(state, message, context) {
        const job = findJobInPhase(state, message);
        if (job) {
            handleSettleReply(state, job, message.result, context);
        }
    },
    written(state, message, context) {
        const job = state.jobs.get(message.key);
        if (job?.unresolvedWrites.has(message.record.writeId)) {
            handleWriteResult(state, job, message.record, message.result, context);
            finishHandOver(state);
        }
    },
    "write-again"(state, message, context) {
        const job = state.jobs.get(message.key);
        if (job && !job.recorded) {
            saveJob(state, job, context);
        }
    },
    "record-overdue"(state, message, context) {
        const job = findJobInPhase(state, message);
        if (job) {
            continueUnrecorded(state, job, context);
        }
    },
    claim(state, message, context) {
        context.start(
            () => state.options.records.list(),
            result => ({ kind: "listed", owner: message.owner, result }),
        );
    },
    listed(state, message, context) {
        claimListedJobs(state, message.owner, message.result, context);
    },
    "hand-over"(state, message, context) {
        state.handOver = message.reply;
        for (const job of state.jobs.values()) {
            if (job.phase === "queued") {
                releaseOwnership(state, job, context);
            }
        }
        finishHandOver(state);
    },
};

/** Finds the job of a message; undefined if the job has changed its phase since the call. */
function findJobInPhase(state: JobsState, message: { key: string; epoch: number }): Job | undefined {
    const job = state.jobs.get(message.key);
    return job?.epoch === message.epoch ? job : undefined;
}

function cancelJob(state: JobsState, job: Job, context: JobContext): void {
    if (job.cancelled || isEnded(job.record.state)) {
        return;
    }
    job.cancelled = true;
    if (job.phase === "queued" || job.phase === "accepting") {
        endCancelled(state, job, context);
    }
    if (job.phase === "running") {
        beginSettle(state, job, context);
    }
}

/** Asks for the outcome of running gangs whose anchor is suspect, gone or restarted. */
function settleLostAnchors(state: JobsState, context: JobContext): void {
    const agents = new Map(state.agents.map(agent => [agent.report.name, agent]));
    for (const job of state.jobs.values()) {
        const { anchor } = job.record;
        if (job.phase !== "running" || !anchor) {
            continue;
        }
        const view = agents.get(anchor.agent);
        const isAlive = view?.state === "serving" || view?.state === "draining";
        if (!isAlive || view.report.incarnation !== anchor.incarnation) {
            beginSettle(state, job, context);
        }
    }
}

/** Replies to a hand-over once no job is in a blocking phase and all records are stored. */
function finishHandOver(state: JobsState): void {
    for (const job of state.jobs.values()) {
        if (HAND_OVER_BLOCKING_PHASES.has(job.phase) || !job.recorded) {
            return;
        }
    }
    state.handOver?.();
}

function countJobs(state: JobsState): WorkLoad {
    const load = { waiting: 0, running: 0 };
    for (const { phase } of state.jobs.values()) {
        if (phase === "running" || phase === "settling") {
            load.running++;
        } else if (phase !== "ended") {
            load.waiting++;
        }
    }
    return load;
}

function removeExpiredJobs(state: JobsState, context: JobContext): void {
    for (const [key, job] of state.jobs) {
        const isExpired = context.clock.now() - job.endedAt > ENDED_RETENTION_MS;
        if (job.phase === "ended" && job.recorded && isExpired) {
            state.jobs.delete(key);
        }
    }
}
