import { runKey, type StartOrder, type StopOrder } from "@tanagerdeck/decisions/worker/workerReport";
import type { AgentState } from "./agentState.ts";

/** A start that got no answer, or whose boot was replaced before the answer, and the agent's time at which this was seen. */
export interface StrayStart {
    order: StopOrder;
    at: number;
}

/** Time after which a worker no longer executes a call that it has not answered. */
const LATE_CALL_MS = 60_000;

/** Notes that the worker may still execute a start, also after it has started again under its id. */
export function addStrayStart(state: AgentState, order: StartOrder, now: number): void {
    dropOldStrayStarts(state, now);
    const { task, run, boot } = order;
    state.strayStarts.set(runKey(order), { order: { task, run, boot }, at: now });
}

/** Keys of the starts that the known boot may still execute, although they were meant for a former one with its id. */
export function openStrayStarts(state: AgentState, now: number): string[] {
    dropOldStrayStarts(state, now);
    for (const [key, { order }] of state.strayStarts) {
        if (state.worker?.boot.id !== order.boot.id) {
            state.strayStarts.delete(key);
        }
    }
    return [...state.strayStarts.keys()];
}

function dropOldStrayStarts({ strayStarts }: AgentState, now: number): void {
    for (const [key, { at }] of strayStarts) {
        if (now - at > LATE_CALL_MS) {
            strayStarts.delete(key);
        }
    }
}
