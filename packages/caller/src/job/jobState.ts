import { findGangKind } from "@tanagerdeck/decisions/gang/jobAdmission";
import {
    isEnded,
    type JobEnd,
    type JobRecord,
    type JobState,
    type JobStatus,
} from "@tanagerdeck/decisions/gang/jobTypes";
import type { Job, JobContext, JobPhase, JobReference, JobsState } from "./jobTaskTypes.ts";
import { saveJob } from "./jobRecording.ts";

const FIRST_BACKOFF_MS = 100;
/** Upper limit of the exponential back-off between two attempts of a job. */
export const MAX_BACKOFF_MS = 2_000;
/** Longer than the report interval, so that a new report arrives before the agent is used again. */
const AGENT_AVOIDANCE_MS = 3_000;

/** Returns the key of a job, which is also the name of its gang. */
export function jobKey(reference: JobReference): string {
    return `${reference.clientAccount}/${reference.id}`;
}

/** Creates a job from its record; undefined if its kind is no longer registered. */
export function createJob(state: JobsState, record: JobRecord, version: number): Job | undefined {
    const { clientAccount, kind: name, shape, seconds } = record;
    const declaration = { clientAccount, kind: name, shape, seconds, bodyBytes: 0 };
    const kind = state.configuration && findGangKind(state.configuration.document, declaration);
    if (!kind) {
        return undefined;
    }
    const { clock } = state.options;
    return {
        key: jobKey(record),
        record,
        priority: kind.priority,
        repeatable: kind.repeatable,
        limitMs: kind.limits.seconds * 1_000,
        claimed: version > 0,
        phase: "accepting",
        epoch: 0,
        acceptedAt: clock.now() - Math.max(0, clock.wall() - record.acceptedAt),
        placement: undefined,
        reserveReplies: new Map(),
        attemptStartedAt: 0,
        startedAt: 0,
        grantedAt: 0,
        nextAttemptAt: 0,
        backoffMs: FIRST_BACKOFF_MS,
        settlingSince: 0,
        cancelled: false,
        failures: 0,
        excluded: new Set(),
        avoided: new Map(),
        version,
        recorded: false,
        writing: false,
        unresolvedWrites: new Set(),
        recordedAttempt: 0,
        endedAttempts: [],
        waiters: [],
        endedAt: 0,
    };
}

/** Moves a job to a phase and increments its epoch, so that replies to earlier calls are ignored. */
export function enterPhase(job: Job, phase: JobPhase): void {
    job.phase = phase;
    job.epoch++;
}

/** Queues a job again. The delay before its next attempt is random and grows with each failed attempt. */
export function requeue(state: JobsState, job: Job, context: JobContext, delayMs = 0): void {
    const { random, metrics } = state.options;
    metrics.retried("gang");
    enterPhase(job, "queued");
    job.placement = undefined;
    job.record = { ...job.record, state: "queued" };
    job.nextAttemptAt = context.clock.now() + delayMs + job.backoffMs * (0.5 + random() / 2);
    job.backoffMs = Math.min(MAX_BACKOFF_MS, job.backoffMs * 2);
    if (job.cancelled) {
        endCancelled(state, job, context);
        return;
    }
    if (state.handOver) {
        releaseOwnership(state, job, context);
    }
}

/** Stores a queued job without an owner, so that another entry can claim it. */
export function releaseOwnership(state: JobsState, job: Job, context: JobContext): void {
    enterPhase(job, "queued");
    job.record = { ...job.record, owner: undefined };
    job.nextAttemptAt = Number.POSITIVE_INFINITY;
    saveJob(state, job, context);
}

/** Excludes an agent from this job's placement until its next report shows whether it is serving. */
export function avoidAgent(job: Job, agent: string, now: number): void {
    job.avoided.set(agent, now + AGENT_AVOIDANCE_MS);
}

/** Ends a job that its caller cancelled. */
export function endCancelled(state: JobsState, job: Job, context: JobContext): void {
    const verdict = job.record.started ? "ran" : "not-run";
    endJob(
        state,
        job,
        "cancelled",
        { verdict, reason: "cancelled", detail: "The job was cancelled." },
        context,
    );
}

/** Ends a job, counts the end in the metrics and stores it. */
export function endJob(state: JobsState, job: Job, ended: JobState, end: JobEnd, context: JobContext): void {
    enterPhase(job, "ended");
    job.placement = undefined;
    job.endedAt = context.clock.now();
    job.record = { ...job.record, state: ended, end };
    state.options.metrics.ended("gang", end);
    state.options.log.info("A job has ended.", { job: job.key, state: ended, verdict: end.verdict });
    saveJob(state, job, context);
}

/**
 * Returns the status that callers see. Until the end is stored, another entry may have claimed the job and started
 * it, so `not-run` is reported only once it is stored, and `may-have-run` before.
 */
export function jobStatus(record: JobRecord, recorded: boolean): JobStatus {
    const { id, state, attempt } = record;
    const end = isEnded(state) ? record.end : undefined;
    if (end?.verdict === "not-run" && !recorded) {
        return { id, state, attempt, recorded, end: { ...end, verdict: "may-have-run" } };
    }
    return { id, state, attempt, recorded, end };
}
