import type { Clock } from "./clock.ts";

/** A clock for unit tests that moves only by `advance`. */
export interface ManualClock extends Clock {
    /** Moves time forward and runs the timers that become due, in order; promises settle after each timer. */
    advance(milliseconds: number): Promise<void>;
    /** Waits until pending promises have settled, without moving time. */
    settle(): Promise<void>;
}

interface PendingTimer {
    dueAt: number;
    order: number;
    action: () => void;
}

/** Creates a manual clock whose monotonic time starts at 0 and whose wall-clock time starts at `wallStart`. */
export function createManualClock(wallStart = 1_700_000_000_000): ManualClock {
    let current = 0;
    let order = 0;
    const timers = new Set<PendingTimer>();

    function nextDueTimer(limit: number): PendingTimer | undefined {
        let next: PendingTimer | undefined;
        for (const timer of timers) {
            if (timer.dueAt > limit) {
                continue;
            }
            if (
                !next ||
                timer.dueAt < next.dueAt ||
                (timer.dueAt === next.dueAt && timer.order < next.order)
            ) {
                next = timer;
            }
        }
        return next;
    }

    async function settle(): Promise<void> {
        for (let turn = 0; turn < 5; turn++) {
            await new Promise<void>(resolve => setImmediate(resolve));
        }
    }

    return {
        now: () => current,
        wall: () => wallStart + current,
        startTimer(delayMs, action) {
            const timer = { dueAt: current + Math.max(0, delayMs), order: order++, action };
            timers.add(timer);
            return () => timers.delete(timer);
        },
        settle,
        async advance(milliseconds) {
            const end = current + milliseconds;
            await settle();
            for (let timer = nextDueTimer(end); timer; timer = nextDueTimer(end)) {
                timers.delete(timer);
                current = Math.max(current, timer.dueAt);
                timer.action();
                await settle();
            }
            current = end;
        },
    };
}
