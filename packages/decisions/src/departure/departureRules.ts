import type { PlacedGroup, WaitingGroup } from "../schedule/scheduleTypes.ts";

/** A run counts as too late if it is expected to last this many times the time left, as estimates are off by half. */
export const LATE_FACTOR = 1.5;
/**
 * Time before the departure at which a checkpointing group without room elsewhere is stopped: a stop takes at most 900 ms,
 * and the round and the order about 300 ms.
 */
export const SAVE_BEFORE_LEAVING_MS = 1_200;

/** A placed group with a task on a worker that leaves. */
export type DepartingGroup = PlacedGroup & { leavesInMs: number };

/** Whether the group has a task on a worker that leaves before the group's expected end. */
export function isDeparting(placed: PlacedGroup): placed is DepartingGroup {
    const { leavesInMs, remainingMs, isClosing, group } = placed;
    if (leavesInMs === undefined) {
        return false;
    }
    return isClosing || group.step.longRunning || remainingMs > LATE_FACTOR * leavesInMs;
}

/** Whether the group, which has no room elsewhere, is stopped so that its progress is saved. */
export function isSaved({ group, isClosing, leavesInMs }: DepartingGroup): boolean {
    return group.step.checkpointing && !isClosing && leavesInMs < SAVE_BEFORE_LEAVING_MS;
}

/** The group as it waits for a place once its stop is confirmed. */
export function toWaiting({ job, group, isGuaranteed, priority, value }: PlacedGroup): WaitingGroup {
    const takesAnyRoom = group.step.longRunning;
    return { job, group, isGuaranteed, priority, value, failedOn: new Set(), takesAnyRoom };
}
