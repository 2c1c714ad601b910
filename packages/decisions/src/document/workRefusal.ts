import type { Configuration } from "./documentTypes.ts";

/** An entry without confirmation of its configuration for this time is isolated. */
export const ISOLATED_AFTER_MS = 15_000;
/** Another entry counts as reachable for this time after its last answer: two exchanges of 5 s and one time-out. */
export const PEER_REACHABLE_FOR_MS = 11_000;

/** Why a process takes no new work. */
export type WorkRefusal = "no-configuration" | "stale-configuration";

/** What another entry said when it was last asked. */
export interface PeerEntryStatus {
    /** Milliseconds since the question that it last answered; undefined if it never answered. */
    answeredAgoMs: number | undefined;
    platformReachable: boolean;
}

/**
 * Whether an entry must refuse new work, by the document's `whenPlatformUnreachable`.
 * `confirmedAgoMs` is the age of the newest confirmation, undefined if there was none.
 */
export function workRefusal(
    configuration: Configuration | undefined,
    confirmedAgoMs: number | undefined,
    others: PeerEntryStatus[],
): WorkRefusal | undefined {
    if (!configuration) {
        return "no-configuration";
    }
    if (confirmedAgoMs !== undefined && confirmedAgoMs <= ISOLATED_AFTER_MS) {
        return undefined;
    }
    const policy = configuration.document.whenPlatformUnreachable;
    const serves = policy === "serve" || (policy === "serve-while-peers-agree" && peersConfirmOutage(others));
    return serves ? undefined : "stale-configuration";
}

/** True if there is no other entry, or if some can be reached and all of those see no platform either. */
function peersConfirmOutage(others: PeerEntryStatus[]): boolean {
    if (others.length === 0) {
        return true;
    }
    const reachable = others.filter(
        ({ answeredAgoMs }) => answeredAgoMs !== undefined && answeredAgoMs <= PEER_REACHABLE_FOR_MS,
    );
    return reachable.length > 0 && reachable.every(other => !other.platformReachable);
}
