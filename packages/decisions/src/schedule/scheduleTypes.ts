import type { Job, Resources } from "../job/jobTypes.ts";
import type { TaskGroup } from "../job/taskGroups.ts";
import type { JobValue } from "./jobValue.ts";

/** Input of the scheduling round for one worker. */
export interface WorkerView {
    /** Name of the worker's agent. */
    name: string;
    service: string;
    rack: string | undefined;
    labels: string[];
    capacity: Resources;
    /** Capacity that no open placement occupies. */
    free: Resources;
    /** Capacity of placements that are already being closed. */
    closing: Resources;
    /** Whether new tasks may be placed on the worker. */
    isSchedulable: boolean;
    /** Whether only tasks that have no attempts to lose may be placed on the worker, which has failed several groups. */
    isQuarantined: boolean;
    /** Number of recent faults; workers with fewer are preferred. */
    recentFaults: number;
    /** Whether the worker is slow after a cold start; among those with as many faults, warm ones are preferred. */
    isCold?: boolean | undefined;
    /** Learned speed factor: 1 if absent, 0.5 if tasks take twice as long. */
    speed?: number | undefined;
    /** Whether nothing is known of the worker's speed although others differ. */
    isSpeedUnknown?: boolean | undefined;
    /** Number of open tasks by step, keyed `job.occurrence.step`. */
    tasksByStep: Map<string, number>;
}

/** A group that is ready to be placed. */
export interface WaitingGroup {
    job: Job;
    group: TaskGroup;
    /** Whether the client account's guarantee covers the job. */
    isGuaranteed: boolean;
    priority: number;
    value: JobValue;
    /** Workers that the group avoids for now, above all those on which it has just failed. */
    failedOn: ReadonlySet<string>;
    /** Whether the group takes any free capacity at once: that of planned places, and that far from its data, too. */
    takesAnyRoom: boolean;
    /** Speed factor that workers need for the group to end within its objective; all suffice if absent. */
    neededSpeed?: number | undefined;
}

/** A group with open placements. */
export interface PlacedGroup {
    job: Job;
    group: TaskGroup;
    isGuaranteed: boolean;
    priority: number;
    /** Names of the workers of its open placements, one for each task. */
    workers: string[];
    /** Whether its run is already being closed. */
    isClosing: boolean;
    value: JobValue;
    /** Expected time until its run ends, in milliseconds. */
    remainingMs: number;
    /** Time until the first of its workers leaves; absent if none does or the group may not be moved. */
    leavesInMs?: number | undefined;
    /** Work that a preemption would lose, in core-seconds. */
    lostCoreSeconds: number;
    /** Run time that a preemption would lose, in milliseconds. */
    lostMs: number;
}

/** The worker chosen for one task. */
export interface TaskPlace {
    index: number;
    worker: string;
}

/** One decision of a scheduling round. */
export type Decision =
    /** `isFar`: tasks run on another rack than their data or than each other and are slower. */
    | { kind: "place"; job: string; group: string; places: TaskPlace[]; isFar: boolean }
    /** Closes a group's run to free capacity for the job `for`. */
    | { kind: "preempt"; job: string; group: string; for: string }
    /** Closes a group's run because one of its workers leaves before the group's expected end. */
    | { kind: "move"; job: string; group: string };

/** Key under which a step's tasks are counted on a worker. */
export function stepKey(job: string, group: Pick<TaskGroup, "occurrence" | "stepIndex">): string {
    return `${job}.${group.occurrence}.${group.stepIndex}`;
}
