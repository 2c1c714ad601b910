import type { Configuration } from "./documentTypes.ts";

/** An entry without confirmation of its configuration for this time is isolated. */
export const ISOLATED_AFTER_MS = 15_000;
/** Another entry counts as reachable for this time after its last answer: two exchanges of 5 s and one time-out. */
export const REACHABLE_FOR_MS = 11_000;

/** Why a process takes no new work. */
export type WorkRefusal = "no-configuration" | "stale-configuration";

/** What another entry said when it was last asked. */
export interface OtherEntry {
    /** Milliseconds since the question that it last answered; undefined if it never answered. */
    heardAgoMs: number | undefined;
    platformReachable: boolean;
}

/**
 * Whether an entry must refuse new work, by the document's `whenPlatformUnreachable`.
 * `confirmedAgoMs` is the age of the newest confirmation, undefined if there was none.
 */
export function workRefusal(
    configuration: Configuration | undefined,
    confirmedAgoMs: number | undefined,
    others: OtherEntry[],
): WorkRefusal | undefined {
    if (!configuration) {
        return "no-configuration";
    }
    if (confirmedAgoMs !== undefined && confirmedAgoMs <= ISOLATED_AFTER_MS) {
        return undefined;
    }
    const policy = configuration.document.whenPlatformUnreachable;
    const serves = policy === "serve" || (policy === "serve-while-peers-agree" && othersAgree(others));
    return serves ? undefined : "stale-configuration";
}

/** True if there is no other entry, or if some can be reached and all of those see no platform either. */
function othersAgree(others: OtherEntry[]): boolean {
    if (others.length === 0) {
        return true;
    }
    const reachable = others.filter(
        ({ heardAgoMs }) => heardAgoMs !== undefined && heardAgoMs <= REACHABLE_FOR_MS,
    );
    return reachable.length > 0 && reachable.every(other => !other.platformReachable);
}
