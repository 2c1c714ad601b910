import { sameBoot } from "@tanagerdeck/decisions/job/progressTypes";
import type { LeaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import type { RunId, StartRefusal } from "@tanagerdeck/decisions/worker/workerReport";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { SchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import type { Handlers, TaskContext } from "@tanagerdeck/runtime/task/task";
import {
    findCloseReason,
    isRenewalGranted,
    workerCondition,
    workerNow,
    type AgentState,
    type StartAttempt,
} from "./agentState.ts";
import type { AgentMessage } from "./agentTypes.ts";
import { startLimitMs, startPermission } from "./evacuationCheck.ts";
import { addStrayStart, openStrayStarts } from "./strayStarts.ts";
import { callResult } from "./callResult.ts";
import { noteStart } from "./workerCrash.ts";
import type { WorkerPort } from "./workerPort.ts";

/** Delay before a start or stop that could not be sent or got no answer is tried again. */
const CALL_RETRY_MS = 150;

type Context = TaskContext<AgentMessage>;

/** What the handlers of starts and stops need. */
export interface OrderHandlerOptions {
    port: WorkerPort;
    times: LeaseTimes;
    evacuationLimitMs: number | undefined;
    clock: Clock;
    log: Log;
    metrics: SchedulerMetrics;
    publishChange: (state: AgentState) => void;
}

/** Handlers of the calls that carry out the leader's orders. */
export type OrderHandlers = Pick<
    Handlers<AgentState, AgentMessage>,
    "call-start" | "start-answered" | "call-stop" | "stop-answered" | "call-stray" | "stray-answered"
>;

/** Creates the handlers of starts and stops. */
export function createOrderHandlers(options: OrderHandlerOptions): OrderHandlers {
    const { port, times, evacuationLimitMs, clock, log, metrics, publishChange } = options;

    function sendStart(state: AgentState, key: string, attempt: StartAttempt, context: Context): void {
        const { order } = attempt;
        const workerClock = workerNow(state, clock);
        if (!state.worker) {
            // Waits for the worker's first heartbeat: the boot cannot be told from its id, as a new boot may reuse it.
            context.after(CALL_RETRY_MS, { kind: "call-start", key });
            return;
        }
        if (!sameBoot(state.worker.boot, order.boot)) {
            handleRefusal(state, attempt, "other-boot");
            return;
        }
        if (workerCondition(state) === "draining") {
            handleRefusal(state, attempt, "draining");
            return;
        }
        const permission = startPermission(state, evacuationLimitMs, clock);
        if (permission === "evacuated") {
            handleRefusal(state, attempt, "evacuated");
            return;
        }
        const isOrderStale = clock.now() - attempt.listedAt > times.startMs;
        const mustWait = permission === "wait" || isOrderStale || !isRenewalGranted(state, clock);
        if (workerClock === undefined || mustWait) {
            context.after(CALL_RETRY_MS, { kind: "call-start", key });
            return;
        }
        attempt.state = "calling";
        state.renewalSentAt = clock.now();
        const { bornMs } = state;
        const { task, run, spec, saved } = order;
        const deadlineMs = Math.floor(
            workerClock + Math.min(times.startMs, startLimitMs(state, evacuationLimitMs, clock)),
        );
        context.start(
            () => port.start({ id: order.boot.id, fence: state.term, task, run, spec, saved, deadlineMs }),
            result => ({ kind: "start-answered", key, bornMs, result }),
        );
    }

    function hasEnded({ ended }: AgentState, { task, run }: RunId): boolean {
        return ended.some(row => row.task === task && row.run === run);
    }

    function handleRefusal(state: AgentState, attempt: StartAttempt, reason: StartRefusal): void {
        attempt.state = "refused";
        attempt.reason = reason;
        metrics.startRefused(reason);
        log.info("A start was refused.", { task: attempt.order.task, run: attempt.order.run, reason });
        publishChange(state);
    }

    return {
        "call-start"(state, { key }, context) {
            const attempt = state.starts.get(key);
            if (attempt?.state !== "idle") {
                return;
            }
            if (state.running.has(key) || hasEnded(state, attempt.order)) {
                attempt.state = "started";
                publishChange(state);
                return;
            }
            sendStart(state, key, attempt, context);
        },
        "start-answered"(state, { key, bornMs, result }, context) {
            metrics.workerCalled("start", callResult(result));
            const attempt = state.starts.get(key);
            if (!attempt || bornMs !== state.bornMs) {
                return;
            }
            result.caseOf({
                Left(problem) {
                    if (problem.verdict !== "not-run") {
                        addStrayStart(state, attempt.order, clock.now());
                        noteStart(state, key, clock.now());
                    }
                    attempt.state = "idle";
                    log.warn("A start got no answer.", {
                        task: attempt.order.task,
                        run: attempt.order.run,
                    });
                    context.after(CALL_RETRY_MS, { kind: "call-start", key });
                },
                Right(reply) {
                    if (reply.kind === "refused") {
                        handleRefusal(state, attempt, reply.reason);
                        return;
                    }
                    attempt.state = "started";
                    const { task, run, saved } = attempt.order;
                    if (!hasEnded(state, attempt.order)) {
                        noteStart(state, key, clock.now());
                        const sinceClockMs = reply.clockMs;
                        state.running.set(key, { task, run, saved, percent: 0, sinceClockMs });
                    }
                    publishChange(state);
                },
            });
        },
        "call-stop"(state, { key }, context) {
            const attempt = state.stops.get(key);
            if (attempt?.state !== "idle") {
                return;
            }
            if (findCloseReason(state, attempt, clock, times)) {
                attempt.state = "closed";
                publishChange(state);
                return;
            }
            const { boot, task, run } = attempt.order;
            const { bornMs } = state;
            attempt.state = "calling";
            context.start(
                () => port.stop({ id: boot.id, fence: state.term, task, run }),
                result => ({ kind: "stop-answered", key, bornMs, result }),
            );
        },
        "stop-answered"(state, { key, bornMs, result }, context) {
            metrics.workerCalled("stop", callResult(result));
            const attempt = state.stops.get(key);
            if (!attempt) {
                return;
            }
            if (bornMs !== state.bornMs) {
                // The former boot may have answered; the present one must be told to refuse the run as well.
                attempt.state = "idle";
                context.post({ kind: "call-stop", key });
                return;
            }
            const reply = result.toMaybe().extract();
            if (reply?.kind === "accepted") {
                attempt.state = "answered";
                attempt.answeredClockMs = reply.clockMs;
                context.post({ kind: "hold", waitMs: 0 });
                return;
            }
            if (reply?.reason === "other-boot") {
                attempt.state = "other-boot";
                publishChange(state);
                return;
            }
            attempt.state = "idle";
            context.after(CALL_RETRY_MS, { kind: "call-stop", key });
        },
        "call-stray"(state, { key, bornMs }, context) {
            const stray = state.strayStarts.get(key);
            if (!stray || bornMs !== state.bornMs) {
                return;
            }
            const { task, run, boot } = stray.order;
            context.start(
                () => port.stop({ id: boot.id, fence: state.term, task, run }),
                result => ({ kind: "stray-answered", key, bornMs, result }),
            );
        },
        "stray-answered"(_state, { key, bornMs, result }, context) {
            metrics.workerCalled("stop", callResult(result));
            if (result.isLeft()) {
                context.after(CALL_RETRY_MS, { kind: "call-stray", key, bornMs });
            }
        },
    };
}

/** Refuses the starts that wait to be sent, if the call just received says that the worker's zone is evacuated. */
export function refuseEvacuatedStarts(
    state: AgentState,
    evacuationLimitMs: number | undefined,
    context: Context,
): void {
    if (startPermission(state, evacuationLimitMs, context.clock) !== "evacuated") {
        return;
    }
    for (const [key, attempt] of state.starts) {
        if (attempt.state === "idle") {
            context.post({ kind: "call-start", key });
        }
    }
}

/** Sends the listed stops that the present boot has not been told of. */
export function sendStops(state: AgentState, context: Context): void {
    for (const [key, attempt] of state.stops) {
        if (attempt.state === "idle") {
            context.post({ kind: "call-stop", key });
        }
    }
}

/** Stops the runs that the present boot may start late, as a former boot with its id has not answered their starts. */
export function stopStrayRuns(state: AgentState, context: Context): void {
    for (const key of openStrayStarts(state, context.clock.now())) {
        context.post({ kind: "call-stray", key, bornMs: state.bornMs });
    }
}
