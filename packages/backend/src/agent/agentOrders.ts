import { runKey, type StartOrder, type StopOrder } from "@tanagerdeck/decisions/worker/workerReport";
import type { AgentState } from "./agentState.ts";

/** Takes the listed starts, forgets those that are no longer listed, and returns the keys of new ones. */
export function takeStarts(state: AgentState, orders: StartOrder[], now: number): string[] {
    const listed = new Set(orders.map(runKey));
    for (const [key, attempt] of state.starts) {
        if (!listed.has(key) && attempt.state !== "calling") {
            state.starts.delete(key);
        }
    }
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
    const listed = new Set(orders.map(runKey));
    for (const [key, attempt] of state.stops) {
        if (!listed.has(key) && attempt.state !== "calling") {
            state.stops.delete(key);
        }
    }
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
