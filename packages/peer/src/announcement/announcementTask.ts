import type { Either } from "purify-ts/Either";
import type { Report, ReportReply } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock, TimerStop } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import {
    startTask,
    type Handlers,
    type Reply,
    type Task,
    type TaskContext,
} from "@tanagerdeck/runtime/task/task";

/** An entry that no reply has listed for this time gets no more reports, unless it is a seed. */
const ENTRY_RETENTION_MS = 60_000;
/** Each interval is shortened by a random part of up to 10 %. */
const INTERVAL_JITTER = 0.1;

/** Messages that the announcement task handles. */
export type AnnouncementMessage =
    /** Sends a report to every entry now, such as after the serving state changed. */
    | { kind: "announce" }
    /** A report that was sent at `askedAt` got a reply or failed. */
    | { kind: "replied"; entry: string; askedAt: number; result: Either<Failure, ReportReply> }
    /** Sends the final report; `reply` is called once the calls to all entries have succeeded or failed. */
    | { kind: "leave"; reply: Reply<void> };

/** Settings and dependencies of the announcement task. */
export interface AnnouncementOptions {
    /** Addresses of the entries that the agent knows at its start. */
    seeds: string[];
    /** Interval until an entry's reply sets another one. */
    reportIntervalMs: number;
    clock: Clock;
    log: Log;
    random: () => number;
    /** Builds the current report. */
    report: () => Promise<Report>;
    send: (entry: string, report: Report) => Promise<Either<Failure, ReportReply>>;
    /** Called with each reply of an entry; `askedAt` is the monotonic time at which the report was sent. */
    onReply: (entry: string, reply: ReportReply, askedAt: number) => void;
}

interface State {
    /** Monotonic time at which a reply last listed each entry; seeds are always kept. */
    entries: Map<string, number>;
    /** Entries with a call in flight; `report-again` if another report is due as soon as it ends. */
    inFlight: Map<string, "reported" | "report-again">;
    intervalMs: number;
    stopTimer: TimerStop;
    /** Reply to a `leave` message that is still in progress. */
    leaveReply: Reply<void> | undefined;
    options: AnnouncementOptions;
}

type Context = TaskContext<AnnouncementMessage>;

/** Starts the task that periodically sends an agent's report to all entries that it knows. */
export function startAnnouncementTask(options: AnnouncementOptions): Task<AnnouncementMessage> {
    const now = options.clock.now();
    const task = startTask<State, AnnouncementMessage>({
        name: "announcement",
        state: {
            entries: new Map(options.seeds.map(seed => [seed, now])),
            inFlight: new Map(),
            intervalMs: options.reportIntervalMs,
            stopTimer: () => undefined,
            leaveReply: undefined,
            options,
        },
        handlers,
        clock: options.clock,
        reportError: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
    task.send({ kind: "announce" });
    return task;
}

const handlers: Handlers<State, AnnouncementMessage> = {
    announce(state, _message, context) {
        removeUnlistedEntries(state, context.clock.now());
        for (const entry of state.entries.keys()) {
            if (state.inFlight.has(entry)) {
                state.inFlight.set(entry, "report-again");
                continue;
            }
            sendReport(state, entry, context);
        }
        scheduleNext(state, context);
    },
    replied(state, { entry, askedAt, result }, context) {
        const { log } = state.options;
        const sendAgain = state.inFlight.get(entry) === "report-again";
        state.inFlight.delete(entry);
        result.ifLeft(problem => log.warn("A report to an entry failed.", { entry, detail: problem.detail }));
        result.ifRight(reply => applyReply(state, entry, reply, askedAt, context));
        if (sendAgain && state.entries.has(entry)) {
            sendReport(state, entry, context);
        }
        completeLeave(state);
    },
    leave(state, { reply }, context) {
        state.leaveReply = reply;
        state.stopTimer();
        for (const entry of state.entries.keys()) {
            if (state.inFlight.has(entry)) {
                state.inFlight.set(entry, "report-again");
                continue;
            }
            sendReport(state, entry, context);
        }
        completeLeave(state);
    },
};

function sendReport(state: State, entry: string, context: Context): void {
    const { options } = state;
    const askedAt = context.clock.now();
    state.inFlight.set(entry, "reported");
    context.start(
        async () => options.send(entry, await options.report()),
        result => ({ kind: "replied", entry, askedAt, result }),
    );
}

function applyReply(
    state: State,
    entry: string,
    reply: ReportReply,
    askedAt: number,
    context: Context,
): void {
    if (reply.refusal) {
        state.options.log.error("An entry refused the report.", { entry, reason: reply.refusal });
    }
    for (const address of reply.entries) {
        const isKnown = state.entries.has(address);
        state.entries.set(address, context.clock.now());
        if (!isKnown && !state.leaveReply) {
            sendReport(state, address, context);
        }
    }
    state.intervalMs = reply.reportIntervalMs;
    state.options.onReply(entry, reply, askedAt);
}

function scheduleNext(state: State, context: Context): void {
    state.stopTimer();
    const delay = state.intervalMs * (1 - INTERVAL_JITTER * state.options.random());
    state.stopTimer = context.after(delay, { kind: "announce" });
}

function removeUnlistedEntries(state: State, now: number): void {
    for (const [entry, listedAt] of state.entries) {
        if (now - listedAt > ENTRY_RETENTION_MS && !state.options.seeds.includes(entry)) {
            state.entries.delete(entry);
        }
    }
}

function completeLeave(state: State): void {
    if (state.leaveReply && state.inFlight.size === 0) {
        state.leaveReply(undefined);
        state.leaveReply = undefined;
    }
}
