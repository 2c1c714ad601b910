import {
    acceleratorStates,
    closeAttempt,
    createAcceleratorLedger,
    reserve,
} from "@tanagerdeck/decisions/ledger/acceleratorLedger";
import {
    closeTask,
    createUsageMeter,
    reportUse,
    usageCounters,
} from "@tanagerdeck/decisions/ledger/usageMeter";
import { attemptKey } from "@tanagerdeck/decisions/gang/gangTypes";
import { startTask, type Handlers, type Task } from "@tanagerdeck/runtime/task/task";
import { endPart, losePart, reclaimPart, recordEnd, removeTask, stopPart, finishRemoval } from "./partEnd.ts";
import {
    checkLease,
    partStatusReply,
    applyLeaseReply,
    renewTask,
    applyTaskState,
    TASK_RENEW_INTERVAL_MS,
} from "./partLease.ts";
import { preparePart, renewPart, startPart, stopAttempt } from "./partOrders.ts";
import type { WorkerContext, WorkerMessage, WorkerOptions, WorkerState } from "./workerTypes.ts";

/** Interval at which the worker's usage counters are read. */
const USAGE_INTERVAL_MS = 2_000;
/** Interval at which a new incarnation checks whether the tasks of the previous one have ended. */
const ADOPTION_RETRY_MS = 250;
/**
 * Silence after which a worker counts as not ready. Attempts handle shorter silences themselves, as a guaranteed shape
 * must be reclaimed in less time.
 */
const UNREADY_AFTER_SILENCE_MS = 6_000;
/** Ended parts are kept for this time, for repeated messages and late usage reports. */
const ENDED_RETENTION_MS = 600_000;

/** Starts the task that owns the accelerators, the parts and the task leases of one worker. */
export function startWorkerTask(options: WorkerOptions): Task<WorkerMessage> {
    const state: WorkerState = {
        ledger: createAcceleratorLedger(options.accelerators),
        bound: [],
        parts: new Map(),
        ended: new Map(),
        recentOutcomes: [],
        meter: createUsageMeter(),
        ready: false,
        answeredAt: options.clock.now(),
        draining: false,
        options,
    };
    const task = startTask<WorkerState, WorkerMessage>({
        name: "worker",
        state,
        handlers,
        clock: options.clock,
        reportError: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
    task.send({ kind: "adopt" });
    task.send({ kind: "tick" });
    task.send({ kind: "read-usage" });
    return task;
}

const handlers: Handlers<WorkerState, WorkerMessage> = {
    reserve(state, message, context) {
        const { reservation, reply } = message;
        if (!state.ready || state.draining) {
            reply({ kind: "refused", reason: state.ready ? "draining" : "starting" });
            return;
        }
        const { bound } = state;
        const decision = reserve(state.ledger, reservation, { now: context.clock.now(), bound });
        state.ledger = decision.ledger;
        if (decision.kind === "refused") {
            reply({ kind: "refused", reason: decision.reason });
            return;
        }
        for (const reference of decision.kind === "reclaiming" ? decision.displaced : []) {
            const part = state.parts.get(attemptKey(reference));
            if (part) {
                reclaimPart(state, part, context);
            }
        }
        reply({ kind: decision.kind, incarnation: state.options.incarnation });
    },
    release(state, message, context) {
        const { reference, reply } = message;
        state.ledger = closeAttempt(state.ledger, reference, context.clock.now());
        const part = state.parts.get(attemptKey(reference));
        if (part) {
            stopPart(state, part, false, context);
        }
        reply({ released: true });
    },
    prepare(state, message, context) {
        preparePart(state, message.preparation, message.reply, context);
    },
    start(state, message, context) {
        startPart(state, message.order, message.reply, context);
    },
    renew(state, message, context) {
        renewPart(state, message.order, message.reply, context);
    },
    stop(state, message, context) {
        stopAttempt(state, message.order, message.reply, context);
    },
    created(state, message, context) {
        const part = state.parts.get(message.id);
        if (!part) {
            return;
        }
        applyLeaseReply(part, message, context.clock.now());
        if (part.ending || part.phase !== "loading") {
            return;
        }
        if (message.reply.kind !== "ok") {
            losePart(state, part, "worker-lost", context);
            return;
        }
        part.phase = "prepared";
        checkLease(state, part, context);
    },
    renewed(state, message, context) {
        const part = state.parts.get(message.id);
        if (!part) {
            return;
        }
        applyLeaseReply(part, message, context.clock.now());
        applyTaskState(state, part, message, context);
    },
    started(state, message, context) {
        const part = state.parts.get(message.id);
        if (!part || part.ending || part.phase !== "starting") {
            return;
        }
        if (message.reply.kind !== "ok") {
            losePart(state, part, "worker-lost", context);
            return;
        }
        const now = context.clock.now();
        part.phase = "computing";
        part.startedAt = message.sentAt;
        part.computingSince = now;
        part.evidenceAt = message.sentAt;
        for (const reply of part.startReplies) {
            reply(partStatusReply(part, now));
        }
        part.startReplies = [];
    },
    paused(state, message, context) {
        const part = state.parts.get(message.id);
        if (!part || part.ending) {
            return;
        }
        part.paused = message.reply.kind === "ok";
        if (!part.paused || !message.checkpoint) {
            endPart(state, part, context);
            return;
        }
        context.start(
            () => state.options.calls.checkpoint(part.id),
            reply => ({ kind: "checkpointed", id: part.id, reply }),
        );
    },
    checkpointed(state, message, context) {
        const part = state.parts.get(message.id);
        if (!part || part.ending) {
            return;
        }
        if (message.reply.kind === "ok") {
            recordEnd(state, part, { checkpoint: message.reply.value.checkpoint });
        }
        endPart(state, part, context);
    },
    remove(state, message, context) {
        const part = state.parts.get(message.id);
        if (part) {
            removeTask(state, part, context);
        }
    },
    removed(state, message, context) {
        const part = state.parts.get(message.id);
        const isGone = message.reply.kind === "ok" || message.reply.kind === "absent";
        if (part) {
            finishRemoval(state, part, isGone, context);
        }
    },
    "reclaim-end"(state, message, context) {
        const part = state.parts.get(message.id);
        if (part) {
            losePart(state, part, "reclaimed", context);
        }
    },
    tick(state, _message, context) {
        for (const part of state.parts.values()) {
            renewTask(state, part, context);
        }
        forgetEnded(state, context);
        context.after(TASK_RENEW_INTERVAL_MS, { kind: "tick" });
    },
    "read-usage"(state, _message, context) {
        context.start(
            () => state.options.calls.usage(),
            reply => ({ kind: "usage", reply }),
        );
        context.after(USAGE_INTERVAL_MS, { kind: "read-usage" });
    },
    usage(state, message, context) {
        if (message.reply.kind !== "silent") {
            state.answeredAt = context.clock.now();
        }
        for (const { task, acceleratorMs } of message.reply.kind === "ok" ? message.reply.value : []) {
            state.meter = reportUse(state.meter, task, acceleratorMs);
        }
    },
    adopt(state, _message, context) {
        context.start(
            () => state.options.calls.list(),
            reply => ({ kind: "adopted", reply }),
        );
    },
    adopted(state, message, context) {
        // Tasks of a previous incarnation end when their leases expire, as nothing renews them any more.
        if (message.reply.kind === "ok" && message.reply.value.length === 0) {
            state.ready = true;
            return;
        }
        context.after(ADOPTION_RETRY_MS, { kind: "adopt" });
    },
    bindings(state, message) {
        state.bound = message.bound;
    },
    drain(state) {
        state.draining = true;
    },
    "drain-end"(state, _message, context) {
        for (const part of state.parts.values()) {
            reclaimPart(state, part, context);
        }
    },
    status(state, message, context) {
        const { bound, recentOutcomes } = state;
        const silentMs = context.clock.now() - state.answeredAt;
        const { rack, slot } = state.options;
        const accelerators = acceleratorStates(state.ledger, { now: context.clock.now(), bound });
        message.reply({
            load: {
                rack,
                slot,
                accelerators,
                ready: state.ready && silentMs < UNREADY_AFTER_SILENCE_MS,
                recentOutcomes,
            },
            usage: usageCounters(state.meter),
            parts: state.parts.size,
        });
    },
};

/** Drops ended parts and their usage meters after the retention time. */
function forgetEnded(state: WorkerState, context: WorkerContext): void {
    for (const [id, { endedAt }] of state.ended) {
        if (context.clock.now() - endedAt > ENDED_RETENTION_MS) {
            state.ended.delete(id);
            state.meter = closeTask(state.meter, id);
        }
    }
}
