import { isIdle } from "./closingChoice.ts";
import type { ClosingCause, ConnectionState, IntakeLimits } from "./intakeTypes.ts";

/**
 * The limit that a connection has exceeded, if any. While received bytes wait to be passed to the parser the client is
 * not the one to be waited for, so the limits for heads and bodies do not apply.
 */
export function exceededTimeLimit(
    state: ConnectionState,
    limits: IntakeLimits,
    nowMs: number,
): ClosingCause | undefined {
    if (state.unsentBytes > 0 && nowMs - state.sentAtMs > limits.stallTimeoutMs) {
        return "unread-answer";
    }
    if (isIdle(state)) {
        return nowMs - state.idleSinceMs > limits.idleTimeoutMs ? "idle" : undefined;
    }
    if (state.pendingBytes > 0) {
        return undefined;
    }
    if (state.headSinceMs !== undefined && nowMs - state.headSinceMs > limits.headTimeoutMs) {
        // The answers to whole requests before the head are still to come; the head's limit applies after them.
        return state.wholeRequests === 0 ? "head-timeout" : undefined;
    }
    if (state.isInBody && nowMs - state.receivedAtMs > limits.stallTimeoutMs) {
        return state.wholeRequests === 0 && state.unreadBodyBytes === 0 ? "body-timeout" : undefined;
    }
    return undefined;
}
