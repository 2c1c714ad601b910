import type { TimerStop } from "../clock/clock.ts";

/** Resolves when the event loop has read what its sockets had received: it reads between two immediates. */
export function readReceived(): Promise<void> {
    return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}

/**
 * Runs an action after a time without a reply. The event loop runs timers before it reads from sockets, so after a pause
 * of the process a reply that came in time is read first; stopping the timer then prevents the action.
 */
export function startReplyTimer(delayMs: number, action: () => void): TimerStop {
    let isStopped = false;
    const timer = setTimeout(() => {
        void readReceived().then(() => {
            if (!isStopped) {
                action();
            }
        });
    }, delayMs);
    return () => {
        isStopped = true;
        clearTimeout(timer);
    };
}

/** A signal that aborts a call without a reply, as `AbortSignal.timeout` does, but not before what came in time is read. */
export function replyTimeout(delayMs: number): AbortSignal {
    const controller = new AbortController();
    const timer = setTimeout(() => {
        const reason = new DOMException("The operation was aborted due to timeout", "TimeoutError");
        void readReceived().then(() => controller.abort(reason));
    }, delayMs);
    timer.unref();
    return controller.signal;
}
