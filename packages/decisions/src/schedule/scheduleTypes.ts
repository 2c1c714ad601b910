import type { Job, Resources } from "../job/jobTypes.ts";
import type { TaskGroup } from "../job/taskGroups.ts";
import type { JobValue } from "./jobValue.ts";

/** A worker as the scheduling round sees it. */
export interface WorkerView {
    /** Name of the agent beside it. */
    name: string;
    service: string;
    rack: string | undefined;
    labels: string[];
    capacity: Resources;
    /** Capacity that no open placement occupies. */
    free: Resources;
    /** Capacity of placements that are already being closed. */
    closing: Resources;
    /** Whether it takes new tasks. */
    isSchedulable: boolean;
    /** How little it is trusted, from recent failures; 0 is full trust. */
    recentFaults: number;
    /** Number of open tasks by step, keyed `job.occurrence.step`. */
    tasksByStep: Map<string, number>;
}

/** A group that waits for a place. */
export interface WaitingGroup {
    job: Job;
    group: TaskGroup;
    /** Whether the client account's guarantee covers the job. */
    isGuaranteed: boolean;
    priority: number;
    value: JobValue;
    /** Workers on which the group has failed. */
    failedOn: ReadonlySet<string>;
}

/** A group with open placements. */
export interface PlacedGroup {
    job: Job;
    group: TaskGroup;
    isGuaranteed: boolean;
    priority: number;
    /** Names of the workers of its open placements, one for each task. */
    workers: string[];
    /** Whether it is already being closed. */
    isClosing: boolean;
    value: JobValue;
    /** Expected time until its run ends, in milliseconds. */
    remainingMs: number;
    /** Work that a stop would throw away, in core-seconds. */
    lostCoreSeconds: number;
    /** Time that a stop would throw away, in milliseconds. */
    lostMs: number;
}

/** Where one task is to run. */
export interface TaskPlace {
    index: number;
    worker: string;
}

/** One decision of a round. */
export type Decision =
    /** `isFar` says that tasks run away from their data or from each other and are slower. */
    | { kind: "place"; job: string; group: string; places: TaskPlace[]; isFar: boolean }
    /** Closes a group's run to make room for another one. */
    | { kind: "preempt"; job: string; group: string; for: string };

/** Key under which a step's tasks are counted on a worker. */
export function stepKey(job: string, group: Pick<TaskGroup, "occurrence" | "stepIndex">): string {
    return `${job}.${group.occurrence}.${group.stepIndex}`;
}
