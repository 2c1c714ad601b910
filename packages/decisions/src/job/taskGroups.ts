import type { Job, Step } from "./jobTypes.ts";

/** Unit of placement: all tasks of a gang, or a single task of another step. */
export interface TaskGroup {
    /** Key within the job: `OCCURRENCE.STEP` for a gang, `OCCURRENCE.STEP.INDEX` otherwise. */
    key: string;
    occurrence: number;
    /** Position of the step in the job. */
    stepIndex: number;
    step: Step;
    /** Positions of the group's tasks in the step. */
    indexes: number[];
    /** Position among the groups of all occurrences of the job. */
    position: number;
}

/** Identifies one task. */
export interface TaskId {
    job: string;
    occurrence: number;
    stepIndex: number;
    index: number;
}

/** Number of times that the job's steps run. */
export function occurrenceCount(job: Job): number {
    return job.schedule?.occurrences ?? 1;
}

/** Wall-clock time before which an occurrence must not start; 0 for a job without a schedule. */
export function dueAtMs(job: Job, occurrence: number): number {
    return job.schedule ? job.schedule.firstDueMs + occurrence * job.schedule.intervalMs : 0;
}

/** The groups of one occurrence, in the order of the steps. */
export function taskGroupsOf(job: Job, occurrence: number): TaskGroup[] {
    const groups: TaskGroup[] = [];
    let position = occurrence * groupsPerOccurrence(job);
    for (const [stepIndex, step] of job.steps.entries()) {
        const indexes = Array.from({ length: step.count }, (_, index) => index);
        if (step.gang) {
            const key = `${occurrence}.${stepIndex}`;
            groups.push({ key, occurrence, stepIndex, step, indexes, position });
            position += 1;
            continue;
        }
        for (const index of indexes) {
            const key = `${occurrence}.${stepIndex}.${index}`;
            groups.push({ key, occurrence, stepIndex, step, indexes: [index], position });
            position += 1;
        }
    }
    return groups;
}

function groupsPerOccurrence({ steps }: Job): number {
    let groups = 0;
    for (const { gang, count } of steps) {
        groups += gang ? 1 : count;
    }
    return groups;
}

/** The key of the group that a task belongs to; undefined if the job has no such task. */
export function groupKeyOf(job: Job, id: TaskId): string | undefined {
    const step = job.steps[id.stepIndex];
    if (!step || id.index >= step.count || id.occurrence >= occurrenceCount(job)) {
        return undefined;
    }
    const key = `${id.occurrence}.${id.stepIndex}`;
    return step.gang ? key : `${key}.${id.index}`;
}

/** The task's name in orders and reports: `JOB.OCCURRENCE.STEP.INDEX`. */
export function taskName(id: TaskId): string {
    return `${id.job}.${id.occurrence}.${id.stepIndex}.${id.index}`;
}

const TASK_NAME = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/;

/** Parses the name of a task; undefined if the name has another form. */
export function parseTaskName(name: string): TaskId | undefined {
    const [, job, occurrence, stepIndex, index] = TASK_NAME.exec(name) ?? [];
    if (job === undefined) {
        return undefined;
    }
    return { job, occurrence: Number(occurrence), stepIndex: Number(stepIndex), index: Number(index) };
}
