// Stopping a gang: the anchor asks every member to stop its part, then keeps the end until it is recorded.
import type { Either } from "purify-ts/Either";
import type { GangEnd, GangReport, GangStopReason } from "@tanagerdeck/decisions/fleet/reportTypes";
import {
    CHECKPOINT_GRACE_MS,
    MAX_PARTIAL_RUN_MS,
    type StopReply,
} from "@tanagerdeck/decisions/gang/gangTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { AnchorContext, AnchorState, Gang } from "./anchorTypes.ts";

/** Delay before a stop is repeated that failed or whose part is still stopping. */
const STOP_RETRY_DELAY_MS = 200;
/** After this time every part's lease has expired, so the gang has ended even if a member did not reply. */
const STOP_TIMEOUT_MS = CHECKPOINT_GRACE_MS + MAX_PARTIAL_RUN_MS;
/** Stop reasons after which the job is resumed from a checkpoint. */
const CHECKPOINT_REASONS = new Set<GangStopReason | undefined>(["reclaimed", "time-limit", "draining"]);

/** Begins to stop all parts; `reason` is undefined if every part has finished. */
export function stopGang(
    state: AnchorState,
    gang: Gang,
    reason: GangStopReason | undefined,
    context: AnchorContext,
): void {
    if (gang.state === "stopping" || gang.endedAt !== undefined) {
        return;
    }
    gang.state = "stopping";
    gang.stopReason = reason;
    gang.shouldWriteCheckpoints = CHECKPOINT_REASONS.has(reason);
    state.options.log.info("A gang is stopping.", { gang: gang.key, reason: reason ?? "finished" });
    for (const memberIndex of gang.commitment.members.keys()) {
        sendStop(state, gang, memberIndex, context);
    }
    context.after(STOP_TIMEOUT_MS, { kind: "stop-timeout", key: gang.key });
}

/** Asks one member to stop its part. */
export function sendStop(state: AnchorState, gang: Gang, memberIndex: number, context: AnchorContext): void {
    const member = gang.commitment.members[memberIndex];
    if (!member || gang.endedAt !== undefined) {
        return;
    }
    const { gang: name, attempt } = gang.commitment;
    const request = {
        gang: name,
        attempt,
        checkpoint: gang.shouldWriteCheckpoints && gang.stopReason !== undefined,
    };
    context.start(
        () => state.options.calls.stop(member.address, request),
        result => ({ kind: "part-stopped", key: gang.key, member: memberIndex, result }),
    );
}

/** Handles a member's reply to a stop; once all parts have stopped, the gang has ended. */
export function handleStopReply(
    gang: Gang,
    memberIndex: number,
    result: Either<Failure, StopReply>,
    context: AnchorContext,
): void {
    const reply = result.orDefault({ kind: "stopping" });
    if (reply.kind === "stopping") {
        context.after(STOP_RETRY_DELAY_MS, { kind: "stop-part", key: gang.key, member: memberIndex });
        return;
    }
    gang.checkpointsByStoppedMember.set(memberIndex, reply.checkpoint);
    if (gang.checkpointsByStoppedMember.size === gang.commitment.members.length) {
        markEnded(gang, context);
    }
}

/** Marks a gang as ended; the end is included in reports until an entry has recorded it. */
export function markEnded(gang: Gang, context: AnchorContext): void {
    if (gang.endedAt !== undefined) {
        return;
    }
    gang.endedAt = context.clock.now();
    const endStates = { "part-failed": "failed", finished: "finished" } as const;
    const reason = gang.stopReason ?? "finished";
    gang.state = reason === "part-failed" || reason === "finished" ? endStates[reason] : "stopped";
}

/** Builds the gang's part of this agent's report to the entries. */
export function gangReport(gang: Gang): GangReport {
    const { gang: name, attempt } = gang.commitment;
    const report = { gang: name, attempt, state: gang.state };
    return gang.endedAt === undefined ? report : { ...report, end: gangEnd(gang) };
}

function gangEnd(gang: Gang): GangEnd {
    const startedAt = gang.startedAt;
    const lostMember = gang.lostMember === undefined ? undefined : gang.commitment.members[gang.lostMember];
    return {
        reason: gang.stopReason,
        started: startedAt !== undefined,
        ranMs: startedAt === undefined ? 0 : Math.max(0, gang.allConfirmedAt - startedAt),
        checkpoint: gangCheckpoint(gang),
        lostAgent: lostMember?.agent,
    };
}

/**
 * The parts' checkpoints, joined; undefined unless every part has one. A gang resumed from only some checkpoints
 * would have parts that repeat work that the others have kept.
 */
function gangCheckpoint(gang: Gang): string | undefined {
    const parts: string[] = [];
    for (const memberIndex of gang.commitment.members.keys()) {
        const checkpoint = gang.checkpointsByStoppedMember.get(memberIndex);
        if (checkpoint === undefined) {
            return undefined;
        }
        parts.push(checkpoint);
    }
    return parts.join(",");
}
