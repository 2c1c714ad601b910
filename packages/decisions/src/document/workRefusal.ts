import type { Configuration } from "./documentTypes.ts";

/** An entry whose configuration was last confirmed longer ago than this is isolated from the platform. */
export const ISOLATED_AFTER_MS = 15_000;
/** A peer counts as reachable for this time after its last answer: two exchange intervals of 5 s and one timeout. */
export const PEER_REACHABLE_FOR_MS = 11_000;

/** Why a process refuses new work. */
export type WorkRefusal = "no-configuration" | "stale-configuration";

/** What another entry answered when it was last asked. */
export interface PeerEntryStatus {
    /** Milliseconds since the last question that the peer answered was sent; undefined if it never answered. */
    answeredAgoMs: number | undefined;
    platformReachable: boolean;
}

/**
 * Returns why an entry must refuse new work, or undefined if it may accept it. While the entry is isolated, the
 * document's `whenPlatformUnreachable` decides. `confirmedAgoMs` is the age of the newest confirmation, undefined
 * if there was none.
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

/** True if there is no other entry, or if some are reachable and none of those can reach the platform either. */
function peersConfirmOutage(others: PeerEntryStatus[]): boolean {
    if (others.length === 0) {
        return true;
    }
    const reachable = others.filter(
        ({ answeredAgoMs }) => answeredAgoMs !== undefined && answeredAgoMs <= PEER_REACHABLE_FOR_MS,
    );
    return reachable.length > 0 && reachable.every(other => !other.platformReachable);
}
