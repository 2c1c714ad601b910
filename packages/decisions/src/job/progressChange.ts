import type { GroupProgress, TaskPlacement, Progress, TaskEnd } from "./progressTypes.ts";
import { emptyGroupProgress } from "./progressTypes.ts";

/** The end of a run of one task. */
export interface TaskEndEvent {
    index: number;
    run: number;
    end: TaskEnd;
    /** Checkpoint listed with the end. */
    saved?: string | undefined;
}

/** What decides about a group after a run: its step's kind and the queue's limit of failed runs. */
export interface RestartPolicy {
    gang: boolean;
    longRunning: boolean;
    attempts: number;
}

/** The progress of a group, also before its first run. */
export function groupProgress(progress: Progress, key: string): GroupProgress {
    return progress.groups[key] ?? emptyGroupProgress();
}

/** Opens the next run of a group at the given placements. */
export function openRun(group: GroupProgress, placements: TaskPlacement[]): GroupProgress {
    return { ...group, phase: "placed", run: group.run + 1, placements };
}

/** Requires the open run to end everywhere. */
export function closeRun(group: GroupProgress): GroupProgress {
    return group.phase === "placed" ? { ...group, phase: "closing" } : group;
}

/** Applies the end of a task's run; ends of other runs and of unknown tasks change nothing. */
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
    return finishClosing({ ...next, phase: "closing" }, policy);
}

/** A closing group without placements waits again, or has failed if no attempt is left. */
function finishClosing(group: GroupProgress, rules: RestartPolicy): GroupProgress {
    if (group.phase !== "closing" || group.placements.length > 0) {
        return group;
    }
    const isExhausted = !rules.longRunning && group.failures >= rules.attempts;
    return { ...group, phase: isExhausted ? "failed" : "waiting" };
}
