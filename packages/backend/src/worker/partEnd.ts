import { CHECKPOINT_GRACE_MS, type PartLossReason } from "@tanagerdeck/decisions/gang/gangTypes";
import { closeAttempt, releaseAttempt } from "@tanagerdeck/decisions/ledger/acceleratorLedger";
import { TASK_CALL_TIMEOUT_MS } from "./workerClient.ts";
import type { Part, WorkerContext, WorkerState } from "./workerTypes.ts";

/** Interval between attempts to remove a task from its worker. */
const REMOVE_RETRY_MS = 250;
/** Number of recent task outcomes that are reported for the worker's health. */
const MAX_RECENT_OUTCOMES = 6;

/** Ends a part that can no longer run. Its anchor receives the reason with the reply to its next message. */
export function losePart(state: WorkerState, part: Part, loss: PartLossReason, context: WorkerContext): void {
    if (part.ending) {
        return;
    }
    recordEnd(state, part, { loss });
    state.options.log.warn("A part has ended early.", { part: part.id, loss });
    rejectPendingStarts(part, loss);
    endPart(state, part, context);
}

/** Stops the part's computation, writes a checkpoint if requested, and then removes its task. */
export function stopPart(
    state: WorkerState,
    part: Part,
    shouldCheckpoint: boolean,
    context: WorkerContext,
): void {
    if (part.ending || part.phase === "stopping") {
        return;
    }
    const { now } = context.clock;
    const wasComputing = part.phase === "computing" || part.phase === "starting";
    part.phase = "stopping";
    part.stopBy = (part.reclaimAt ?? now()) + CHECKPOINT_GRACE_MS;
    rejectPendingStarts(part, "stale");
    if (!wasComputing) {
        endPart(state, part, context);
        return;
    }
    context.start(
        () => state.options.calls.throttle(part.id, 0),
        reply => ({ kind: "paused", id: part.id, checkpoint: shouldCheckpoint, reply }),
    );
}

/** Stops renewing the task's lease and removes the task. Its accelerators are freed once it must have ended. */
export function endPart(state: WorkerState, part: Part, context: WorkerContext): void {
    if (part.ending) {
        return;
    }
    part.ending = true;
    state.ledger = closeAttempt(state.ledger, part.reference, context.clock.now());
    context.post({ kind: "remove", id: part.id });
}

/** Asks the anchor to checkpoint and stop the gang, and ends the part when the grace period is over. */
export function reclaimPart(state: WorkerState, part: Part, context: WorkerContext): void {
    if (part.reclaimAt !== undefined || part.ending) {
        return;
    }
    part.reclaimAt = context.clock.now();
    state.options.log.info("A part on borrowed accelerators is reclaimed.", { part: part.id });
    state.options.askReclaim(part.anchor, part.reference);
    context.after(CHECKPOINT_GRACE_MS, { kind: "reclaim-end", id: part.id });
}

/** Removes the task of an ending part, but not before calls that could create it or extend its lease are answered. */
export function removeTask(state: WorkerState, part: Part, context: WorkerContext): void {
    if (part.leaseCalls > 0) {
        context.after(REMOVE_RETRY_MS, { kind: "remove", id: part.id });
        return;
    }
    if (part.removing && context.clock.now() >= part.endsBy) {
        finishRemoval(state, part, false, context);
        return;
    }
    part.removing = true;
    context.start(
        () => state.options.calls.remove(part.id),
        reply => ({ kind: "removed", id: part.id, reply }),
    );
}

/** Frees the accelerators once the task is gone or its last lease has expired; otherwise retries the removal. */
export function finishRemoval(state: WorkerState, part: Part, isGone: boolean, context: WorkerContext): void {
    const untilLeaseEndMs = part.endsBy - context.clock.now();
    if (!isGone && untilLeaseEndMs > 0) {
        // If another call could time out after the end of the lease, wait for that end instead.
        const waitMs =
            untilLeaseEndMs < REMOVE_RETRY_MS + TASK_CALL_TIMEOUT_MS ? untilLeaseEndMs : REMOVE_RETRY_MS;
        context.after(waitMs, { kind: "remove", id: part.id });
        return;
    }
    state.parts.delete(part.id);
    state.ledger = releaseAttempt(state.ledger, part.reference);
    recordEnd(state, part, {});
}

/** Records how a part ended, so that repeated messages of its anchor get the same answer. */
export function recordEnd(
    state: WorkerState,
    part: Part,
    change: { loss?: PartLossReason; checkpoint?: string },
): void {
    const endedAt = state.options.clock.now();
    state.ended.set(part.id, { ...state.ended.get(part.id), ...change, endedAt });
}

/** Records a task outcome, which counts towards the worker's health. */
export function recordOutcome(state: WorkerState, outcome: "succeeded" | "failed"): void {
    state.recentOutcomes = [...state.recentOutcomes, outcome].slice(-MAX_RECENT_OUTCOMES);
}

function rejectPendingStarts(part: Part, reason: PartLossReason): void {
    for (const reply of part.startReplies) {
        reply({ kind: "lost", reason });
    }
    part.startReplies = [];
}
