/**
 * How the stand-in answers.
 * - `down`: every connection, with every open watch, is closed.
 * - `silent`: calls are read and never answered.
 * - `lose-write-reply`: a transaction is applied and its connection closed.
 */
export type PlatformMode = "normal" | "down" | "silent" | "lose-write-reply";

/** Behaviour of the stand-in; tests change it while it runs. */
export interface PlatformFaults {
    mode: PlatformMode;
    /** Added to each call before it is applied. */
    delayMs: number;
    /** Added to each call after it is applied, so that a client may give up on an applied write. */
    replyDelayMs: number;
    /** Watches stay open but send no events. */
    silentWatches: boolean;
}

/** Builds the faults of a healthy service; `modeChanged` is called on each assignment of `mode`. */
export function createPlatformFaults(modeChanged: (mode: PlatformMode) => void): PlatformFaults {
    let mode: PlatformMode = "normal";
    return {
        get mode() {
            return mode;
        },
        set mode(next) {
            mode = next;
            modeChanged(next);
        },
        delayMs: 0,
        replyDelayMs: 0,
        silentWatches: false,
    };
}
