import type { Clock } from "@tanagerdeck/runtime/clock/clock";

/** A simulated process. Its timers and incoming calls wait while it is frozen and are dropped once it is killed. */
export interface ProcessFixture {
    name: string;
    clock: Clock;
    /** Runs an action in the process: on `resume` if it is frozen, never if it was killed. */
    deliver(action: () => void): void;
    freeze(): void;
    resume(): void;
    kill(): void;
    isAlive(): boolean;
}

/** Starts a process on a shared clock. */
export function createProcessFixture(name: string, base: Clock): ProcessFixture {
    let state: "running" | "frozen" | "dead" = "running";
    let backlog: (() => void)[] = [];

    function deliver(action: () => void): void {
        if (state === "running") {
            action();
        }
        if (state === "frozen") {
            backlog.push(action);
        }
    }

    return {
        name,
        clock: {
            now: base.now,
            wall: base.wall,
            startTimer: (delayMs, action) => base.startTimer(delayMs, () => deliver(action)),
        },
        deliver,
        freeze() {
            if (state === "running") {
                state = "frozen";
            }
        },
        resume() {
            if (state !== "frozen") {
                return;
            }
            state = "running";
            const waiting = backlog;
            backlog = [];
            for (const action of waiting) {
                deliver(action);
            }
        },
        kill() {
            state = "dead";
            backlog = [];
        },
        isAlive: () => state !== "dead",
    };
}
