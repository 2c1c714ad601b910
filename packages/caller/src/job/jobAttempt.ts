import type { Either } from "purify-ts/Either";
import { HOLD_MS, type CommitReply, type ReserveReply } from "@tanagerdeck/decisions/gang/gangTypes";
import type { Placement } from "@tanagerdeck/decisions/placement/placementTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { saveJobWithTimeout, saveJob } from "./jobRecording.ts";
import { beginSettle, cancelAttempt } from "./jobSettle.ts";
import { avoidAgent, enterPhase, requeue } from "./jobState.ts";
import type { Job, JobContext, JobsState } from "./jobTaskTypes.ts";

/** Longest time for reserving all members, including the reclaim of accelerators. */
const RESERVE_LIMIT_MS = 4_500;
const RESERVE_RETRY_MS = 200;
/** Older grants are renewed before the commit, since the holds must last until the parts are prepared. */
const MAX_GRANT_AGE_MS = 1_500;
/** Attempt numbers grow by a random step, so that two coordinators unaware of each other rarely use the same one. */
const MAX_RANDOM_STEP = 1_000;
/** Step after a claim. Exceeds every attempt of the former owner, which could otherwise displace the new gang. */
const CLAIM_STEP = 1_000_000;
/** Step after a refusal as stale. Exceeds the attempts that a former coordinator did not record. */
const STALE_STEP = 100_000;

/** Begins an attempt: reserves the accelerators of a placement on all its members. */
export function beginAttempt(state: JobsState, job: Job, placement: Placement, context: JobContext): void {
    const step = 1 + Math.floor(state.options.random() * MAX_RANDOM_STEP) + (job.claimed ? CLAIM_STEP : 0);
    job.claimed = false;
    job.record = { ...job.record, attempt: job.record.attempt + step, state: "placing" };
    job.placement = placement;
    job.attemptStartedAt = context.clock.now();
    enterPhase(job, "reserving");
    reserveMembers(state, job, context);
}

/** Sends a reservation to all members concurrently; a repeated reservation renews its hold. */
export function reserveMembers(state: JobsState, job: Job, context: JobContext): void {
    const { placement, epoch, key, record } = job;
    job.reserveReplies = new Map();
    for (const member of placement?.members ?? []) {
        const reservation = {
            gang: key,
            attempt: record.attempt,
            clientAccount: record.clientAccount,
            indexes: member.indexes,
            guaranteed: placement?.tenure === "owned",
            holdMs: HOLD_MS,
            configurationRevision: state.configuration?.revision ?? 0,
        };
        context.start(
            () => state.options.calls.reserve(member.address, reservation),
            result => ({ kind: "reserved", key, epoch, agent: member.agent, result }),
        );
    }
}

/** Handles a member's reply to a reservation; after the last reply, records, retries or abandons the attempt. */
export function handleReserveReply(
    state: JobsState,
    job: Job,
    agent: string,
    result: Either<Failure, ReserveReply>,
    context: JobContext,
): void {
    const isRefused = result.isLeft() && result.extract().verdict === "not-run";
    const reply: ReserveReply | undefined = isRefused
        ? { kind: "refused", reason: "starting" }
        : result.toMaybe().extract();
    if (reply?.kind === "refused" && (reply.reason === "starting" || reply.reason === "draining")) {
        avoidAgent(job, agent, context.clock.now());
    }
    job.reserveReplies.set(agent, reply);
    const members = job.placement?.members ?? [];
    if (job.reserveReplies.size < members.length) {
        return;
    }
    const replies = [...job.reserveReplies.values()];
    const refusal = replies.find(each => each?.kind === "refused");
    if (refusal || job.cancelled || context.clock.now() - job.attemptStartedAt > RESERVE_LIMIT_MS) {
        if (refusal?.kind === "refused" && refusal.reason === "stale") {
            job.record = { ...job.record, attempt: job.record.attempt + STALE_STEP };
        }
        abandonAttempt(state, job, context);
        return;
    }
    if (replies.some(each => each?.kind !== "granted")) {
        context.after(RESERVE_RETRY_MS, { kind: "reserve-again", key: job.key, epoch: job.epoch });
        return;
    }
    recordAttempt(state, job, context);
}

/** Stores the attempt and its anchor before the commit, so that another entry can find the gang. */
function recordAttempt(state: JobsState, job: Job, context: JobContext): void {
    const anchor = job.placement?.members[0];
    const granted = anchor && job.reserveReplies.get(anchor.agent);
    if (!anchor || granted?.kind !== "granted") {
        return;
    }
    const { incarnation } = granted;
    const { record } = job;
    job.grantedAt = context.clock.now();
    if (job.recordedAttempt === record.attempt && record.anchor?.incarnation === incarnation) {
        commitAttempt(state, job, context);
        return;
    }
    job.record = { ...record, anchor: { agent: anchor.agent, address: anchor.address, incarnation } };
    enterPhase(job, "recording");
    saveJobWithTimeout(state, job, context);
    if (job.repeatable && state.platformDownUntil > context.clock.now()) {
        commitAttempt(state, job, context);
    }
}

/** Commits the attempt at its anchor; renews the reservations first if the grants are too old. */
export function commitAttempt(state: JobsState, job: Job, context: JobContext): void {
    const { record, placement, key } = job;
    const { anchor } = record;
    if (!anchor || !placement || job.cancelled) {
        abandonAttempt(state, job, context);
        return;
    }
    if (context.clock.now() - job.grantedAt > MAX_GRANT_AGE_MS) {
        job.recordedAttempt = record.attempt;
        enterPhase(job, "reserving");
        reserveMembers(state, job, context);
        return;
    }
    enterPhase(job, "committing");
    const { epoch } = job;
    const commitment = {
        gang: key,
        attempt: record.attempt,
        incarnation: anchor.incarnation,
        members: placement.members.map(({ agent, address, indexes }) => ({ agent, address, indexes })),
        task: {
            kind: record.kind,
            clientAccount: record.clientAccount,
            body: record.body,
            limitMs: Math.max(1, job.limitMs - record.ranMs),
            checkpoint: record.checkpoint,
        },
    };
    context.start(
        () => state.options.calls.commit(anchor.address, commitment),
        result => ({ kind: "committed", key, epoch, result }),
    );
}

/** Handles the anchor's reply to the commit; without a reply, asks the anchor whether the attempt runs. */
export function handleCommitReply(
    state: JobsState,
    job: Job,
    result: Either<Failure, CommitReply>,
    context: JobContext,
): void {
    const failureVerdict = result.isLeft() ? result.extract().verdict : undefined;
    if (failureVerdict === "may-have-run") {
        beginSettle(state, job, context);
        return;
    }
    if (failureVerdict || result.unsafeCoerce().kind === "refused") {
        avoidAgent(job, job.record.anchor?.agent ?? "", context.clock.now());
        abandonAttempt(state, job, context);
        return;
    }
    enterPhase(job, "running");
    job.startedAt = context.clock.now();
    job.record = { ...job.record, state: "running" };
    saveJob(state, job, context);
    if (job.cancelled) {
        cancelAttempt(state, job, context);
        beginSettle(state, job, context);
    }
}

/** Releases the holds of an uncommitted attempt and queues the job again. */
export function abandonAttempt(state: JobsState, job: Job, context: JobContext): void {
    releaseHolds(state, job, context);
    requeue(state, job, context);
}

/** Releases all holds of the attempt; a hold whose release call is lost expires by itself. */
export function releaseHolds(state: JobsState, job: Job, context: JobContext): void {
    const reference = { gang: job.key, attempt: job.record.attempt };
    for (const member of job.placement?.members ?? []) {
        context.start(
            () => state.options.calls.release(member.address, reference),
            () => ({ kind: "released" }),
        );
    }
}
