import type { GroupPhase, Progress } from "../job/progressTypes.ts";
import { groupProgress } from "../job/progressChange.ts";
import type { TaskGroup } from "../job/taskGroups.ts";

/** What a scheduling round needs to know of a job's groups, so that it does not read each of them. */
export interface GroupIndex {
    /** Waiting groups by step and occurrence; steps without any are absent. */
    waiting: Map<string, Set<TaskGroup>>;
    /** Number of groups that are not done, by step and occurrence. */
    unfinishedOfStep: Map<string, number>;
    /** Number of groups of the job that are not done. */
    unfinished: number;
    /** Number of failed groups of the job. */
    failed: number;
}

/** Key of a step in one occurrence of its job. */
export function stepIndexKey(occurrence: number, stepIndex: number): string {
    return `${occurrence}.${stepIndex}`;
}

/** Builds the index of a job's groups from its progress. */
export function createGroupIndex(groups: TaskGroup[], progress: Progress): GroupIndex {
    const index: GroupIndex = { waiting: new Map(), unfinishedOfStep: new Map(), unfinished: 0, failed: 0 };
    for (const group of groups) {
        countPhase(index, group, groupProgress(progress, group.key).phase, 1);
    }
    return index;
}

/** Moves a group of the index from one phase to another. */
export function movePhase(index: GroupIndex, group: TaskGroup, from: GroupPhase, to: GroupPhase): void {
    if (from !== to) {
        countPhase(index, group, from, -1);
        countPhase(index, group, to, 1);
    }
}

/** Whether all groups of a step are done. */
export function isStepDone(index: GroupIndex, occurrence: number, stepIndex: number): boolean {
    return (index.unfinishedOfStep.get(stepIndexKey(occurrence, stepIndex)) ?? 0) === 0;
}

function countPhase(index: GroupIndex, group: TaskGroup, phase: GroupPhase, change: 1 | -1): void {
    const key = stepIndexKey(group.occurrence, group.stepIndex);
    if (phase !== "done") {
        index.unfinished += change;
        index.unfinishedOfStep.set(key, (index.unfinishedOfStep.get(key) ?? 0) + change);
    }
    if (phase === "failed") {
        index.failed += change;
    }
    if (phase !== "waiting") {
        return;
    }
    const waiting = index.waiting.get(key) ?? new Set();
    if (change === 1) {
        index.waiting.set(key, waiting.add(group));
        return;
    }
    waiting.delete(group);
    if (waiting.size === 0) {
        index.waiting.delete(key);
    }
}
