import {
    attemptKey,
    MAX_RUN_LEASE_MS,
    type GangAttemptId,
    type LeaseRequest,
    type PartReply,
    type PrepareRequest,
    type StopRequest,
    type StopReply,
} from "@tanagerdeck/decisions/gang/gangTypes";
import { closeAttempt, occupy, usedIndexes } from "@tanagerdeck/decisions/ledger/acceleratorLedger";
import { confirmTask, openTask } from "@tanagerdeck/decisions/ledger/usageMeter";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import { stopPart } from "./partEnd.ts";
import {
    checkLease,
    partStatusReply,
    renewTask,
    TASK_LEASE_MS,
    TASK_RENEW_INTERVAL_MS,
} from "./partLease.ts";
import { TASK_CALL_TIMEOUT_MS } from "./workerClient.ts";
import type { Part, WorkerContext, WorkerState } from "./workerTypes.ts";

/** Loads a part on reserved accelerators without starting it, or extends the lease of a part that is already loaded. */
export function preparePart(
    state: WorkerState,
    preparation: PrepareRequest,
    reply: Reply<PartReply>,
    context: WorkerContext,
): void {
    const now = context.clock.now();
    const known = state.parts.get(attemptKey(preparation));
    if (!known) {
        const part = loadPart(state, preparation, context);
        reply(part ? partStatusReply(part, now) : lostReply(state, preparation));
        return;
    }
    // Two coordinators that do not know of each other may name different anchors for the same attempt.
    if (!checkLease(state, known, context) || known.anchor !== preparation.anchor) {
        reply(lostReply(state, preparation));
        return;
    }
    if (known.phase === "loading" || known.phase === "prepared") {
        known.leaseEnd = now + MAX_RUN_LEASE_MS;
    }
    reply(
        known.reclaimAt === undefined ? partStatusReply(known, now) : { kind: "lost", reason: "reclaimed" },
    );
}

/** Starts the computation of a prepared part and replies when the worker has accepted the start. */
export function startPart(
    state: WorkerState,
    order: LeaseRequest,
    reply: Reply<PartReply>,
    context: WorkerContext,
): void {
    const part = runnablePart(state, order, reply, context);
    if (!part) {
        return;
    }
    if (part.phase === "computing" || part.phase === "finished") {
        reply(partStatusReply(part, context.clock.now()));
        return;
    }
    if (part.phase === "loading") {
        reply({ kind: "lost", reason: "stale" });
        return;
    }
    part.startReplies.push(reply);
    if (part.phase === "starting") {
        return;
    }
    part.leaseEnd = order.stamp + order.leaseMs;
    part.phase = "starting";
    if (!checkLease(state, part, context)) {
        return;
    }
    const sentAt = context.clock.now();
    context.start(
        () => state.options.calls.throttle(part.id, 1),
        started => ({ kind: "started", id: part.id, sentAt, reply: started }),
    );
}

/** Extends a part's lease. The use of a computing part is counted only from its first renewal. */
export function renewPart(
    state: WorkerState,
    order: LeaseRequest,
    reply: Reply<PartReply>,
    context: WorkerContext,
): void {
    const part = runnablePart(state, order, reply, context);
    if (!part) {
        return;
    }
    const now = context.clock.now();
    part.leaseEnd = Math.max(part.leaseEnd, order.stamp + order.leaseMs);
    if (!part.confirmed && part.startedAt !== undefined) {
        part.confirmed = true;
        const uncountedMs = (now - part.startedAt) * part.indexes.length;
        state.meter = confirmTask(state.meter, part.id, uncountedMs);
    }
    reply(partStatusReply(part, now));
    // The run lease may have shortened the task lease, which would then expire before the next regular renewal.
    if (part.endsBy < now + TASK_RENEW_INTERVAL_MS + TASK_CALL_TIMEOUT_MS) {
        renewTask(state, part, context);
    }
}

/** Stops the part of an attempt, and refuses later orders for that attempt. */
export function stopAttempt(
    state: WorkerState,
    order: StopRequest,
    reply: Reply<StopReply>,
    context: WorkerContext,
): void {
    state.ledger = closeAttempt(state.ledger, order, context.clock.now());
    const part = state.parts.get(attemptKey(order));
    if (!part) {
        reply({ kind: "stopped", checkpoint: state.ended.get(attemptKey(order))?.checkpoint });
        return;
    }
    stopPart(state, part, order.checkpoint, context);
    reply({ kind: "stopping" });
}

/** Returns the part if it may go on running; otherwise replies to the anchor with the reason. */
function runnablePart(
    state: WorkerState,
    order: LeaseRequest,
    reply: Reply<PartReply>,
    context: WorkerContext,
): Part | undefined {
    const part = state.parts.get(attemptKey(order));
    if (!part || !checkLease(state, part, context)) {
        reply(lostReply(state, order));
        return undefined;
    }
    if (part.reclaimAt !== undefined) {
        reply({ kind: "lost", reason: "reclaimed" });
        return undefined;
    }
    return part;
}

function lostReply(state: WorkerState, reference: GangAttemptId): PartReply {
    return { kind: "lost", reason: state.ended.get(attemptKey(reference))?.loss ?? "stale" };
}

function loadPart(state: WorkerState, preparation: PrepareRequest, context: WorkerContext): Part | undefined {
    const now = context.clock.now();
    const { gang, attempt, anchor, task } = preparation;
    const reference = { gang, attempt };
    const ledger = occupy(state.ledger, reference, now);
    if (!ledger) {
        return undefined;
    }
    state.ledger = ledger;
    const id = attemptKey(reference);
    const indexes = usedIndexes(ledger, reference);
    const part: Part = {
        id,
        reference,
        anchor,
        task,
        indexes,
        phase: "loading",
        leaseEnd: now + MAX_RUN_LEASE_MS,
        evidenceAt: now,
        endsBy: now,
        leaseCalls: 1,
        paused: false,
        startedAt: undefined,
        computingSince: 0,
        confirmed: false,
        reclaimAt: undefined,
        stopBy: 0,
        ending: false,
        removing: false,
        startReplies: [],
    };
    state.parts.set(id, part);
    const { clientAccount, kind } = task;
    state.meter = openTask(state.meter, id, { clientAccount, kind, openedAt: now });
    const order = {
        id,
        indexes,
        leaseMs: TASK_LEASE_MS,
        throttle: 0,
        checkpoint: task.checkpoint,
        body: task.body,
    };
    context.start(
        () => state.options.calls.create(order),
        reply => ({ kind: "created", id, sentAt: now, leaseMs: TASK_LEASE_MS, reply }),
    );
    return part;
}
