import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Reply, TaskContext, TaskMessage } from "@tanagerdeck/runtime/task/task";

/** Work for a call of a caller, with its reply. */
export interface TimedAnswer<M extends TaskMessage, R> {
    work: () => Promise<R>;
    /** Called once. */
    reply: Reply<R>;
    /** Time after which the caller gives up. */
    waitMs: number;
    /** The reply if the work rejects, or has no result when the caller is about to give up. */
    fallback: () => R;
    /** Message that the task gets when the work has ended. */
    ended: M;
    /** Id of the job, for the log. */
    job: string;
    clock: Clock;
    log: Log;
}

/** A caller with less time than this is answered by the result or not in time, as the store needs a few milliseconds. */
const MIN_WAIT_MS = 50;
/** A caller that waits longer is answered after this time; a timer cannot wait for more than 24 days. */
const MAX_WAIT_MS = 60_000;

/** Runs asynchronous work and sends its result as the reply; the task handles other messages meanwhile. */
export function startTimedAnswer<M extends TaskMessage, R>(
    context: TaskContext<M>,
    { work, reply, waitMs, fallback, ended, job, clock, log }: TimedAnswer<M, R>,
): void {
    let isAnswered = false;
    const answer = (result: () => R): void => {
        if (!isAnswered) {
            isAnswered = true;
            stopTimer();
            reply(result());
        }
    };
    const stopTimer = clock.startTimer(Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, waitMs)), () => {
        log.warn("A call has no result in time.", { job, waitMs });
        answer(fallback);
    });
    context.start(
        async () => {
            const result = await work();
            answer(() => result);
        },
        () => ended,
        error => {
            log.error("The work for a call failed.", { job, error: String(error) });
            answer(fallback);
            return ended;
        },
    );
}
