import type { Either } from "purify-ts/Either";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import { newerConfiguration } from "@tanagerdeck/decisions/document/configurationRevision";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import {
    startTask,
    type Handlers,
    type Reply,
    type Task,
    type TaskContext,
} from "@tanagerdeck/runtime/task/task";
import type { Store } from "../store/storeTypes.ts";
import { currentKey } from "./configurationKeys.ts";

/** Interval of the read that covers for a watch that went silent. */
const READ_INTERVAL_MS = 5_000;

/** Messages of the configuration task. */
export type ConfigurationMessage =
    | { kind: "read" }
    | { kind: "tick" }
    | { kind: "read-done"; result: Either<Failure, Configuration | undefined> }
    | { kind: "offer"; configuration: Configuration }
    | { kind: "get"; reply: Reply<Configuration | undefined> };

/** Dependencies of the configuration task. */
export interface ConfigurationOptions {
    environment: string;
    store: Store;
    clock: Clock;
    log: Log;
    /** Called with each newly adopted configuration. */
    adopted: (configuration: Configuration) => void;
}

interface State {
    current: Configuration | undefined;
    reading: boolean;
    readAgain: boolean;
    options: ConfigurationOptions;
}

/** Starts the task that owns the entry's configuration. */
export function startConfigurationTask(options: ConfigurationOptions): Task<ConfigurationMessage> {
    const state: State = { current: undefined, reading: false, readAgain: false, options };
    const task = startTask<State, ConfigurationMessage>({
        name: "configuration",
        state,
        handlers,
        clock: options.clock,
        report: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
    task.send({ kind: "tick" });
    return task;
}

const handlers: Handlers<State, ConfigurationMessage> = {
    tick(state, _message, context) {
        read(state, context);
        context.after(READ_INTERVAL_MS, { kind: "tick" });
    },
    read(state, _message, context) {
        read(state, context);
    },
    "read-done"(state, message, context) {
        state.reading = false;
        message.result.ifRight(configuration => adopt(state, configuration));
        if (state.readAgain) {
            state.readAgain = false;
            read(state, context);
        }
    },
    offer(state, message) {
        adopt(state, message.configuration);
    },
    get(state, message) {
        message.reply(state.current);
    },
};

function read(state: State, context: TaskContext<ConfigurationMessage>): void {
    if (state.reading) {
        state.readAgain = true;
        return;
    }
    state.reading = true;
    const { store, environment } = state.options;
    context.start(
        () => store.get(currentKey(environment)),
        result => ({
            kind: "read-done",
            result: result.map(value => (value ? (JSON.parse(value.value) as Configuration) : undefined)),
        }),
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
}
