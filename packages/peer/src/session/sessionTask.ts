import type { Either } from "purify-ts/Either";
import type {
    EvacuationNotice,
    Stamp,
    StartOrder,
    StopOrder,
    SyncReply,
    SyncReport,
    SyncRequest,
} from "@tanagerdeck/decisions/worker/workerReport";
import { pauseAfterReportMs } from "@tanagerdeck/decisions/worker/reportPace";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import { startTask, type Reply, type Task, type TaskContext } from "@tanagerdeck/runtime/task/task";

/** Orders of the leader for one agent, sent with each sync. */
export interface AgentOrders {
    starts: StartOrder[];
    stops: StopOrder[];
    recorded: SyncRequest["recorded"];
}

/** Messages of a session's task. */
export type SessionMessage =
    | { kind: "order"; orders: AgentOrders }
    /** Whether the leader may grant leases. */
    | { kind: "grants"; isAllowed: boolean }
    /** Stops granting leases to this agent until `release`; reports that led to a grant were passed on before the reply. */
    | { kind: "withhold"; reply: Reply<void> }
    | { kind: "release" }
    | { kind: "address"; address: string }
    | { kind: "call" }
    | { kind: "answered"; address: string; result: Either<Failure, SyncReply> };

/** Dependencies of a session. */
export interface SessionOptions {
    agent: string;
    address: string;
    term: number;
    grantMs: number;
    clock: Clock;
    log: Log;
    sync: (address: string, request: SyncRequest, timeoutMs: number) => Promise<Either<Failure, SyncReply>>;
    /**
     * Returns the evacuated availability zones and the age of that knowledge for each call; undefined while nothing is
     * known. Absent where the deployment does not use evacuations.
     */
    evacuation?: (() => { zones: string[]; ageMs: number } | undefined) | undefined;
    /** Called with each report, in the order of the agent's versions. */
    reported: (report: SyncReport) => void;
    /** Called when another leader's term is newer. */
    outdated: (term: number) => void;
}

interface SessionState {
    address: string;
    orders: AgentOrders;
    mayGrant: boolean;
    /** Whether the agent's absence is recorded or being recorded, so that it gets no grant. */
    isWithheld: boolean;
    sequence: number;
    inFlight: number;
    stamp: Stamp | undefined;
    seenVersion: number;
    failures: number;
}

/** Time for which the agent may hold a call until its report changes; unsettled orders are repeated sooner. */
const MAX_WAIT_MS = 1_000;
const UNSETTLED_WAIT_MS = 300;
/** Added to the wait time for the network round trip. */
const ROUND_TRIP_ALLOWANCE_MS = 500;
const RETRY_MS = 150;

/** Starts the task that sends the leader's orders to one agent and receives its reports. */
export function startSessionTask(options: SessionOptions): Task<SessionMessage> {
    const { agent, term, grantMs, clock, log, sync, evacuation, reported, outdated } = options;

    function evacuationNotice(stamp: Stamp | undefined): EvacuationNotice | undefined {
        const known = stamp && evacuation?.();
        return known && { zones: known.zones, stamp, ageMs: known.ageMs };
    }

    function call(state: SessionState, context: TaskContext<SessionMessage>): void {
        const { orders, address, stamp } = state;
        const hasUnsettledOrders = orders.starts.length > 0 || orders.stops.length > 0;
        const waitMs = hasUnsettledOrders ? UNSETTLED_WAIT_MS : MAX_WAIT_MS;
        const sequence = ++state.sequence;
        const request: SyncRequest = {
            term,
            sequence,
            grant: state.mayGrant && !state.isWithheld && stamp ? { stamp, ms: grantMs } : undefined,
            evacuation: evacuationNotice(stamp),
            recorded: orders.recorded,
            starts: orders.starts,
            stops: orders.stops,
            seenVersion: state.seenVersion,
            // A grant needs a stamp from a report, so the first report is requested without waiting.
            waitMs: stamp ? waitMs : 0,
        };
        state.inFlight += 1;
        context.start(
            () => sync(address, request, waitMs + ROUND_TRIP_ALLOWANCE_MS),
            result => ({ kind: "answered", address, result }),
        );
    }

    function acceptReport(state: SessionState, report: SyncReport): void {
        const { stamp } = report;
        const isNewIncarnation = stamp.incarnation !== state.stamp?.incarnation;
        if (isNewIncarnation) {
            state.seenVersion = 0;
            state.stamp = undefined;
        }
        if (report.version < state.seenVersion) {
            return;
        }
        state.seenVersion = report.version;
        if (!state.stamp || stamp.now > state.stamp.now) {
            state.stamp = stamp;
        }
        reported(report);
    }

    const task = startTask<SessionState, SessionMessage>({
        name: `session ${agent}`,
        clock,
        reportError: (name, error) => log.error("A handler failed.", { task: name, error: String(error) }),
        state: {
            address: options.address,
            orders: { starts: [], stops: [], recorded: undefined },
            mayGrant: true,
            isWithheld: false,
            sequence: 0,
            inFlight: 0,
            stamp: undefined,
            seenVersion: 0,
            failures: 0,
        },
        handlers: {
            order(state, { orders }, context) {
                state.orders = orders;
                call(state, context);
            },
            grants(state, { isAllowed }) {
                state.mayGrant = isAllowed;
            },
            withhold(state, { reply }) {
                state.isWithheld = true;
                reply();
            },
            release(state, _message, context) {
                if (state.isWithheld) {
                    state.isWithheld = false;
                    call(state, context);
                }
            },
            address(state, { address }, context) {
                if (state.address !== address) {
                    state.address = address;
                    call(state, context);
                }
            },
            call(state, _message, context) {
                if (state.inFlight === 0) {
                    call(state, context);
                }
            },
            answered(state, { address, result }, context) {
                state.inFlight -= 1;
                result.caseOf({
                    Left(problem) {
                        if (address === state.address) {
                            state.failures += 1;
                        }
                        if (state.failures === 1) {
                            log.warn("An agent does not answer.", { agent, detail: problem.detail });
                        }
                        context.after(RETRY_MS, { kind: "call" });
                    },
                    Right(reply) {
                        if (state.failures > 0) {
                            log.info("An agent answers again.", { agent, failures: state.failures });
                            state.failures = 0;
                        }
                        if (reply.kind === "stale") {
                            if (reply.term > term) {
                                outdated(reply.term);
                                return;
                            }
                            // A later call of this session reached the agent before this one.
                            context.after(RETRY_MS, { kind: "call" });
                            return;
                        }
                        acceptReport(state, reply.report);
                        const { running, ended } = reply.report;
                        const pauseMs = pauseAfterReportMs(running.length + ended.length);
                        if (pauseMs > 0) {
                            context.after(pauseMs, { kind: "call" });
                        } else {
                            context.post({ kind: "call" });
                        }
                    },
                });
            },
        },
    });
    task.send({ kind: "call" });
    return task;
}
