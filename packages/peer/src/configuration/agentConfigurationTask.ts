import { Left, Right, type Either } from "purify-ts/Either";
import { newerConfiguration } from "@tanagerdeck/decisions/document/configurationRevision";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
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

/** A call that carries a newer revision waits this long for the agent to fetch it. */
const REQUIRE_LIMIT_MS = 1_000;

/** Messages of an agent's configuration holder. */
export type AgentConfigurationMessage =
    /** An entry announced its revision. */
    | { kind: "learned"; entry: string; revision: number }
    | { kind: "fetched"; entry: string; result: Either<Failure, Configuration | undefined> }
    /** A call of an entry carries this revision; the reply says whether the call may be served. */
    | { kind: "require"; revision: number; reply: Reply<Either<Failure, Configuration>> }
    | { kind: "require-end"; waiting: Waiting }
    | { kind: "get"; reply: Reply<Configuration | undefined> };

/** A call that waits for a newer configuration. */
export interface Waiting {
    revision: number;
    reply: Reply<Either<Failure, Configuration>>;
}

/** Dependencies of an agent's configuration holder. */
export interface AgentConfigurationOptions {
    clock: Clock;
    log: Log;
    fetch: (entry: string, afterRevision: number) => Promise<Either<Failure, Configuration | undefined>>;
    adopted: (configuration: Configuration) => void;
}

interface State {
    current: Configuration | undefined;
    /** Newest revision that each entry announced. */
    announced: Map<string, number>;
    fetching: Set<string>;
    waiting: Set<Waiting>;
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
            announced: new Map(),
            fetching: new Set(),
            waiting: new Set(),
            options,
        },
        handlers,
        clock: options.clock,
        report: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
}

const handlers: Handlers<State, AgentConfigurationMessage> = {
    learned(state, { entry, revision }, context) {
        state.announced.set(entry, revision);
        if (revision > held(state)) {
            fetch(state, entry, context);
        }
    },
    fetched(state, { entry, result }) {
        state.fetching.delete(entry);
        result.ifLeft(problem => state.options.log.warn("A fetch failed.", { detail: problem.detail }));
        result.ifRight(configuration => adopt(state, configuration));
    },
    require(state, { revision, reply }, context) {
        const { current } = state;
        if (revision > held(state)) {
            const waiting: Waiting = { revision, reply };
            state.waiting.add(waiting);
            context.after(REQUIRE_LIMIT_MS, { kind: "require-end", waiting });
            fetchFromAll(state, context);
            return;
        }
        reply(current && revision === current.revision ? Right(current) : Left(refusal(current, "entry")));
    },
    "require-end"(state, { waiting }) {
        if (state.waiting.delete(waiting)) {
            waiting.reply(Left(refusal(state.current, "agent")));
        }
    },
    get(state, message) {
        message.reply(state.current);
    },
};

function held(state: State): number {
    return state.current?.revision ?? 0;
}

/** The entries that announced the newest revision come first; all are asked, since any of them may be cut off. */
function fetchFromAll(state: State, context: Context): void {
    const entries = [...state.announced.entries()].sort(([, a], [, b]) => b - a);
    for (const [entry] of entries) {
        fetch(state, entry, context);
    }
}

function fetch(state: State, entry: string, context: Context): void {
    if (state.fetching.has(entry)) {
        return;
    }
    state.fetching.add(entry);
    context.start(
        () => state.options.fetch(entry, held(state)),
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
    state.options.adopted(next);
    for (const waiting of state.waiting) {
        if (waiting.revision <= next.revision) {
            state.waiting.delete(waiting);
            waiting.reply(waiting.revision === next.revision ? Right(next) : Left(refusal(next, "entry")));
        }
    }
}

function refusal(current: Configuration | undefined, behind: "entry" | "agent"): Failure {
    if (!current) {
        return failure("not-run", "no-configuration", "The agent knows no configuration yet.");
    }
    const detail = `The ${behind} is behind; the agent has revision ${current.revision}.`;
    return failure("not-run", "stale-configuration", detail);
}
