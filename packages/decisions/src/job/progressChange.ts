import type { GroupProgress, TaskCrashes, TaskPlacement, Progress, TaskEnd } from "./progressTypes.ts";
import { emptyGroupProgress } from "./progressTypes.ts";

/** Event: one task of a run has ended. */
export interface TaskEndEvent {
    index: number;
    run: number;
    end: TaskEnd;
    /** Checkpoint reported with the end. */
    saved?: string | undefined;
}

/** Crashes right after the start after which the task counts as their cause. */
const MAX_START_CRASHES = 3;
/** Crashes after which the task counts as their cause, whenever they came. */
const MAX_CRASHES = 5;

/** Decides whether a group runs again after a run: the type of its step and the queue's limit of failed runs. */
export interface RestartPolicy {
    gang: boolean;
    longRunning: boolean;
    attempts: number;
}

/** The recorded progress of a group, or empty progress if the group was never placed. */
export function groupProgress(progress: Progress, key: string): GroupProgress {
    return progress.groups[key] ?? emptyGroupProgress();
}

/** Opens the next run of a group at the given placements. */
export function openRun(group: GroupProgress, placements: TaskPlacement[]): GroupProgress {
    return { ...group, phase: "placed", run: group.run + 1, placements };
}

/** Closes the open run: all its tasks must end before the group can be placed again. */
export function closeRun(group: GroupProgress): GroupProgress {
    return group.phase === "placed" ? { ...group, phase: "closing" } : group;
}

/** Applies the end of a task. Ignores ends of other runs and of tasks without a placement. */
export function applyTaskEnd(
    group: GroupProgress,
    event: TaskEndEvent,
    policy: RestartPolicy,
): GroupProgress {
    const hasPlacement = group.placements.some(placement => placement.index === event.index);
    if (event.run !== group.run || !hasPlacement) {
        return group;
    }
    const placements = group.placements.filter(placement => placement.index !== event.index);
    const next: GroupProgress = { ...group, placements };
    if (event.saved) {
        next.saved = event.saved;
    }
    if (next.phase === "done" || next.phase === "failed") {
        return next;
    }
    if (event.end === "done" && !policy.longRunning) {
        return { ...next, phase: "done", saved: undefined };
    }
    if (event.end === "failed" && next.failedRun !== event.run) {
        next.failures += 1;
        next.failedRun = event.run;
    }
    if (event.end === "crashed-at-start" || event.end === "crashed") {
        next.crashes = { ...next.crashes, [event.index]: countCrash(next.crashes?.[event.index], event.end) };
    }
    return finishClosing({ ...next, phase: "closing" }, policy);
}

function countCrash(known: TaskCrashes = { total: 0, atStart: 0 }, end: TaskEnd): TaskCrashes {
    return { total: known.total + 1, atStart: known.atStart + (end === "crashed-at-start" ? 1 : 0) };
}

/** Whether workers crash so often under a task of the group that another start would only take down one more. */
export function crashesWorkers({ crashes = {} }: GroupProgress, { longRunning }: RestartPolicy): boolean {
    for (const { total, atStart } of Object.values(crashes)) {
        // A task that runs for months sees crashes that it did not cause, but not at its start.
        if (atStart >= MAX_START_CRASHES || (!longRunning && total >= MAX_CRASHES)) {
            return true;
        }
    }
    return false;
}

/**
 * Moves a closing group without placements to `waiting`, or to `failed` if no attempt is left or the group crashes the
 * workers that run it.
 */
function finishClosing(group: GroupProgress, rules: RestartPolicy): GroupProgress {
    if (group.phase !== "closing" || group.placements.length > 0) {
        return group;
    }
    const isExhausted = !rules.longRunning && group.failures >= rules.attempts;
    return { ...group, phase: isExhausted || crashesWorkers(group, rules) ? "failed" : "waiting" };
}
