import type { Either } from "purify-ts/Either";
import type { GangEnd, GangReport } from "@tanagerdeck/decisions/fleet/reportTypes";
import { attemptKey, MAX_PARTIAL_RUN_MS, type SettleReply } from "@tanagerdeck/decisions/gang/gangTypes";
import type { JobEnd } from "@tanagerdeck/decisions/gang/jobTypes";
import { recordRun } from "@tanagerdeck/decisions/queue/runTimes";
import { START_PHASE_MS } from "@tanagerdeck/decisions/worker/startPhase";
import type { Failure, FailureReason, Verdict } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { saveJob } from "./jobRecording.ts";
import { endCancelled, endJob, enterPhase, requeue } from "./jobState.ts";
import type { Job, JobContext, JobsState } from "./jobTaskTypes.ts";
import { recordWorkerHealth } from "./workerHealth.ts";

const SETTLE_RETRY_MS = 1_000;
/** An unreachable anchor counts as lost after this time: when its leases have expired, plus 60 s. */
const ANCHOR_LOST_AFTER_MS = MAX_PARTIAL_RUN_MS + 60_000;
const MAX_PART_FAILURES = 3;

/** Asks the anchor for the outcome of the attempt, until it answers or counts as lost. */
export function beginSettle(state: JobsState, job: Job, context: JobContext): void {
    job.settlingSince = context.clock.now();
    enterPhase(job, "settling");
    sendSettleRequest(state, job, context);
}

/** Sends the anchor one request for the attempt's outcome, which also cancels the attempt if the job is cancelled. */
export function sendSettleRequest(state: JobsState, job: Job, context: JobContext): void {
    const { anchor, attempt } = job.record;
    if (!anchor) {
        requeue(state, job, context);
        return;
    }
    const { epoch, key } = job;
    const action = job.cancelled ? "cancel" : "ask";
    const settlement = { gang: key, attempt, incarnation: anchor.incarnation, action } as const;
    context.start(
        () => state.options.calls.settleGang(anchor.address, settlement),
        result => ({ kind: "settled", key, epoch, result }),
    );
}

/** Handles the anchor's answer about the attempt; asks again later if the call failed. */
export function handleSettleReply(
    state: JobsState,
    job: Job,
    result: Either<Failure, SettleReply>,
    context: JobContext,
): void {
    const reply = result.toMaybe().extract();
    if (!reply) {
        if (context.clock.now() - job.settlingSince < ANCHOR_LOST_AFTER_MS) {
            context.after(SETTLE_RETRY_MS, { kind: "settle", key: job.key, epoch: job.epoch });
            return;
        }
        handleLostAttempt(state, job, context);
        return;
    }
    if (reply.kind === "unknown") {
        handleLostAttempt(state, job, context);
        return;
    }
    if (reply.kind === "not-run") {
        requeue(state, job, context);
        return;
    }
    if (reply.report.end) {
        handleAttemptEnd(state, job, reply.report, context);
        return;
    }
    if (job.cancelled) {
        context.after(SETTLE_RETRY_MS, { kind: "settle", key: job.key, epoch: job.epoch });
        return;
    }
    enterPhase(job, "running");
    job.record = { ...job.record, state: "running" };
    saveJob(state, job, context);
}

/** Tells the anchor to stop an attempt whose result is no longer needed; the reply is ignored. */
export function cancelAttempt(state: JobsState, job: Job, context: JobContext): void {
    const { anchor, attempt } = job.record;
    if (anchor) {
        const { incarnation } = anchor;
        const settlement = { gang: job.key, attempt, incarnation, action: "cancel" } as const;
        context.start(
            () => state.options.calls.settleGang(anchor.address, settlement),
            () => ({ kind: "released" }),
        );
    }
}

/** Handles the end of the current attempt: ends the job, or queues it again from its checkpoint. */
export function handleAttemptEnd(state: JobsState, job: Job, report: GangReport, context: JobContext): void {
    const { end } = report;
    if (!end) {
        return;
    }
    job.endedAttempts.push(attemptKey(report));
    recordWorkerHealth(state, job, report, context.clock.now());
    job.record = { ...job.record, started: job.record.started || end.started };
    if (report.state === "finished") {
        state.runTimes = recordRun(state.runTimes, job.record.kind, job.record.ranMs + end.ranMs);
        endJob(state, job, "finished", { verdict: "ran", detail: "All parts have finished." }, context);
        return;
    }
    if (job.cancelled || end.reason === "cancelled") {
        endCancelled(state, job, context);
        return;
    }
    if (end.reason === "time-limit") {
        failJob(state, job, "ran", "deadline-exceeded", "The job ran longer than its kind allows.", context);
        return;
    }
    const isFailure = end.reason === "part-failed" || (job.repeatable && isLostAtStart(end));
    if (isFailure && countPartFailure(state, job, end, context)) {
        return;
    }
    retryOrFail(state, job, end, context);
}

/** Whether a member was lost right after the start, which the job itself may have caused by crashing its worker. */
function isLostAtStart({ reason, started, ranMs }: GangEnd): boolean {
    return reason === "member-lost" && started && ranMs < START_PHASE_MS;
}

/** Counts the failure of a part and excludes its worker; fails the job and returns true if it may not retry. */
function countPartFailure(state: JobsState, job: Job, end: GangEnd, context: JobContext): boolean {
    job.failures++;
    if (end.lostAgent) {
        job.excluded.add(end.lostAgent);
    }
    if (job.repeatable && job.failures < MAX_PART_FAILURES) {
        return false;
    }
    failJob(state, job, "ran", "backend-error", "A part of the job failed.", context);
    return true;
}

/** Queues the job again, from the checkpoint if there is one; fails a job that may have run and must not repeat. */
function retryOrFail(state: JobsState, job: Job, end: GangEnd, context: JobContext): void {
    const { checkpoint } = end;
    if (checkpoint !== undefined) {
        job.record = { ...job.record, checkpoint, ranMs: job.record.ranMs + end.ranMs };
    }
    if (end.started && checkpoint === undefined && !job.repeatable) {
        const detail = "The job lost a part before a checkpoint and must not run twice.";
        failJob(state, job, "may-have-run", "unreachable", detail, context);
        return;
    }
    requeue(state, job, context);
    if (job.phase === "queued") {
        saveJob(state, job, context);
    }
}

/** Handles an anchor that lost its state: the attempt may have run, and its leases expire by themselves. */
function handleLostAttempt(state: JobsState, job: Job, context: JobContext): void {
    job.record = { ...job.record, started: true };
    if (job.cancelled) {
        endCancelled(state, job, context);
        return;
    }
    if (!job.repeatable) {
        const detail = "The agent that coordinated the job is gone.";
        failJob(state, job, "may-have-run", "incarnation-gone", detail, context);
        return;
    }
    // Saved at once, so that an entry that claims the job does not wait for the lost anchor again.
    requeue(state, job, context, MAX_PARTIAL_RUN_MS);
    saveJob(state, job, context);
}

function failJob(
    state: JobsState,
    job: Job,
    verdict: Verdict,
    reason: FailureReason,
    detail: string,
    context: JobContext,
): void {
    const end: JobEnd = { verdict, reason, detail };
    endJob(state, job, "failed", end, context);
}
