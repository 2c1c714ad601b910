import { CHECKPOINT_GRACE_MS, type PartLossReason } from "@tanagerdeck/decisions/gang/gangTypes";
import { closeAttempt, releaseAttempt } from "@tanagerdeck/decisions/ledger/acceleratorLedger";
import { TASK_CALL_TIMEOUT_MS } from "./workerClient.ts";
import type { Part, WorkerContext, WorkerState } from "./workerTypes.ts";

/** Interval of attempts to remove a task from a worker that does not answer. */
const REMOVE_RETRY_MS = 250;
const OUTCOMES_KEPT = 6;

/** Ends a part that can no longer run; its anchor learns of it at the next message. */
export function losePart(state: WorkerState, part: Part, loss: PartLossReason, context: WorkerContext): void {
    if (part.ending) {
        return;
    }
    remember(state, part, { loss });
    state.options.log.warn("A part has ended early.", { part: part.id, loss });
    answerStart(part, loss);
    endPart(state, part, context);
}

/** Stops computing, writes a checkpoint if asked, then removes the task. */
export function stopPart(state: WorkerState, part: Part, checkpoint: boolean, context: WorkerContext): void {
    if (part.ending || part.phase === "stopping") {
        return;
    }
    const { now } = context.clock;
    const wasComputing = part.phase === "computing" || part.phase === "starting";
    part.phase = "stopping";
    part.stopBy = (part.reclaimAt ?? now()) + CHECKPOINT_GRACE_MS;
    answerStart(part, "stale");
    if (!wasComputing) {
        endPart(state, part, context);
        return;
    }
    context.start(
        () => state.options.calls.throttle(part.id, 0),
        reply => ({ kind: "paused", id: part.id, checkpoint, reply }),
    );
}

/** Gives the task no more leases and removes it; its accelerators are free when it has surely ended. */
export function endPart(state: WorkerState, part: Part, context: WorkerContext): void {
    if (part.ending) {
        return;
    }
    part.ending = true;
    state.ledger = closeAttempt(state.ledger, part.reference, context.clock.now());
    context.post({ kind: "remove", id: part.id });
}

/** Asks the anchor to stop the gang, and ends the part here when the grace period is over. */
export function reclaimPart(state: WorkerState, part: Part, context: WorkerContext): void {
    if (part.reclaimAt !== undefined || part.ending) {
        return;
    }
    part.reclaimAt = context.clock.now();
    state.options.log.info("A borrowed part is reclaimed.", { part: part.id });
    state.options.askReclaim(part.anchor, part.reference);
    context.after(CHECKPOINT_GRACE_MS, { kind: "reclaim-end", id: part.id });
}

/** Removes the task of an ending part, unless a call in flight could still create or extend it. */
export function removeTask(state: WorkerState, part: Part, context: WorkerContext): void {
    if (part.leaseCalls > 0) {
        context.after(REMOVE_RETRY_MS, { kind: "remove", id: part.id });
        return;
    }
    if (part.removing && context.clock.now() >= part.endsBy) {
        taskRemoved(state, part, false, context);
        return;
    }
    part.removing = true;
    context.start(
        () => state.options.calls.remove(part.id),
        reply => ({ kind: "removed", id: part.id, reply }),
    );
}

/** Frees the accelerators once the task is gone or its last lease has run out. */
export function taskRemoved(state: WorkerState, part: Part, gone: boolean, context: WorkerContext): void {
    const leftMs = part.endsBy - context.clock.now();
    if (!gone && leftMs > 0) {
        // A last call to a silent worker must not outlast the lease.
        const waitMs = leftMs < REMOVE_RETRY_MS + TASK_CALL_TIMEOUT_MS ? leftMs : REMOVE_RETRY_MS;
        context.after(waitMs, { kind: "remove", id: part.id });
        return;
    }
    state.parts.delete(part.id);
    state.ledger = releaseAttempt(state.ledger, part.reference);
    remember(state, part, {});
}

/** Notes how a part ended, for repeated messages of its anchor. */
export function remember(
    state: WorkerState,
    part: Part,
    change: { loss?: PartLossReason; checkpoint?: string },
): void {
    const endedAt = state.options.clock.now();
    state.ended.set(part.id, { ...state.ended.get(part.id), ...change, endedAt });
}

/** Notes an outcome for the worker's health. */
export function noteOutcome(state: WorkerState, outcome: "succeeded" | "failed"): void {
    state.recentOutcomes = [...state.recentOutcomes, outcome].slice(-OUTCOMES_KEPT);
}

function answerStart(part: Part, reason: PartLossReason): void {
    for (const reply of part.startReplies) {
        reply({ kind: "lost", reason });
    }
    part.startReplies = [];
}
