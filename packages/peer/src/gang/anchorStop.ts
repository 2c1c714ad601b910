import type { Either } from "purify-ts/Either";
import type { GangEnd, GangReport, GangStopReason } from "@tanagerdeck/decisions/fleet/reportTypes";
import {
    CHECKPOINT_GRACE_MS,
    MAX_PARTIAL_RUN_MS,
    type StopReply,
} from "@tanagerdeck/decisions/gang/gangTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { AnchorContext, AnchorState, Gang } from "./anchorTypes.ts";

const STOP_RETRY_MS = 200;
/** After this time every part has ended by its lease, whether its member has answered or not. */
const STOP_LIMIT_MS = CHECKPOINT_GRACE_MS + MAX_PARTIAL_RUN_MS;
/** Reasons after which the job goes on from its checkpoint. */
const CHECKPOINTED = new Set<GangStopReason | undefined>(["reclaimed", "time-limit", "draining"]);

/** Stops all parts; `reason` is undefined if every part has finished. */
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
    gang.checkpoint = CHECKPOINTED.has(reason);
    state.options.log.info("A gang is stopping.", { gang: gang.key, reason: reason ?? "finished" });
    for (const member of gang.commitment.members.keys()) {
        callStop(state, gang, member, context);
    }
    context.after(STOP_LIMIT_MS, { kind: "stop-limit", key: gang.key });
}

/** Tells one member to stop. */
export function callStop(state: AnchorState, gang: Gang, position: number, context: AnchorContext): void {
    const member = gang.commitment.members[position];
    if (!member || gang.endedAt !== undefined) {
        return;
    }
    const { gang: name, attempt } = gang.commitment;
    const order = { gang: name, attempt, checkpoint: gang.checkpoint && gang.stopReason !== undefined };
    context.start(
        () => state.options.calls.stop(member.address, order),
        result => ({ kind: "part-stopped", key: gang.key, member: position, result }),
    );
}

/** Takes a member's reply to a stop; the last one ends the gang. */
export function partStopped(
    gang: Gang,
    position: number,
    result: Either<Failure, StopReply>,
    context: AnchorContext,
): void {
    const reply = result.orDefault({ kind: "stopping" });
    if (reply.kind === "stopping") {
        context.after(STOP_RETRY_MS, { kind: "stop-part", key: gang.key, member: position });
        return;
    }
    gang.stopped.set(position, reply.checkpoint);
    if (gang.stopped.size === gang.commitment.members.length) {
        endGang(gang, context);
    }
}

/** Notes the end of a gang, which is reported until it is recorded. */
export function endGang(gang: Gang, context: AnchorContext): void {
    if (gang.endedAt !== undefined) {
        return;
    }
    gang.endedAt = context.clock.now();
    const states = { "part-failed": "failed", finished: "finished" } as const;
    const reason = gang.stopReason ?? "finished";
    gang.state = reason === "part-failed" || reason === "finished" ? states[reason] : "stopped";
}

/** What entries are told about a gang. */
export function gangReport(gang: Gang): GangReport {
    const { gang: name, attempt } = gang.commitment;
    const report = { gang: name, attempt, state: gang.state };
    return gang.endedAt === undefined ? report : { ...report, end: gangEnd(gang) };
}

function gangEnd(gang: Gang): GangEnd {
    const started = gang.startedAt;
    const lost = gang.lostMember === undefined ? undefined : gang.commitment.members[gang.lostMember];
    return {
        reason: gang.stopReason,
        started: started !== undefined,
        ranMs: started === undefined ? 0 : Math.max(0, gang.wholeAt - started),
        checkpoint: wholeCheckpoint(gang),
        lostAgent: lost?.agent,
    };
}

/** A checkpoint counts only if every part has one, since a part must not repeat what another keeps. */
function wholeCheckpoint(gang: Gang): string | undefined {
    const parts: string[] = [];
    for (const member of gang.commitment.members.keys()) {
        const checkpoint = gang.stopped.get(member);
        if (checkpoint === undefined) {
            return undefined;
        }
        parts.push(checkpoint);
    }
    return parts.join(",");
}
