import type { RunningProcess } from "./runningProcess.ts";

/** Signals that stop a process. */
const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Source of signals, by default the process itself. */
export interface SignalSource {
    on(signal: "SIGTERM" | "SIGINT" | "SIGHUP", handle: () => void): unknown;
}

/** Handle of the signal handlers of a process. */
export interface ProcessSignals {
    /** Passes signals to the started process, including those that arrived while it was starting. */
    serve(running: RunningProcess): void;
}

/**
 * Handles the signals of a process from now on, so that none of them meets Node's default, which ends the process at
 * once. A stop signal during the start stops the process once it has started; further stop signals change nothing.
 */
export function handleSignals(signals: SignalSource = process): ProcessSignals {
    let running: RunningProcess | undefined;
    let phase: "running" | "stop-requested" | "stopping" = "running";

    function stopOnce(): void {
        if (running && phase === "stop-requested") {
            phase = "stopping";
            void running.stop();
        }
    }

    for (const signal of STOP_SIGNALS) {
        // The handler stays registered: a repeated signal would otherwise end a process that is still stopping.
        signals.on(signal, () => {
            phase = phase === "running" ? "stop-requested" : phase;
            stopOnce();
        });
    }
    // A process that is starting has just read its settings, and one that is stopping needs no new ones.
    signals.on("SIGHUP", () => {
        if (phase === "running") {
            running?.reload?.();
        }
    });

    return {
        serve(started) {
            running = started;
            stopOnce();
        },
    };
}
