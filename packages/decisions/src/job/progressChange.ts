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

/**
 * Applies the ends of tasks in their order; those of other runs and of tasks without a placement are ignored. The cost
 * grows with the number of ends and that of placements, not with their product. `applied` holds the ends that count.
 */
export function applyTaskEnds<E extends TaskEndEvent>(
    group: GroupProgress,
    events: E[],
    policy: RestartPolicy,
): { group: GroupProgress; applied: E[] } {
    const open = new Map(group.placements.map(placement => [placement.index, placement]));
    const applied: E[] = [];
    let next = group;
    for (const event of events) {
        if (event.run === group.run && open.delete(event.index)) {
            next = applyEnd(next, event, policy, open.size);
            applied.push(event);
        }
    }
    return applied.length === 0
        ? { group, applied }
        : { group: { ...next, placements: [...open.values()] }, applied };
}

/** Applies the end of a task of the open run; `remaining` tasks of the run have not ended. */
function applyEnd(
    group: GroupProgress,
    event: TaskEndEvent,
    policy: RestartPolicy,
    remaining: number,
): GroupProgress {
    const next: GroupProgress = { ...group };
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
    return finishClosing({ ...next, phase: "closing" }, policy, remaining);
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
 * Moves a closing group without remaining tasks to `waiting`, or to `failed` if no attempt is left or the group crashes
 * the workers that run it.
 */
function finishClosing(group: GroupProgress, rules: RestartPolicy, remaining: number): GroupProgress {
    if (remaining > 0) {
        return group;
    }
    const isExhausted = !rules.longRunning && group.failures >= rules.attempts;
    return { ...group, phase: isExhausted || crashesWorkers(group, rules) ? "failed" : "waiting" };
}

const LINEAR_SEARCH_LIMIT = 8;
/** Placements by index of the large groups; a change of the placements creates another array. */
const placementIndexes = new WeakMap<TaskPlacement[], Map<number, TaskPlacement>>();

/** The open placement of a task; undefined if it has none. */
export function placementOf({ placements }: GroupProgress, index: number): TaskPlacement | undefined {
    if (placements.length <= LINEAR_SEARCH_LIMIT) {
        return placements.find(placement => placement.index === index);
    }
    let byIndex = placementIndexes.get(placements);
    if (!byIndex) {
        byIndex = new Map(placements.map(placement => [placement.index, placement]));
        placementIndexes.set(placements, byIndex);
    }
    return byIndex.get(index);
}
