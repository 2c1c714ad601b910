// Rounds of the anchor: one call to every member of a gang per round, which prepares, starts or renews its part.
import { computeLeaseGrants } from "@tanagerdeck/decisions/gang/leaseGrant";
import {
    RENEW_INTERVAL_MS,
    MAX_RUN_LEASE_MS,
    type GangMember,
    type PartReply,
} from "@tanagerdeck/decisions/gang/gangTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Either } from "purify-ts/Either";
import { stopGang } from "./anchorStop.ts";
import type { AnchorContext, AnchorState, Gang, RoundStep } from "./anchorTypes.ts";

/** A gang is stopped if a round is not complete after this time. */
export const ROUND_TIMEOUT_MS = 1_000;
/** Longest time from the commit until all parts are loaded, including their checkpoints. */
const PREPARE_TIMEOUT_MS = 30_000;
/** Interval at which members are asked again whether their parts are loaded. */
const PREPARE_INTERVAL_MS = 100;
/** Delay before a failed call to a member is repeated. */
const RETRY_DELAY_MS = 50;

/** Begins a round by calling all members; the gang stops if the round does not complete within its timeout. */
export function beginRound(state: AnchorState, gang: Gang, step: RoundStep, context: AnchorContext): void {
    const number = gang.round.number + 1;
    gang.round = { number, step, startedAt: context.clock.now(), confirmations: new Map() };
    if (step === "start") {
        gang.startedAt = context.clock.now();
        gang.state = "running";
    }
    for (const memberIndex of gang.commitment.members.keys()) {
        callPart(state, gang, memberIndex, context);
    }
    context.after(ROUND_TIMEOUT_MS, { kind: "round-timeout", key: gang.key, round: number });
}

/** Makes the current round's call to one member. */
export function callPart(state: AnchorState, gang: Gang, memberIndex: number, context: AnchorContext): void {
    const member = gang.commitment.members[memberIndex];
    if (!member) {
        return;
    }
    const { number, step } = gang.round;
    context.start(
        () => callMember(state, gang, memberIndex, member, step),
        result => ({ kind: "part", key: gang.key, round: number, member: memberIndex, result }),
    );
}

function callMember(
    state: AnchorState,
    gang: Gang,
    memberIndex: number,
    member: GangMember,
    step: RoundStep,
): Promise<Either<Failure, PartReply>> {
    const { calls, address } = state.options;
    const { gang: name, attempt, task } = gang.commitment;
    const reference = { gang: name, attempt };
    const lease = gang.leases.get(memberIndex) ?? { stamp: 0, leaseMs: 0 };
    const callOfStep: Record<RoundStep, () => Promise<Either<Failure, PartReply>>> = {
        prepare: () => calls.prepare(member.address, { ...reference, anchor: address(), task }),
        start: () => calls.start(member.address, { ...reference, ...lease }),
        renew: () => calls.renew(member.address, { ...reference, ...lease }),
    };
    return callOfStep[step]();
}

/** Handles a member's reply to the round's call; the last confirmation completes the round. */
export function handlePartReply(
    state: AnchorState,
    gang: Gang,
    memberIndex: number,
    result: Either<Failure, PartReply>,
    context: AnchorContext,
): void {
    const { round, key } = gang;
    result.caseOf({
        // The timeout of the round bounds the retries.
        Left: () =>
            void context.after(RETRY_DELAY_MS, {
                kind: "call-part",
                key,
                round: round.number,
                member: memberIndex,
            }),
        Right: reply => {
            if (reply.kind === "lost") {
                gang.lostMember = memberIndex;
                const stopReasons = { failed: "part-failed", reclaimed: "reclaimed" } as const;
                const reason =
                    reply.reason === "failed" || reply.reason === "reclaimed" ? reply.reason : undefined;
                stopGang(state, gang, reason ? stopReasons[reason] : "member-lost", context);
                return;
            }
            const receivedAt = context.clock.now();
            round.confirmations.set(memberIndex, { ...reply, receivedAt });
            if (round.confirmations.size === gang.commitment.members.length) {
                completeRound(state, gang, context);
            }
        },
    });
}

function completeRound(state: AnchorState, gang: Gang, context: AnchorContext): void {
    const { round, key } = gang;
    const now = context.clock.now();
    if (now - round.startedAt > ROUND_TIMEOUT_MS) {
        // This process was paused past the round's timeout, so the members' leases may have expired.
        stopGang(state, gang, "member-lost", context);
        return;
    }
    const partStates = [...round.confirmations.values()].map(confirmation => confirmation.state);
    grantLeases(gang);
    if (round.step === "prepare") {
        if (partStates.every(part => part === "prepared")) {
            beginRound(state, gang, "start", context);
            return;
        }
        if (now - gang.committedAt > PREPARE_TIMEOUT_MS) {
            stopGang(state, gang, "member-lost", context);
            return;
        }
        context.after(PREPARE_INTERVAL_MS, { kind: "next-round", key, round: round.number });
        return;
    }
    if (round.step === "start") {
        context.after(gang.commitment.task.limitMs, { kind: "time-limit", key });
    }
    gang.allConfirmedAt = round.startedAt;
    if (partStates.every(part => part === "finished")) {
        stopGang(state, gang, undefined, context);
        return;
    }
    const waitMs = Math.max(0, round.startedAt + RENEW_INTERVAL_MS - now);
    context.after(waitMs, { kind: "next-round", key, round: round.number });
}

/** Computes the leases that the next call grants, from the confirmations of this round. */
function grantLeases(gang: Gang): void {
    const { round } = gang;
    const grants = computeLeaseGrants(round.startedAt, round.confirmations);
    for (const [memberIndex, { stamp }] of round.confirmations) {
        // A prepared part has not computed yet, so nothing is deducted from its first lease.
        const leaseMs = round.step === "prepare" ? MAX_RUN_LEASE_MS : (grants.get(memberIndex) ?? 0);
        gang.leases.set(memberIndex, { stamp, leaseMs });
    }
}
