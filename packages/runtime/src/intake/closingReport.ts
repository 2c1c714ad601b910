import type { Clock } from "../clock/clock.ts";
import type { Log } from "../log/log.ts";
import type { ClosingCause } from "./intakeTypes.ts";

/** Shortest time between two lines, since a crowd can have thousands of connections closed each second. */
const LINE_INTERVAL_MS = 1_000;

/**
 * Returns a function that counts closed connections and logs one line a second at most, with the counts by cause.
 * Idle connections are not counted, since their closing is usual and protects nothing.
 */
export function createClosingReport(log: Log, clock: Clock): (cause: ClosingCause) => void {
    let counts: Partial<Record<ClosingCause, number>> = {};
    let isWaiting = false;

    function write(): void {
        if (Object.keys(counts).length === 0) {
            isWaiting = false;
            return;
        }
        log.warn("Connections were closed to protect the process.", counts);
        counts = {};
        clock.startTimer(LINE_INTERVAL_MS, write);
    }

    return cause => {
        if (cause === "idle") {
            return;
        }
        counts[cause] = (counts[cause] ?? 0) + 1;
        if (!isWaiting) {
            isWaiting = true;
            // At the end of this turn, so that connections closed together are in one line.
            clock.startTimer(0, write);
        }
    };
}
