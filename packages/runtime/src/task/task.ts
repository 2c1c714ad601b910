import type { Clock, TimerStop } from "../clock/clock.ts";

/** Base type of the messages of a task; `kind` discriminates them. */
export interface TaskMessage {
    kind: string;
}

/** Delivers the reply to a message sent with `ask`; only the first call counts. */
export type Reply<R> = (value: R) => void;

/** Handle of a running task, through which others send it messages. Only the task's handlers access its state. */
export interface Task<M extends TaskMessage> {
    send(message: M): void;
    /**
     * Sends a message that carries a reply function; resolves with the reply. Rejects if the handler throws, as nobody
     * would send the reply then.
     */
    ask<R>(build: (reply: Reply<R>) => M): Promise<R>;
    /** Stops the task's timers, drops new messages and resolves once the messages already queued are handled. */
    stop(): Promise<void>;
}

/** Operations that a handler may use besides changing the task's state. */
export interface TaskContext<M extends TaskMessage> {
    clock: Clock;
    /** Queues a message to this task. */
    post(message: M): void;
    /** Queues a message to this task after a delay. */
    after(delayMs: number, message: M): TimerStop;
    /**
     * Starts asynchronous work and queues its result as a message, so that the handler does not wait for it.
     * A rejection is passed to `failed`, or to the task's `reportError` if there is no `failed`.
     */
    start<R>(work: () => Promise<R>, done: (result: R) => M, failed?: (error: unknown) => M): void;
}

/** One handler for each kind of message. Handlers are synchronous. */
export type Handlers<S, M extends TaskMessage> = {
    [K in M["kind"]]: (state: S, message: Extract<M, { kind: K }>, context: TaskContext<M>) => void;
};

/** Definition of a task: its name, its state and one function for each kind of message. */
export interface TaskDefinition<S, M extends TaskMessage> {
    name: string;
    state: S;
    handlers: Handlers<S, M>;
    clock: Clock;
    /** Called when a handler throws, or when work that a handler started rejects. The task continues. */
    reportError: (task: string, error: unknown) => void;
}

/** A message that waits for its handler. */
interface QueuedMessage<M> {
    message: M;
    /** Called if the handler throws. */
    reject?: ((error: unknown) => void) | undefined;
}

/** Largest number of messages that a task handles before it yields to the event loop. */
const MAX_MESSAGES_PER_TURN = 256;
/** Time after which a task yields to the event loop, so that long messages of one task do not add up. */
const MAX_TURN_MS = 20;

/** Starts a task that owns `state` and handles one message at a time. */
export function startTask<S, M extends TaskMessage>(definition: TaskDefinition<S, M>): Task<M> {
    const { name, state, handlers, clock, reportError } = definition;
    const queue: QueuedMessage<M>[] = [];
    const timers = new Set<TimerStop>();
    let isScheduled = false;
    let isStopping = false;
    let resolveStop: (() => void) | undefined;

    const context: TaskContext<M> = {
        clock,
        post: message => enqueue(message),
        after(delayMs, message) {
            const stopTimer = clock.startTimer(delayMs, () => {
                timers.delete(cancel);
                enqueue(message);
            });
            const cancel = () => {
                timers.delete(cancel);
                stopTimer();
            };
            timers.add(cancel);
            return cancel;
        },
        start(work, done, failed) {
            work().then(
                result => enqueue(done(result)),
                error => {
                    if (failed) {
                        enqueue(failed(error));
                        return;
                    }
                    reportError(name, error);
                },
            );
        },
    };

    function enqueue(message: M, reject?: (error: unknown) => void): void {
        if (isStopping) {
            return;
        }
        queue.push({ message, reject });
        schedule();
    }

    function schedule(): void {
        if (isScheduled) {
            return;
        }
        isScheduled = true;
        queueMicrotask(processQueue);
    }

    function processQueue(): void {
        const turnEndsAt = clock.now() + MAX_TURN_MS;
        for (let handled = 0; handled < MAX_MESSAGES_PER_TURN && clock.now() < turnEndsAt; handled++) {
            const queued = queue.shift();
            if (!queued) {
                isScheduled = false;
                resolveStop?.();
                return;
            }
            handle(queued);
        }
        setImmediate(processQueue);
    }

    function handle({ message, reject }: QueuedMessage<M>): void {
        try {
            const kind = message.kind as M["kind"];
            handlers[kind](state, message as Extract<M, { kind: typeof kind }>, context);
        } catch (error) {
            reportError(name, error);
            reject?.(error);
        }
    }

    return {
        send: message => enqueue(message),
        ask: build => new Promise((resolve, reject) => enqueue(build(resolve), reject)),
        stop() {
            isStopping = true;
            for (const stopTimer of timers) {
                stopTimer();
            }
            return new Promise(resolve => {
                resolveStop = resolve;
                schedule();
            });
        },
    };
}
