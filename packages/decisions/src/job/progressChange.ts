import type { GroupProgress, Placement, Progress, TaskEnd } from "./progressTypes.ts";
import { emptyGroupProgress } from "./progressTypes.ts";

/** The end of a run of one task. */
export interface TaskEnded {
    index: number;
    run: number;
    end: TaskEnd;
    /** Checkpoint listed with the end. */
    saved?: string | undefined;
}

/** What decides about a group after a run: its step's kind and the queue's limit of failed runs. */
export interface GroupRules {
    gang: boolean;
    longRunning: boolean;
    attempts: number;
}

/** The progress of a group, also before its first run. */
export function groupProgress(progress: Progress, key: string): GroupProgress {
    return progress.groups[key] ?? emptyGroupProgress();
}

/** Opens the next run of a group at the given placements. */
export function openRun(group: GroupProgress, placements: Placement[]): GroupProgress {
    return { ...group, phase: "placed", run: group.run + 1, placements };
}

/** Requires the open run to end everywhere. */
export function closeRun(group: GroupProgress): GroupProgress {
    return group.phase === "placed" ? { ...group, phase: "closing" } : group;
}

/** Applies the end of a task's run; ends of other runs and of unknown tasks change nothing. */
export function endTask(group: GroupProgress, ended: TaskEnded, rules: GroupRules): GroupProgress {
    const isOpen = group.placements.some(placement => placement.index === ended.index);
    if (ended.run !== group.run || !isOpen) {
        return group;
    }
    const placements = group.placements.filter(placement => placement.index !== ended.index);
    const next: GroupProgress = { ...group, placements };
    if (ended.saved) {
        next.saved = ended.saved;
    }
    if (next.phase === "done" || next.phase === "failed") {
        return next;
    }
    if (ended.end === "done" && !rules.longRunning) {
        return { ...next, phase: "done", saved: undefined };
    }
    if (ended.end === "failed" && next.failedRun !== ended.run) {
        next.failures += 1;
        next.failedRun = ended.run;
    }
    return settleClosing({ ...next, phase: "closing" }, rules);
}

/** A closing group without placements waits again, or has failed if no attempt is left. */
function settleClosing(group: GroupProgress, rules: GroupRules): GroupProgress {
    if (group.phase !== "closing" || group.placements.length > 0) {
        return group;
    }
    const isExhausted = !rules.longRunning && group.failures >= rules.attempts;
    return { ...group, phase: isExhausted ? "failed" : "waiting" };
}
