import type { TaskEnd } from "@tanagerdeck/decisions/job/progressTypes";

/** What the tasks of one step do; a job carries the scripts of its steps in JSON as its `spec`. */
export interface TaskScript {
    job: string;
    durationMs: number;
    cpuMillis: number;
    gpus: number;
    /** Number of tasks in the gang; 1 for a task without a gang. */
    gang: number;
    /** Number of runs that end as `failed` before one ends as `done`. */
    failures: number;
    memoryMb?: number;
    /** Positions of the steps that must be done first. */
    after?: number[];
    /** Whether the task runs until it is stopped, except for the runs that fail. */
    longRunning?: boolean;
    checkpointing?: boolean;
    /** Whether the members of the gang slow down unless they share a rack. */
    sameRack?: boolean;
    /** Rack on which the task does not slow down. */
    dataRack?: string;
    requiredLabel?: string;
    /** Maximum number of the step's tasks, in one occurrence, on one worker. */
    maxPerWorker?: number;
}

/** A step of a job with the number of its tasks. */
export interface ScriptedStep {
    tasks: number;
    script: TaskScript;
}

/** An event on a worker. */
export interface WorkerEvent {
    /**
     * - `recorded`: the end was acknowledged as recorded, and the worker has dropped it from its list.
     * - `foreign-progress`: a start has carried the checkpoint of another task.
     */
    kind: "started" | "ended" | "recorded" | "over-capacity" | "foreign-progress";
    worker: string;
    task: string;
    run: number;
    /** Whether the event comes from a call that the worker executed long after it was sent. */
    isLate?: boolean;
    end?: TaskEnd;
    /** Time on the emulator's clock. */
    atMs: number;
}

/** A worker's drain notice was acknowledged (`draining`), or a new boot has replaced the worker (`replaced`). */
export interface DrainEvent {
    kind: "draining" | "replaced";
    worker: string;
    atMs: number;
}

/** The store has acknowledged the evacuation of an availability zone (`evacuated`), or its end (`restored`). */
export interface ZoneEvent {
    kind: "evacuated" | "restored";
    zone: string;
    /** Names of the workers in the zone. */
    workers: string[];
    atMs: number;
}

/** An event that an emulated deployment reports. */
export type EmulatorEvent = WorkerEvent | DrainEvent | ZoneEvent;

/** Encodes the scripts of a job's steps as its `spec`. */
export function serializeScripts(scripts: TaskScript[]): string {
    return JSON.stringify(scripts);
}

/** Parses the script of a step; undefined if the text is not JSON or has no such step. */
export function parseScript(text: string, stepIndex: number): TaskScript | undefined {
    try {
        return (JSON.parse(text) as TaskScript[])[stepIndex];
    } catch {
        return undefined;
    }
}
