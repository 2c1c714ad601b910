import { parseTaskName } from "@tanagerdeck/decisions/job/taskGroups";

/** The task, or its gang, whose checkpoints may be handed to a run of the task. */
export function checkpointOwner(task: string, isGang: boolean): string {
    const { job, occurrence, stepIndex } = parseTaskName(task) ?? {};
    return isGang ? `${job}.${occurrence}.${stepIndex}` : task;
}

/** A checkpoint of the owner after `workMs` of work. */
export function checkpointText(owner: string, workMs: number): string {
    return `${owner}@${Math.floor(workMs)}`;
}

export function isOwnCheckpoint(owner: string, checkpoint: string): boolean {
    return checkpoint.startsWith(`${owner}@`);
}

/** Work that a checkpoint holds, in milliseconds; 0 without one. */
export function checkpointMs(checkpoint = ""): number {
    return Number(checkpoint.split("@")[1] ?? 0);
}
