/** Stops a timer; calling it twice is harmless. */
export type TimerStop = () => void;

/** Source of time. `now` is monotonic milliseconds and goes on while the process is frozen. */
export interface Clock {
    now(): number;
    wall(): number;
    startTimer(delayMs: number, action: () => void): TimerStop;
}

/** The clock of the process. */
export const systemClock: Clock = {
    now: () => performance.now(),
    wall: () => Date.now(),
    startTimer(delayMs, action) {
        const timer = setTimeout(action, delayMs);
        return () => clearTimeout(timer);
    },
};
