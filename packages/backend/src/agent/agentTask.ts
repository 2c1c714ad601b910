import { sameBoot } from "@tanagerdeck/decisions/job/progressTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { SyncRequest } from "@tanagerdeck/decisions/worker/workerReport";
import { startTask, type Task, type TaskContext } from "@tanagerdeck/runtime/task/task";
import { mergeStartOrders, mergeStopOrders } from "./agentOrders.ts";
import { applyRunLists, buildReport } from "./agentReport.ts";
import {
    isFormerBoot,
    resetForBoot,
    findCloseReason,
    workerCondition,
    createAgentState,
    isRenewalGranted,
    SILENT_AFTER_HOLDS,
    workerNow,
    type AgentState,
    type StopAttempt,
} from "./agentState.ts";
import type { AgentMessage, AgentOptions } from "./agentTypes.ts";
import { createBootHandlers } from "./bootHandlers.ts";
import { createOrderHandlers, refuseEvacuatedStarts, sendStops, stopStrayRuns } from "./orderHandlers.ts";
import { callResult } from "./callResult.ts";

/**
 * Longest time for which the worker may delay the answer to a hold until a task ends. A hold is the call that renews the
 * worker's lease, acknowledges recorded ends and returns the worker's lists of running and ended tasks.
 */
const HOLD_WAIT_MS = 1_000;
/** Shortest time between two holds: the worker answers a hold at once while its list has ends that are not recorded. */
const MIN_HOLD_INTERVAL_MS = 200;
/** Delay before another hold reads the worker's lists again to confirm a stop. */
const STOP_CHECK_DELAY_MS = 10;

type Context = TaskContext<AgentMessage>;

/**
 * Starts the task that controls the worker beside this process on behalf of the leader: it renews the worker's lease
 * within the leader's grant, executes listed orders, and reports running and ended tasks.
 */
export function startAgentTask(options: AgentOptions): Task<AgentMessage> {
    const { port, service, times, evacuationLimitMs, incarnation, clock, log, metrics } = options;

    function publishChange(state: AgentState): void {
        state.version += 1;
        answerPoll(state);
    }

    function answerPoll(state: AgentState): void {
        const { poll } = state;
        if (!poll) {
            return;
        }
        poll.stopTimer();
        state.poll = undefined;
        poll.reply({ kind: "report", report: buildReport(state, { clock, times, log }) });
    }

    function applyOrders(state: AgentState, { starts, stops }: SyncRequest, context: Context): void {
        for (const key of mergeStartOrders(state, starts, clock.now())) {
            context.post({ kind: "call-start", key });
        }
        const isClosed = (attempt: StopAttempt) =>
            findCloseReason(state, attempt, clock, times) !== undefined;
        for (const key of mergeStopOrders(state, stops, isClosed)) {
            context.post({ kind: "call-stop", key });
        }
    }

    function sendHold(state: AgentState, waitMs: number, context: Context): void {
        const workerClock = workerNow(state, clock);
        const canRenew =
            isRenewalGranted(state, clock) &&
            state.consecutiveUnansweredHolds < SILENT_AFTER_HOLDS &&
            workerClock !== undefined;
        if (canRenew) {
            state.renewalSentAt = clock.now();
        }
        const sentAt = clock.now();
        const { recorded, bornMs } = state;
        state.holdsInFlight += 1;
        context.start(
            () =>
                port.hold({
                    id: state.worker?.boot.id,
                    fence: state.term,
                    recorded,
                    deadlineMs: canRenew ? Math.floor(workerClock + times.leaseMs) : undefined,
                    waitMs,
                }),
            result => ({ kind: "held", sentAt, bornMs, recorded, result }),
        );
    }

    function scheduleHold(state: AgentState, delayMs: number, context: Context): void {
        state.cancelNextHold?.();
        state.cancelNextHold = context.after(delayMs, { kind: "hold", waitMs: HOLD_WAIT_MS });
    }

    /** Schedules a hold if the lists are not newer than the answer to a stop, as only newer lists can confirm the stop. */
    function scheduleStopCheck(state: AgentState, context: Context): void {
        for (const attempt of state.stops.values()) {
            if (attempt.state === "answered" && attempt.answeredClockMs >= state.listsClockMs) {
                context.after(STOP_CHECK_DELAY_MS, { kind: "hold", waitMs: 0 });
                return;
            }
        }
    }

    function handleUnansweredHold(state: AgentState, problem: Failure): void {
        const before = workerCondition(state);
        state.consecutiveUnansweredHolds += 1;
        state.unansweredSince ??= clock.now();
        state.isRefusingConnections = problem.verdict === "not-run";
        const condition = workerCondition(state);
        if (condition !== before) {
            log.warn("The worker does not answer.", { condition, detail: problem.detail });
        }
        publishChange(state);
    }

    const bootHandlers = createBootHandlers({
        port,
        service,
        clock,
        log,
        publishChange,
        adopted(state, context) {
            sendStops(state, context);
            stopStrayRuns(state, context);
            scheduleHold(state, 0, context);
        },
    });

    return startTask<AgentState, AgentMessage>({
        name: "agent",
        clock,
        reportError: (name, error) => log.error("A handler failed.", { task: name, error: String(error) }),
        state: createAgentState(incarnation, clock.now()),
        handlers: {
            ...bootHandlers,
            ...createOrderHandlers({ port, times, evacuationLimitMs, clock, log, metrics, publishChange }),
            sync(state, { request, reply }, context) {
                const isStale =
                    request.term < state.term ||
                    (request.term === state.term && request.sequence <= state.sequence);
                if (isStale) {
                    reply({ kind: "stale", term: state.term });
                    return;
                }
                answerPoll(state);
                if (request.term > state.term) {
                    log.info("A leader has taken over.", { term: request.term, before: state.term });
                }
                const isFirstSync = state.term === 0;
                state.term = request.term;
                state.sequence = request.sequence;
                state.evacuation = request.evacuation;
                if (request.grant?.stamp.incarnation === state.incarnation) {
                    const wasGranted = isRenewalGranted(state, clock);
                    state.grant = request.grant;
                    if (!wasGranted) {
                        scheduleHold(state, 0, context);
                    }
                }
                const { recorded } = request;
                if (
                    recorded &&
                    state.worker &&
                    sameBoot(recorded.boot, state.worker.boot) &&
                    recorded.number > state.recorded
                ) {
                    state.recorded = recorded.number;
                    state.ended = state.ended.filter(row => row.number > state.recorded);
                    // With the acknowledged ends dropped, the worker answers at the next end instead of at once.
                    scheduleHold(state, 0, context);
                }
                applyOrders(state, request, context);
                refuseEvacuatedStarts(state, evacuationLimitMs, context);
                if (isFirstSync) {
                    scheduleHold(state, 0, context);
                    for (const key of state.claims.keys()) {
                        context.post({ kind: "confirm", key });
                    }
                }
                const stopTimer = context.after(request.waitMs, { kind: "poll-ended", reply });
                state.poll = { seenVersion: request.seenVersion, reply, stopTimer };
                if (request.seenVersion < state.version) {
                    answerPoll(state);
                }
            },
            // The poll is the leader's pending sync request, answered at the next change or after its `waitMs`.
            "poll-ended"(state, { reply }) {
                if (state.poll?.reply === reply) {
                    answerPoll(state);
                }
            },
            hold(state, { waitMs }, context) {
                if (state.term === 0 || (waitMs > 0 && state.holdsInFlight > 0)) {
                    return;
                }
                sendHold(state, waitMs, context);
            },
            held(state, { sentAt, bornMs, recorded, result }, context) {
                state.holdsInFlight -= 1;
                metrics.workerCalled("hold", callResult(result));
                const durationMs = clock.now() - sentAt;
                const hasNewAcknowledgement = state.recorded > recorded;
                const pauseMs = hasNewAcknowledgement ? 0 : MIN_HOLD_INTERVAL_MS - durationMs;
                scheduleHold(state, Math.max(0, pauseMs), context);
                result.caseOf({
                    Left: problem => handleUnansweredHold(state, problem),
                    Right(lists) {
                        if (lists.kind === "refused") {
                            log.info("The worker refused a hold.", {
                                reason: lists.reason,
                                term: state.term,
                            });
                            return;
                        }
                        const hadUnansweredHolds = state.consecutiveUnansweredHolds > 0;
                        const before = workerCondition(state);
                        state.consecutiveUnansweredHolds = 0;
                        state.isRefusingConnections = false;
                        if (isFormerBoot(state, lists.bornMs, bornMs)) {
                            return;
                        }
                        if (lists.bornMs !== state.bornMs) {
                            resetForBoot(state, lists.bornMs, clock.now());
                            sendStops(state, context);
                        }
                        state.unansweredSince = undefined;
                        if (state.worker && state.worker.boot.bornMs !== lists.bornMs) {
                            // Only the start time of the new boot is known until its first heartbeat.
                            state.worker = undefined;
                            publishChange(state);
                        }
                        if (applyRunLists(state, lists, clock.now())) {
                            publishChange(state);
                        }
                        scheduleStopCheck(state, context);
                        if (hadUnansweredHolds && workerCondition(state) !== before) {
                            log.info("The worker answers again.", { condition: workerCondition(state) });
                            publishChange(state);
                        }
                        if (state.stops.size > 0) {
                            // The new lists may close a stopped run, which is determined when the report is built.
                            publishChange(state);
                        }
                    },
                });
            },
            // Renews the lease a last time, so that tasks keep running while this process restarts.
            "last-hold"(state, { reply }, context) {
                state.poll?.stopTimer();
                answerPoll(state);
                const { bornMs, recorded } = state;
                const workerClock = workerNow(state, clock);
                if (!isRenewalGranted(state, clock) || workerClock === undefined) {
                    reply();
                    return;
                }
                context.start(
                    async () => {
                        const held = await port.hold({
                            id: state.worker?.boot.id,
                            fence: state.term,
                            recorded,
                            deadlineMs: Math.floor(workerClock + times.leaseMs),
                            waitMs: 0,
                        });
                        reply();
                        return held;
                    },
                    result => ({ kind: "held", sentAt: clock.now(), bornMs, recorded, result }),
                );
            },
        },
    });
}
