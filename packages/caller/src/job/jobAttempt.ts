import type { Either } from "purify-ts/Either";
import { HOLD_MS, type CommitReply, type ReserveReply } from "@tanagerdeck/decisions/gang/gangTypes";
import type { Placement } from "@tanagerdeck/decisions/placement/placementTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { awaitRecord, saveJob } from "./jobRecording.ts";
import { beginSettle, cancelAttempt } from "./jobSettle.ts";
import { avoidAgent, enterPhase, requeue } from "./jobState.ts";
import type { Job, JobContext, JobsState } from "./jobTaskTypes.ts";

/** Longest time for reserving all members, including a reclaim. */
const ATTEMPT_LIMIT_MS = 4_500;
const ASK_AGAIN_MS = 200;
/** A grant older than this is renewed before the commit, since holds must last until the parts are prepared. */
const FRESH_GRANT_MS = 1_500;
/** A random step keeps two coordinators that do not know of each other from using the same attempt. */
const ATTEMPT_STEP = 1_000;
/** Passes the attempts of a former owner, which would otherwise displace the new owner's gang. */
const CLAIM_STEP = 1_000_000;
/** After a refusal as stale: passes the attempts that a former coordinator did not record. */
const STALE_STEP = 100_000;

/** Begins an attempt on the chosen accelerators. */
export function beginAttempt(state: JobsState, job: Job, placement: Placement, context: JobContext): void {
    const step = 1 + Math.floor(state.options.random() * ATTEMPT_STEP) + (job.claimed ? CLAIM_STEP : 0);
    job.claimed = false;
    job.record = { ...job.record, attempt: job.record.attempt + step, state: "placing" };
    job.placement = placement;
    job.attemptAt = context.clock.now();
    enterPhase(job, "reserving");
    reserveAll(state, job, context);
}

/** Reserves on all members concurrently; a repeat renews the holds. */
export function reserveAll(state: JobsState, job: Job, context: JobContext): void {
    const { placement, turn, key, record } = job;
    job.replies = new Map();
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
            result => ({ kind: "reserved", key, turn, agent: member.agent, result }),
        );
    }
}

/** Takes a member's reply; the last one decides how the attempt goes on. */
export function memberReserved(
    state: JobsState,
    job: Job,
    agent: string,
    result: Either<Failure, ReserveReply>,
    context: JobContext,
): void {
    const refused = result.isLeft() && result.extract().verdict === "not-run";
    const reply: ReserveReply | undefined = refused
        ? { kind: "refused", reason: "starting" }
        : result.toMaybe().extract();
    if (reply?.kind === "refused" && (reply.reason === "starting" || reply.reason === "draining")) {
        avoidAgent(job, agent, context.clock.now());
    }
    job.replies.set(agent, reply);
    const members = job.placement?.members ?? [];
    if (job.replies.size < members.length) {
        return;
    }
    const replies = [...job.replies.values()];
    const refusal = replies.find(known => known?.kind === "refused");
    if (refusal || job.cancelled || context.clock.now() - job.attemptAt > ATTEMPT_LIMIT_MS) {
        if (refusal?.kind === "refused" && refusal.reason === "stale") {
            job.record = { ...job.record, attempt: job.record.attempt + STALE_STEP };
        }
        abandon(state, job, context);
        return;
    }
    if (replies.some(known => known?.kind !== "granted")) {
        context.after(ASK_AGAIN_MS, { kind: "reserve-again", key: job.key, turn: job.turn });
        return;
    }
    allGranted(state, job, context);
}

/** Stores the attempt with its anchor before it can be committed. */
function allGranted(state: JobsState, job: Job, context: JobContext): void {
    const anchor = job.placement?.members[0];
    const granted = anchor && job.replies.get(anchor.agent);
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
    awaitRecord(state, job, context);
    if (job.repeatable && state.platformDownUntil > context.clock.now()) {
        commitAttempt(state, job, context);
    }
}

/** Commits the attempt at its anchor. */
export function commitAttempt(state: JobsState, job: Job, context: JobContext): void {
    const { record, placement, key } = job;
    const { anchor } = record;
    if (!anchor || !placement || job.cancelled) {
        abandon(state, job, context);
        return;
    }
    if (context.clock.now() - job.grantedAt > FRESH_GRANT_MS) {
        job.recordedAttempt = record.attempt;
        enterPhase(job, "reserving");
        reserveAll(state, job, context);
        return;
    }
    enterPhase(job, "committing");
    const { turn } = job;
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
        result => ({ kind: "committed", key, turn, result }),
    );
}

/** Takes the anchor's reply; a lost one is settled. */
export function attemptCommitted(
    state: JobsState,
    job: Job,
    result: Either<Failure, CommitReply>,
    context: JobContext,
): void {
    const failed = result.isLeft() ? result.extract().verdict : undefined;
    if (failed === "may-have-run") {
        beginSettle(state, job, context);
        return;
    }
    if (failed || result.unsafeCoerce().kind === "refused") {
        avoidAgent(job, job.record.anchor?.agent ?? "", context.clock.now());
        abandon(state, job, context);
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
export function abandon(state: JobsState, job: Job, context: JobContext): void {
    releaseAll(state, job, context);
    requeue(state, job, context);
}

/** Releases all holds of the attempt; a hold whose release is lost expires. */
export function releaseAll(state: JobsState, job: Job, context: JobContext): void {
    const reference = { gang: job.key, attempt: job.record.attempt };
    for (const member of job.placement?.members ?? []) {
        context.start(
            () => state.options.calls.release(member.address, reference),
            () => ({ kind: "released" }),
        );
    }
}
