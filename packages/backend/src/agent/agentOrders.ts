import {
    runKey,
    type RunId,
    type StartOrder,
    type StopOrder,
} from "@tanagerdeck/decisions/worker/workerReport";
import type { AgentState } from "./agentState.ts";

/** Takes the listed starts, forgets those that are no longer listed, and returns the keys of new ones. */
export function takeStarts(state: AgentState, orders: StartOrder[], now: number): string[] {
    dropUnlisted(state.starts, orders);
    const added: string[] = [];
    for (const order of orders) {
        const key = runKey(order);
        if (!state.starts.has(key)) {
            state.starts.set(key, { order, state: "idle", listedAt: now, isUnanswered: false });
            added.push(key);
        }
    }
    return added;
}

/** Takes the listed stops, forgets those that are no longer listed, and returns the keys of new ones. */
export function takeStops(state: AgentState, orders: StopOrder[]): string[] {
    dropUnlisted(state.stops, orders);
    const added: string[] = [];
    for (const order of orders) {
        const key = runKey(order);
        if (!state.stops.has(key)) {
            state.stops.set(key, { order, state: "idle", answeredClockMs: 0, isLogged: false });
            added.push(key);
        }
    }
    return added;
}

/** An attempt whose call is under way stays until it is answered. */
function dropUnlisted(attempts: Map<string, { state: string }>, orders: RunId[]): void {
    const listed = new Set(orders.map(runKey));
    for (const [key, { state }] of attempts) {
        if (!listed.has(key) && state !== "calling") {
            attempts.delete(key);
        }
    }
}
