/** Stops a timer; further calls have no effect. */
export type TimerStop = () => void;

/**
 * Source of time, in milliseconds. `now` is monotonic and advances while the process is frozen; `wall` is the time
 * since the Unix epoch.
 */
export interface Clock {
    now(): number;
    wall(): number;
    startTimer(delayMs: number, action: () => void): TimerStop;
}

/** The clock of the operating system. */
export const systemClock: Clock = {
    now: () => performance.now(),
    wall: () => Date.now(),
    startTimer(delayMs, action) {
        const timer = setTimeout(action, delayMs);
        return () => clearTimeout(timer);
    },
};
