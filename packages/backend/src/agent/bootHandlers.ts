import { sameBoot, type Boot } from "@tanagerdeck/decisions/job/progressTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Handlers, TaskContext } from "@tanagerdeck/runtime/task/task";
import { applyRunLists } from "./agentReport.ts";
import {
    adoptBoot,
    applyHeartbeat,
    bootOf,
    isFormerBoot,
    workerCondition,
    type AgentState,
    type KnownWorker,
} from "./agentState.ts";
import type { AgentMessage } from "./agentTypes.ts";
import { addClaim, claimKey, dropClaims, presenceOf } from "./bootClaims.ts";
import type { WorkerPort } from "./workerPort.ts";

/** Delay before a boot that could not be confirmed is checked again. */
const CONFIRM_RETRY_MS = 150;
/** Interval at which a worker that says that it leaves is checked. */
const LEAVE_CHECK_INTERVAL_MS = 50;
/** A worker that still answers this long after its message that it leaves did not send it. */
const LEAVE_TIMEOUT_MS = 2_000;

type Context = TaskContext<AgentMessage>;

/** What the handlers of messages that speak for the worker need. */
export interface BootHandlerOptions {
    port: WorkerPort;
    service: () => string | undefined;
    clock: Clock;
    log: Log;
    publishChange: (state: AgentState) => void;
    /** Called when another boot has become the known one. */
    adopted: (state: AgentState, context: Context) => void;
}

/**
 * Creates the handlers of heartbeats and leave messages. Both may be late or come from another writer, so a boot becomes
 * the known one, or counts as having left, only once the worker itself shows it.
 */
export function createBootHandlers(
    options: BootHandlerOptions,
): Pick<
    Handlers<AgentState, AgentMessage>,
    "heartbeat" | "confirm" | "confirmed" | "left" | "check-leave" | "leave-checked"
> {
    const { port, service, clock, log, publishChange, adopted } = options;

    /** Reads the lists of the worker if it is this boot, without renewing its lease or dropping ends. */
    function readLists(state: AgentState, { id }: Boot): ReturnType<typeof port.hold> {
        return port.hold({ id, fence: state.term, recorded: 0, waitMs: 0 });
    }

    function recordLeave(state: AgentState, worker: KnownWorker): void {
        worker.hasLeft = true;
        log.info("The worker has left.", { worker: worker.boot.id });
        publishChange(state);
    }

    return {
        heartbeat(state, { heartbeat, reply }, context) {
            reply();
            const boot = bootOf(heartbeat);
            if (heartbeat.service !== (service() ?? heartbeat.service)) {
                const fields = { worker: boot.id, bornMs: boot.bornMs, service: heartbeat.service };
                log.warn("A heartbeat names another service than the worker's; it is ignored.", fields);
                return;
            }
            if (state.worker && sameBoot(state.worker.boot, boot)) {
                const before = workerCondition(state);
                applyHeartbeat(state.worker, heartbeat);
                const condition = workerCondition(state);
                if (condition !== before) {
                    log.info("The worker's condition was updated.", { worker: boot.id, condition });
                    publishChange(state);
                }
            } else if (addClaim(state, heartbeat)) {
                context.post({ kind: "confirm", key: claimKey(boot) });
            }
        },
        // A heartbeat may be late or come from another writer, so a boot counts only once the worker answers as it.
        confirm(state, { key }, context) {
            const claim = state.claims.get(key);
            if (claim && state.term > 0) {
                const { bornMs } = state;
                context.start(
                    () => readLists(state, bootOf(claim)),
                    result => ({ kind: "confirmed", key, bornMs, result }),
                );
            }
        },
        confirmed(state, { key, bornMs, result }, context) {
            const claim = state.claims.get(key);
            if (!claim) {
                return;
            }
            const boot = bootOf(claim);
            const presence = presenceOf(boot, result);
            if (presence === "unreachable" || presence === "unknown") {
                context.after(CONFIRM_RETRY_MS, { kind: "confirm", key });
                return;
            }
            state.claims.delete(key);
            const fields = { worker: boot.id, bornMs: boot.bornMs, service: claim.service };
            if (presence === "absent" || isFormerBoot(state, boot.bornMs, bornMs)) {
                log.warn("A heartbeat names a boot that the worker is not; it is ignored.", fields);
                return;
            }
            adoptBoot(state, claim, clock.now());
            // The leader takes a described worker's lists as complete, and the next hold may wait a second for an end.
            result.ifRight(lists => lists.kind === "lists" && applyRunLists(state, lists, clock.now()));
            log.info("A new boot of the worker was detected.", fields);
            adopted(state, context);
            const condition = workerCondition(state);
            log.info("The worker's condition was updated.", { worker: boot.id, condition });
            publishChange(state);
        },
        left(state, { id, bornMs, reply }, context) {
            reply();
            dropClaims(state, id, bornMs);
            const { worker } = state;
            if (!worker || worker.boot.id !== id || worker.hasLeft) {
                return;
            }
            if (bornMs !== undefined && bornMs !== worker.boot.bornMs) {
                log.warn("A former boot of the worker says that it leaves; it is ignored.", {
                    worker: id,
                    bornMs,
                });
                return;
            }
            if (bornMs !== undefined) {
                recordLeave(state, worker);
            } else if (!worker.isLeaving) {
                // A later boot may have the same id, and only the worker can tell which of them leaves.
                worker.isLeaving = true;
                log.info("The worker says that it leaves.", { worker: id });
                publishChange(state);
                context.post({ kind: "check-leave", boot: worker.boot, since: clock.now() });
            }
        },
        "check-leave"(state, { boot, since }, context) {
            context.start(
                () => readLists(state, boot),
                result => ({ kind: "leave-checked", boot, since, result }),
            );
        },
        "leave-checked"(state, { boot, since, result }, context) {
            const { worker } = state;
            if (!worker || !sameBoot(worker.boot, boot) || worker.hasLeft) {
                return;
            }
            const presence = presenceOf(boot, result);
            if (presence === "unreachable" || presence === "absent") {
                recordLeave(state, worker);
            } else if (presence === "present" && clock.now() - since >= LEAVE_TIMEOUT_MS) {
                worker.isLeaving = false;
                log.warn("The worker still answers after a message that it leaves; it is ignored.", {
                    worker: boot.id,
                });
                publishChange(state);
            } else {
                context.after(LEAVE_CHECK_INTERVAL_MS, { kind: "check-leave", boot, since });
            }
        },
    };
}
