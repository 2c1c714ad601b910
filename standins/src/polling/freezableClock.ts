import type { Clock, TimerStop } from "@tanagerdeck/runtime/clock/clock";

/** The clock of one simulated process. While the process is frozen time goes on, but nothing runs in it. */
export interface FreezableClock extends Clock {
    freeze(): void;
    frozen(): boolean;
    /** Runs the due timers and delivers what arrived meanwhile. */
    resume(): void;
    /** Runs an action when the process is not frozen. */
    run(action: () => void): void;
    /** Resolves with a value that arrives from outside, after the process was resumed. */
    deliver<T>(arriving: Promise<T>): Promise<T>;
}

/** Wraps a clock for one process. */
export function createFreezableClock(clock: Clock): FreezableClock {
    let frozen = false;
    let pendingActions: (() => void)[] = [];

    function run(action: () => void): void {
        if (frozen) {
            pendingActions.push(action);
            return;
        }
        action();
    }

    return {
        now: () => clock.now(),
        wall: () => clock.wall(),
        run,
        startTimer(delayMs, action): TimerStop {
            let stopped = false;
            const stopTimer = clock.startTimer(delayMs, () => run(() => stopped || action()));
            return () => {
                stopped = true;
                stopTimer();
            };
        },
        freeze() {
            frozen = true;
        },
        frozen: () => frozen,
        resume() {
            frozen = false;
            const due = pendingActions;
            pendingActions = [];
            for (const action of due) {
                action();
            }
        },
        async deliver(arriving) {
            const value = await arriving;
            await new Promise<void>(resolve => run(resolve));
            return value;
        },
    };
}
