import type { TaskEnd } from "@tanagerdeck/decisions/job/progressTypes";

/** What an emulated task does; a job carries it in JSON as its `spec`. */
export interface TaskScript {
    job: string;
    durationMs: number;
    cpuMillis: number;
    gpus: number;
    /** Number of tasks in the gang; 1 for a task without a gang. */
    gang: number;
    /** Number of runs that end as `failed` before one ends as `done`. */
    failures: number;
}

/** An event on a worker. */
export interface WorkerEvent {
    /** `recorded`: the end was acknowledged as recorded, and the worker has dropped it from its list. */
    kind: "started" | "ended" | "recorded" | "over-capacity";
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

/** Encodes a script as the `spec` of a job. */
export function serializeScript(script: TaskScript): string {
    return JSON.stringify(script);
}

/** Parses a script; undefined if the text is not JSON, as when an order carries the spec of another job. */
export function parseScript(text: string): TaskScript | undefined {
    try {
        return JSON.parse(text) as TaskScript;
    } catch {
        return undefined;
    }
}
