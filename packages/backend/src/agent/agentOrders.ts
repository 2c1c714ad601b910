import {
    runKey,
    type RunId,
    type StartOrder,
    type StopOrder,
} from "@tanagerdeck/decisions/worker/workerReport";
import type { AgentState, StopAttempt } from "./agentState.ts";

/** Adds newly listed starts, drops starts that the leader no longer lists, and returns the keys of the added ones. */
export function mergeStartOrders(state: AgentState, orders: StartOrder[], now: number): string[] {
    dropUnlisted(state.starts, orders);
    const added: string[] = [];
    for (const order of orders) {
        const key = runKey(order);
        if (!state.starts.has(key)) {
            state.starts.set(key, { order, state: "idle", listedAt: now });
            added.push(key);
        }
    }
    return added;
}

/**
 * Adds newly listed stops, drops stops that the leader no longer lists, and returns the keys of those to send: the added
 * ones, and those that counted as closed without a call and no longer do.
 */
export function mergeStopOrders(
    state: AgentState,
    orders: StopOrder[],
    isClosed: (attempt: StopAttempt) => boolean,
): string[] {
    dropUnlisted(state.stops, orders);
    const toSend: string[] = [];
    for (const order of orders) {
        const key = runKey(order);
        const known = state.stops.get(key);
        if (known?.state === "closed" && !isClosed(known)) {
            known.state = "idle";
            toSend.push(key);
        }
        if (!known) {
            state.stops.set(key, { order, state: "idle", answeredClockMs: 0, isCloseLogged: false });
            toSend.push(key);
        }
    }
    return toSend;
}

/** Drops attempts without a listed order. An attempt with a call in flight is kept until the call is answered. */
function dropUnlisted(attempts: Map<string, { state: string }>, orders: RunId[]): void {
    const listed = new Set(orders.map(runKey));
    for (const [key, { state }] of attempts) {
        if (!listed.has(key) && state !== "calling") {
            attempts.delete(key);
        }
    }
}
