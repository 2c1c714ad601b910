import { Left, Right, type Either } from "purify-ts/Either";
import { newerConfiguration } from "@tanagerdeck/decisions/document/configurationRevision";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import { workRefusal } from "@tanagerdeck/decisions/document/workRefusal";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import {
    startTask,
    type Handlers,
    type Reply,
    type Task,
    type TaskContext,
} from "@tanagerdeck/runtime/task/task";

/** Longest time for which a call waits until the agent has fetched or confirmed its revision. */
const REQUIRE_TIMEOUT_MS = 1_000;

/** Messages that an agent's configuration task handles. */
export type AgentConfigurationMessage =
    /** An entry replied to a report that was sent at `askedAt`, a monotonic time. */
    | {
          kind: "replied";
          entry: string;
          askedAt: number;
          revision: number;
          confirmedAgoMs: number | undefined;
      }
    | { kind: "fetched"; entry: string; result: Either<Failure, Configuration | undefined> }
    /** Asks whether a call may be served whose entry works with this revision. */
    | { kind: "require"; revision: number; reply: Reply<Either<Failure, Configuration>> }
    | { kind: "require-timeout"; waiting: WaitingCall }
    | { kind: "get"; reply: Reply<Configuration | undefined> };

/** A call that waits until its revision is fetched or confirmed. */
export interface WaitingCall {
    revision: number;
    reply: Reply<Either<Failure, Configuration>>;
}

/** Dependencies of an agent's configuration task. */
export interface AgentConfigurationOptions {
    clock: Clock;
    log: Log;
    /** Fetches the configuration from an entry if it is newer than `afterRevision`. */
    fetchConfiguration: (
        entry: string,
        afterRevision: number,
    ) => Promise<Either<Failure, Configuration | undefined>>;
    /** Sends a report to all entries now; their replies confirm the revision. */
    announce: () => void;
    /** Called with each newly adopted configuration. */
    onAdopted: (configuration: Configuration) => void;
}

/** The revision in an entry's last reply. */
interface ReportedRevision {
    revision: number;
    askedAt: number;
}

interface State {
    current: Configuration | undefined;
    /** Latest monotonic time at which the held revision is known to have been the newest accepted one. */
    confirmedAt: number | undefined;
    /** Confirmation of a revision that is still being fetched; it applies once that is adopted. */
    pending: { revision: number; at: number } | undefined;
    entries: Map<string, ReportedRevision>;
    /** Entries from which a fetch is in progress. */
    fetching: Set<string>;
    waiting: Set<WaitingCall>;
    options: AgentConfigurationOptions;
}

type Context = TaskContext<AgentConfigurationMessage>;

/** Starts the task that holds an agent's configuration and fetches newer ones from the entries. */
export function startAgentConfigurationTask(
    options: AgentConfigurationOptions,
): Task<AgentConfigurationMessage> {
    return startTask<State, AgentConfigurationMessage>({
        name: "agent-configuration",
        state: {
            current: undefined,
            confirmedAt: undefined,
            pending: undefined,
            entries: new Map(),
            fetching: new Set(),
            waiting: new Set(),
            options,
        },
        handlers,
        clock: options.clock,
        reportError: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
}

const handlers: Handlers<State, AgentConfigurationMessage> = {
    replied(state, { entry, askedAt, revision, confirmedAgoMs }, context) {
        state.entries.set(entry, { revision, askedAt });
        if (confirmedAgoMs !== undefined) {
            recordConfirmation(state, revision, askedAt - confirmedAgoMs);
        }
        if (revision > heldRevision(state)) {
            fetchFrom(state, entry, context);
        }
        answerWaitingCalls(state, context);
    },
    fetched(state, { entry, result }, context) {
        state.fetching.delete(entry);
        result.ifLeft(problem =>
            state.options.log.warn("Fetching the configuration from an entry failed.", {
                detail: problem.detail,
            }),
        );
        result.ifRight(configuration => adopt(state, configuration));
        answerWaitingCalls(state, context);
    },
    require(state, { revision, reply }, context) {
        const waiting: WaitingCall = { revision, reply };
        const answer = tryAnswer(state, revision, context.clock.now());
        if (answer) {
            reply(answer);
            return;
        }
        state.waiting.add(waiting);
        context.after(REQUIRE_TIMEOUT_MS, { kind: "require-timeout", waiting });
        if (revision > heldRevision(state)) {
            fetchFromAllEntries(state, context);
            return;
        }
        state.options.announce();
    },
    "require-timeout"(state, { waiting }) {
        if (state.waiting.delete(waiting)) {
            waiting.reply(Left(refusalFailure(state.current, "agent")));
        }
    },
    get(state, message) {
        message.reply(state.current);
    },
};

function heldRevision(state: State): number {
    return state.current?.revision ?? 0;
}

/** Fetches from every entry, newest reported revision first, since any of them may be unreachable. */
function fetchFromAllEntries(state: State, context: Context): void {
    const entries = [...state.entries.entries()].sort(([, a], [, b]) => b.revision - a.revision);
    for (const [entry] of entries) {
        fetchFrom(state, entry, context);
    }
}

function fetchFrom(state: State, entry: string, context: Context): void {
    if (state.fetching.has(entry)) {
        return;
    }
    state.fetching.add(entry);
    context.start(
        () => state.options.fetchConfiguration(entry, heldRevision(state)),
        result => ({ kind: "fetched", entry, result }),
    );
}

function adopt(state: State, offered: Configuration | undefined): void {
    const next = newerConfiguration(state.current, offered);
    if (!next || next === state.current) {
        return;
    }
    state.current = next;
    state.options.log.info("A configuration was adopted.", { revision: next.revision });
    state.options.onAdopted(next);
    const { pending } = state;
    if (pending && pending.revision <= next.revision) {
        state.pending = undefined;
        recordConfirmation(state, pending.revision, pending.at);
    }
}

/** Records that no revision newer than `revision` had been accepted at time `at`. */
function recordConfirmation(state: State, revision: number, at: number): void {
    if (revision > heldRevision(state)) {
        state.pending = { revision, at };
        return;
    }
    if (state.confirmedAt === undefined || at > state.confirmedAt) {
        state.confirmedAt = at;
    }
}

/**
 * The answer to a call that carries a revision; undefined while the agent holds an older revision
 * or cannot confirm its own.
 */
function tryAnswer(state: State, revision: number, now: number): Either<Failure, Configuration> | undefined {
    const { current, confirmedAt } = state;
    if (revision < heldRevision(state)) {
        return Left(refusalFailure(current, "entry"));
    }
    if (!current) {
        return revision === 0 ? Left(refusalFailure(current, "entry")) : undefined;
    }
    const otherEntries = [...state.entries.values()].map(({ askedAt }) => ({
        answeredAgoMs: now - askedAt,
        platformReachable: false,
    }));
    const confirmedAgoMs = confirmedAt === undefined ? undefined : now - confirmedAt;
    const mustWait = revision > current.revision || workRefusal(current, confirmedAgoMs, otherEntries);
    return mustWait ? undefined : Right(current);
}

function answerWaitingCalls(state: State, context: Context): void {
    for (const waiting of state.waiting) {
        const answer = tryAnswer(state, waiting.revision, context.clock.now());
        if (answer) {
            state.waiting.delete(waiting);
            waiting.reply(answer);
        }
    }
}

function refusalFailure(current: Configuration | undefined, behind: "entry" | "agent"): Failure {
    if (!current) {
        return failure("not-run", "no-configuration", "The agent knows no configuration yet.");
    }
    const problem = behind === "entry" ? "The entry is behind" : "The agent cannot confirm its configuration";
    const detail = `${problem}; the agent has revision ${current.revision}.`;
    return failure("not-run", "stale-configuration", detail);
}
