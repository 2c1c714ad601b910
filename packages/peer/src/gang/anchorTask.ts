import { attemptKey, type CommitRequest, type GangAttemptId } from "@tanagerdeck/decisions/gang/gangTypes";
import { startTask, type Handlers, type Task } from "@tanagerdeck/runtime/task/task";
import { beginRound, callPart, handlePartReply } from "./anchorRounds.ts";
import { sendStop, markEnded, gangReport, handleStopReply, stopGang } from "./anchorStop.ts";
import type { AnchorContext, AnchorMessage, AnchorOptions, AnchorState, Gang } from "./anchorTypes.ts";

const SWEEP_INTERVAL_MS = 60_000;
/** Time for which an ended gang is kept if no entry records its end, for example during an outage. */
const END_RETENTION_MS = 3_600_000;
/**
 * Time since the last use after which a fence is removed. It exceeds `END_RETENTION_MS`, so that a query about a gang
 * that ran and was removed is never answered with `not-run`.
 */
const FENCE_RETENTION_MS = 86_400_000;

/**
 * Starts the anchor task: it commits gangs, starts their parts together and stops all parts of a gang if one is lost.
 * A part is one member's share of the gang.
 */
export function startAnchorTask(options: AnchorOptions): Task<AnchorMessage> {
    const task = startTask<AnchorState, AnchorMessage>({
        name: "anchor",
        state: { gangs: new Map(), fences: new Map(), options },
        handlers,
        clock: options.clock,
        reportError: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
    task.send({ kind: "sweep" });
    return task;
}

const handlers: Handlers<AnchorState, AnchorMessage> = {
    commit(state, message, context) {
        const { commitment, reply } = message;
        const key = attemptKey(commitment);
        if (commitment.incarnation !== state.options.incarnation) {
            // The commit was meant for an earlier process at this address.
            reply({ kind: "refused", reason: "incarnation-gone" });
            return;
        }
        if (state.gangs.has(key)) {
            reply({ kind: "committed" });
            return;
        }
        if (!raiseFence(state, commitment, context)) {
            reply({ kind: "refused", reason: "stale" });
            return;
        }
        const gang = createGang(key, commitment, context);
        state.gangs.set(key, gang);
        reply({ kind: "committed" });
        beginRound(state, gang, "prepare", context);
    },
    /**
     * Answers what happened to an attempt; `action: "cancel"` stops it as well. An attempt that never ran is fenced and
     * answered with `not-run`.
     */
    settle(state, message, context) {
        const { settlement, reply } = message;
        const gang = state.gangs.get(attemptKey(settlement));
        if (gang) {
            if (settlement.action === "cancel") {
                stopGang(state, gang, "cancelled", context);
            }
            reply({ kind: "known", report: gangReport(gang) });
            return;
        }
        if (settlement.incarnation !== state.options.incarnation) {
            reply({ kind: "unknown" });
            return;
        }
        const previousFence = state.fences.get(settlement.gang);
        if (raiseFence(state, settlement, context, false)) {
            reply({ kind: "not-run" });
            return;
        }
        const wasFencedWithoutCommit =
            previousFence?.attempt === settlement.attempt && !previousFence.committed;
        reply({ kind: wasFencedWithoutCommit ? "not-run" : "unknown" });
    },
    reclaim(state, message, context) {
        const gang = state.gangs.get(attemptKey(message.reference));
        if (gang) {
            stopGang(state, gang, "reclaimed", context);
        }
        message.reply({ accepted: true });
    },
    part(state, message, context) {
        const gang = gangInRound(state, message);
        if (gang) {
            handlePartReply(state, gang, message.member, message.result, context);
        }
    },
    "call-part"(state, message, context) {
        const gang = gangInRound(state, message);
        if (gang) {
            callPart(state, gang, message.member, context);
        }
    },
    "next-round"(state, message, context) {
        const gang = gangInRound(state, message);
        if (gang) {
            // The leases of the parts are renewed only once the gang has started.
            beginRound(state, gang, gang.startedAt === undefined ? "prepare" : "renew", context);
        }
    },
    "round-timeout"(state, message, context) {
        const gang = gangInRound(state, message);
        const areAllConfirmed = gang && gang.round.confirmations.size === gang.commitment.members.length;
        if (gang && !areAllConfirmed) {
            gang.lostMember = firstUnconfirmedMember(gang);
            stopGang(state, gang, "member-lost", context);
        }
    },
    "time-limit"(state, message, context) {
        const gang = state.gangs.get(message.key);
        if (gang) {
            stopGang(state, gang, "time-limit", context);
        }
    },
    "stop-part"(state, message, context) {
        const gang = state.gangs.get(message.key);
        if (gang) {
            sendStop(state, gang, message.member, context);
        }
    },
    "part-stopped"(state, message, context) {
        const gang = state.gangs.get(message.key);
        if (gang && gang.endedAt === undefined) {
            handleStopReply(gang, message.member, message.result, context);
        }
    },
    "stop-timeout"(state, message, context) {
        const gang = state.gangs.get(message.key);
        if (gang) {
            markEnded(gang, context);
        }
    },
    recorded(state, message) {
        for (const key of message.keys) {
            if (state.gangs.get(key)?.endedAt !== undefined) {
                state.gangs.delete(key);
            }
        }
    },
    reports(state, message) {
        message.reply([...state.gangs.values()].map(gangReport));
    },
    sweep(state, _message, context) {
        const now = context.clock.now();
        for (const [key, { endedAt, commitment }] of state.gangs) {
            const fence = state.fences.get(commitment.gang);
            if (fence) {
                fence.touchedAt = now;
            }
            if (endedAt !== undefined && now - endedAt > END_RETENTION_MS) {
                state.gangs.delete(key);
            }
        }
        for (const [name, { touchedAt }] of state.fences) {
            if (now - touchedAt > FENCE_RETENTION_MS) {
                state.fences.delete(name);
            }
        }
        context.after(SWEEP_INTERVAL_MS, { kind: "sweep" });
    },
};

/** The gang that the message belongs to; undefined unless it is active and still in that round. */
function gangInRound(state: AnchorState, message: { key: string; round: number }): Gang | undefined {
    const gang = state.gangs.get(message.key);
    const isActive = gang?.state === "committed" || gang?.state === "running";
    return isActive && gang.round.number === message.round ? gang : undefined;
}

/**
 * Raises the gang's fence to this attempt, so that a later commit of it or of a lower attempt is refused. `committed`
 * tells whether the attempt itself was committed. Returns false if the fence already covers the attempt.
 */
function raiseFence(
    state: AnchorState,
    reference: GangAttemptId,
    context: AnchorContext,
    committed = true,
): boolean {
    const fence = state.fences.get(reference.gang);
    if (fence && fence.attempt >= reference.attempt) {
        return false;
    }
    const touchedAt = context.clock.now();
    state.fences.set(reference.gang, { attempt: reference.attempt, committed, touchedAt });
    return true;
}

function firstUnconfirmedMember(gang: Gang): number | undefined {
    for (const memberIndex of gang.commitment.members.keys()) {
        if (!gang.round.confirmations.has(memberIndex)) {
            return memberIndex;
        }
    }
    return undefined;
}

function createGang(key: string, commitment: CommitRequest, context: AnchorContext): Gang {
    const now = context.clock.now();
    return {
        key,
        commitment,
        state: "committed",
        round: { number: 0, step: "prepare", startedAt: now, confirmations: new Map() },
        leases: new Map(),
        committedAt: now,
        startedAt: undefined,
        allConfirmedAt: now,
        stopReason: undefined,
        shouldWriteCheckpoints: false,
        lostMember: undefined,
        checkpointsByStoppedMember: new Map(),
        endedAt: undefined,
    };
}
