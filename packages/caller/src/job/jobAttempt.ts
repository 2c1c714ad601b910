import type { Either } from "purify-ts/Either";
import { HOLD_MS, type CommitReply, type ReserveReply } from "@tanagerdeck/decisions/gang/gangTypes";
import type { Placement } from "@tanagerdeck/decisions/placement/placementTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { saveJobWithTimeout, saveJob } from "./jobRecording.ts";
import { beginSettle, cancelAttempt } from "./jobSettle.ts";
import { avoidAgent, enterPhase, requeue } from "./jobState.ts";
import type { Job, JobContext, JobsState } from "./jobTaskTypes.ts";

/** Longest time for reserving all members, including a reclaim. */
const RESERVE_LIMIT_MS = 4_500;
const RESERVE_RETRY_MS = 200;
/** A grant older than this is renewed before the commit, since holds must last until the parts are prepared. */
const MAX_GRANT_AGE_MS = 1_500;
/** A random step keeps two coordinators that do not know of each other from using the same attempt. */
const MAX_RANDOM_STEP = 1_000;
/** Passes the attempts of a former owner, which would otherwise displace the new owner's gang. */
const CLAIM_STEP = 1_000_000;
/** After a refusal as stale: passes the attempts that a former coordinator did not record. */
const STALE_STEP = 100_000;

/** Begins an attempt on the chosen accelerators. */
export function beginAttempt(state: JobsState, job: Job, placement: Placement, context: JobContext): void {
    const step = 1 + Math.floor(state.options.random() * MAX_RANDOM_STEP) + (job.claimed ? CLAIM_STEP : 0);
    job.claimed = false;
    job.record = { ...job.record, attempt: job.record.attempt + step, state: "placing" };
    job.placement = placement;
    job.attemptStartedAt = context.clock.now();
    enterPhase(job, "reserving");
    reserveMembers(state, job, context);
}

/** Reserves on all members concurrently; a repeat renews the holds. */
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

/** Takes a member's reply; the last one decides how the attempt goes on. */
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

/** Stores the attempt with its anchor before it can be committed. */
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

/** Commits the attempt at its anchor. */
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

/** Takes the anchor's reply; a lost one is settled. */
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

/** Releases the holds of an attempt that is not committed and tries again later. */
export function abandonAttempt(state: JobsState, job: Job, context: JobContext): void {
    releaseHolds(state, job, context);
    requeue(state, job, context);
}

/** Releases all holds of the attempt; a hold whose release is lost expires. */
export function releaseHolds(state: JobsState, job: Job, context: JobContext): void {
    const reference = { gang: job.key, attempt: job.record.attempt };
    for (const member of job.placement?.members ?? []) {
        context.start(
            () => state.options.calls.release(member.address, reference),
            () => ({ kind: "released" }),
        );
    }
}
