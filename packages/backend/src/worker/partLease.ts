import type { PartReply } from "@tanagerdeck/decisions/gang/gangTypes";
import { TASK_CALL_TIMEOUT_MS, type WorkerReply, type WorkerTaskView } from "./workerClient.ts";
import { losePart, recordOutcome } from "./partEnd.ts";
import type { Part, WorkerContext, WorkerState } from "./workerTypes.ts";

/** Duration of a task's lease on the worker. */
export const TASK_LEASE_MS = 1_500;
/** Interval at which task leases are renewed. */
export const TASK_RENEW_INTERVAL_MS = 500;
/** A part counts as lost when its worker has not confirmed the task for this time. */
const WORKER_SILENCE_LIMIT_MS = 1_000;

/**
 * Ends a part whose lease has expired or whose worker is silent, and returns whether the part goes on. Leases are
 * checked on the monotonic clock before each use of a part, as the process may have been frozen.
 */
export function checkLease(state: WorkerState, part: Part, context: WorkerContext): boolean {
    if (part.ending || part.phase === "stopping") {
        return false;
    }
    const now = context.clock.now();
    if (remainingLeaseMs(part, now) <= 0) {
        losePart(state, part, "expired", context);
        return false;
    }
    const isMonitored = part.phase === "computing" || part.phase === "prepared";
    if (isMonitored && now - part.evidenceAt > WORKER_SILENCE_LIMIT_MS) {
        losePart(state, part, "worker-lost", context);
        return false;
    }
    return true;
}

/** Renews the task's lease on the worker, at most until the end of the part's own lease. */
export function renewTask(state: WorkerState, part: Part, context: WorkerContext): void {
    const now = context.clock.now();
    const isRenewable = part.phase === "stopping" ? part.paused : checkLease(state, part, context);
    if (part.ending || !isRenewable || part.phase === "loading" || part.phase === "finished") {
        return;
    }
    const leaseMs = Math.min(TASK_LEASE_MS, remainingLeaseMs(part, now));
    if (leaseMs <= 0) {
        return;
    }
    part.leaseCalls++;
    context.start(
        () => state.options.calls.renew(part.id, leaseMs),
        reply => ({ kind: "renewed", id: part.id, sentAt: now, leaseMs, reply }),
    );
}

/** Applies the reply to a call that gave the task a lease. */
export function applyLeaseReply(
    part: Part,
    message: { sentAt: number; leaseMs: number; reply: WorkerReply<WorkerTaskView> },
    now: number,
): void {
    part.leaseCalls--;
    part.endsBy = Math.max(part.endsBy, now + message.leaseMs);
    if (message.reply.kind === "ok") {
        part.evidenceAt = Math.max(part.evidenceAt, message.sentAt);
    }
}

/** Applies the task state that a renewal returned. */
export function applyTaskState(
    state: WorkerState,
    part: Part,
    message: { sentAt: number; reply: WorkerReply<WorkerTaskView> },
    context: WorkerContext,
): void {
    const { reply, sentAt } = message;
    if (part.ending || part.phase === "stopping" || part.phase === "finished" || reply.kind === "silent") {
        return;
    }
    if (reply.kind !== "ok") {
        losePart(state, part, "worker-lost", context);
        return;
    }
    const { state: taskState } = reply.value;
    if (taskState === "finished") {
        part.phase = "finished";
        recordOutcome(state, "succeeded");
    }
    if (taskState === "failed") {
        recordOutcome(state, "failed");
        losePart(state, part, "failed", context);
    }
    if (taskState === "loaded" && part.phase === "computing" && sentAt >= part.computingSince) {
        losePart(state, part, "worker-lost", context);
    }
}

/** Describes a part's state in a reply to its anchor. */
export function partStatusReply(part: Part, now: number): PartReply {
    if (part.phase === "stopping") {
        return { kind: "lost", reason: "stale" };
    }
    const staleMs = part.phase === "finished" ? 0 : now - part.evidenceAt;
    return { kind: "confirmed", state: part.phase, stamp: now, staleMs };
}

/** Longest task lease that may be given now; a call can reach the worker as late as its time limit. */
function remainingLeaseMs(part: Part, now: number): number {
    const end = part.phase === "stopping" ? part.stopBy : part.leaseEnd;
    return end - now - TASK_CALL_TIMEOUT_MS;
}
