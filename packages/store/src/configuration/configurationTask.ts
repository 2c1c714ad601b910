import type { Either } from "purify-ts/Either";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import { startTask, type Handlers, type Task, type TaskContext } from "@tanagerdeck/runtime/task/task";
import { jitteredInterval, reconnectDelay } from "../store/reconnectDelay.ts";
import type { Store } from "../store/storeTypes.ts";
import { readCurrent } from "./acceptedConfiguration.ts";
import { currentKey } from "./configurationKeys.ts";

/** Maximum interval of the periodic reads, which find changes that a dead watch does not deliver. */
const READ_INTERVAL_MS = 5_000;

/** Result of one read of the accepted configuration; `askedAt` is the monotonic time at which it was sent. */
export interface ConfigurationRead {
    askedAt: number;
    result: Either<Failure, Configuration | undefined>;
}

/** Messages of the configuration task. */
export type ConfigurationMessage =
    | { kind: "read" }
    | { kind: "tick" }
    | { kind: "read-done"; read: ConfigurationRead }
    | { kind: "open-watch" }
    | { kind: "watch-changed" }
    | { kind: "watch-ended" }
    | { kind: "close" };

/** Dependencies of the configuration task. */
export interface ConfigurationOptions {
    environment: string;
    store: Store;
    clock: Clock;
    log: Log;
    random: () => number;
    /** Called with the result of each read, including failed ones. */
    onRead: (read: ConfigurationRead) => void;
}

interface State {
    isReading: boolean;
    isReadQueued: boolean;
    reconnectAttempts: number;
    stopWatch: () => void;
    options: ConfigurationOptions;
}

/** Starts the task that follows the accepted configuration on the platform with a watch and periodic reads. */
export function startConfigurationTask(options: ConfigurationOptions): Task<ConfigurationMessage> {
    const state: State = {
        isReading: false,
        isReadQueued: false,
        reconnectAttempts: 0,
        stopWatch: () => undefined,
        options,
    };
    const task = startTask<State, ConfigurationMessage>({
        name: "configuration",
        state,
        handlers,
        clock: options.clock,
        reportError: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
    task.send({ kind: "tick" });
    task.send({ kind: "open-watch" });
    return {
        ...task,
        stop: () => {
            task.send({ kind: "close" });
            return task.stop();
        },
    };
}

const handlers: Handlers<State, ConfigurationMessage> = {
    tick(state, _message, context) {
        read(state, context);
        context.after(jitteredInterval(READ_INTERVAL_MS, state.options.random), { kind: "tick" });
    },
    read(state, _message, context) {
        read(state, context);
    },
    "read-done"(state, message, context) {
        state.isReading = false;
        state.options.onRead(message.read);
        if (state.isReadQueued) {
            state.isReadQueued = false;
            read(state, context);
        }
    },
    "open-watch"(state, _message, context) {
        const { store, environment } = state.options;
        state.stopWatch = store.watch(
            currentKey(environment),
            () => context.post({ kind: "watch-changed" }),
            () => context.post({ kind: "watch-ended" }),
        );
    },
    "watch-changed"(state, _message, context) {
        state.reconnectAttempts = 0;
        read(state, context);
    },
    close(state) {
        state.stopWatch();
    },
    "watch-ended"(state, _message, context) {
        const delay = reconnectDelay(state.reconnectAttempts, state.options.random);
        state.reconnectAttempts++;
        context.after(delay, { kind: "open-watch" });
    },
};

function read(state: State, context: TaskContext<ConfigurationMessage>): void {
    if (state.isReading) {
        state.isReadQueued = true;
        return;
    }
    state.isReading = true;
    const { store, environment } = state.options;
    const askedAt = context.clock.now();
    context.start(
        () => readCurrent(store, environment),
        result => ({
            kind: "read-done",
            read: { askedAt, result: result.map(stored => stored?.configuration) },
        }),
    );
}
