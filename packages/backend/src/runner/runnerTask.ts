import type { RunnerLoad } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { Progress, Request } from "@tanagerdeck/decisions/request/requestTypes";
import { failure, type Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import {
    startTask,
    type Handlers,
    type Reply,
    type Task,
    type TaskContext,
} from "@tanagerdeck/runtime/task/task";
import type { RunRequest } from "./runnerClient.ts";

/** A long poll is answered with `pending` after this time. */
export const POLL_WINDOW_MS = 1_500;

/** Messages of the runner task. */
export type RunnerMessage =
    | { kind: "submit"; request: Request; reply: Reply<Progress> }
    | { kind: "result"; id: string; clientAccount: string; reply: Reply<Progress> }
    | { kind: "settle"; id: string; clientAccount: string; reply: Reply<Progress> }
    | { kind: "ran"; id: string; outcome: Outcome }
    | { kind: "poll-end"; id: string; reply: Reply<Progress> }
    | { kind: "load"; reply: Reply<RunnerLoad> }
    | { kind: "drain" };

/** Dependencies of the runner task. */
export interface RunnerOptions {
    slots: number;
    clock: Clock;
    log: Log;
    run: RunRequest;
}

interface Entry {
    request: Request | undefined;
    state: "waiting" | "running" | "done";
    outcome: Outcome | undefined;
    polls: Set<Reply<Progress>>;
}

interface State {
    requests: Map<string, Entry>;
    waiting: string[];
    running: number;
    draining: boolean;
    options: RunnerOptions;
}

/** Starts the task that owns the request ledger and the slots of one runner. */
export function startRunnerTask(options: RunnerOptions): Task<RunnerMessage> {
    return startTask<State, RunnerMessage>({
        name: "runner",
        state: { requests: new Map(), waiting: [], running: 0, draining: false, options },
        handlers,
        clock: options.clock,
        report: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
}

const handlers: Handlers<State, RunnerMessage> = {
    submit(state, message, context) {
        const { request, reply } = message;
        const known = state.requests.get(request.id);
        if (known) {
            poll(known, request.id, reply, context);
            return;
        }
        if (state.draining) {
            reply({
                kind: "done",
                outcome: failure("not-run", "draining", "The backend server is draining."),
            });
            return;
        }
        const entry: Entry = { request, state: "waiting", outcome: undefined, polls: new Set() };
        state.requests.set(request.id, entry);
        state.waiting.push(request.id);
        poll(entry, request.id, reply, context);
        startWaiting(state, context);
    },
    result(state, message, context) {
        const known = state.requests.get(message.id);
        if (!known) {
            const outcome = failure("may-have-run", "not-found", "The request is not known here.");
            message.reply({ kind: "done", outcome });
            return;
        }
        poll(known, message.id, message.reply, context);
    },
    settle(state, message) {
        const known = state.requests.get(message.id);
        if (known) {
            message.reply(known.outcome ? { kind: "done", outcome: known.outcome } : { kind: "pending" });
            return;
        }
        const outcome = failure(
            "not-run",
            "unreachable",
            "The request did not arrive and is refused from now on.",
        );
        state.requests.set(message.id, { request: undefined, state: "done", outcome, polls: new Set() });
        message.reply({ kind: "done", outcome });
    },
    ran(state, message, context) {
        const entry = state.requests.get(message.id);
        state.running--;
        if (entry) {
            entry.state = "done";
            entry.outcome = message.outcome;
            entry.request = undefined;
            for (const reply of entry.polls) {
                reply({ kind: "done", outcome: message.outcome });
            }
            entry.polls.clear();
        }
        startWaiting(state, context);
    },
    "poll-end"(state, message) {
        if (state.requests.get(message.id)?.polls.delete(message.reply)) {
            message.reply({ kind: "pending" });
        }
    },
    load(state, message) {
        const busy = state.running + state.waiting.length;
        message.reply({
            slots: state.options.slots,
            running: state.running,
            waiting: state.waiting.length,
            expectedWaitMs: busy >= state.options.slots ? busy : 0,
            typicalRunMs: 0,
        });
    },
    drain(state) {
        state.draining = true;
    },
};

function poll(entry: Entry, id: string, reply: Reply<Progress>, context: TaskContext<RunnerMessage>): void {
    if (entry.outcome) {
        reply({ kind: "done", outcome: entry.outcome });
        return;
    }
    entry.polls.add(reply);
    context.after(POLL_WINDOW_MS, { kind: "poll-end", id, reply });
}

function startWaiting(state: State, context: TaskContext<RunnerMessage>): void {
    while (state.running < state.options.slots) {
        const id = state.waiting.shift();
        const entry = id === undefined ? undefined : state.requests.get(id);
        const request = entry?.request;
        if (id === undefined || !entry || !request) {
            return;
        }
        entry.state = "running";
        state.running++;
        const signal = new AbortController().signal;
        context.start(
            () => state.options.run(request, signal),
            outcome => ({ kind: "ran", id, outcome }),
        );
    }
}
