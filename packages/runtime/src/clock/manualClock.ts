import type { Clock } from "./clock.ts";

/** A clock that moves only when told, for unit tests. */
export interface ManualClock extends Clock {
    /** Moves time forward, runs due timers in order and lets their promises settle. */
    advance(milliseconds: number): Promise<void>;
    /** Lets pending promises settle without moving time. */
    settle(): Promise<void>;
}

interface PendingTimer {
    dueAt: number;
    order: number;
    action: () => void;
}

/** Builds a manual clock that starts at 0 (wall: `wallStart`). */
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
