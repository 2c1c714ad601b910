import type { Clock, TimerStop } from "@tanagerdeck/runtime/clock/clock";

/** The clock of one simulated process. While the process is frozen, time advances but none of its actions run. */
export interface FreezableClock extends Clock {
    freeze(): void;
    frozen(): boolean;
    /** Unfreezes the process and runs the actions that came due meanwhile. */
    resume(): void;
    /** Runs an action at once or, if the process is frozen, on `resume`. */
    run(action: () => void): void;
    /** Resolves with a value from outside of the process; if it arrives while the process is frozen, on `resume`. */
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
