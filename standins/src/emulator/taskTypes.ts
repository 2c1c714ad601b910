import type { TaskEnd } from "@tanagerdeck/decisions/job/progressTypes";

/** What a task of the emulator does; it is the text that its job carries as its spec. */
export interface TaskScript {
    job: string;
    durationMs: number;
    cpuMillis: number;
    gpus: number;
    /** Tasks of a gang; 1 for a plain task. */
    gang: number;
    /** Runs that end as failed before one is done. */
    failures: number;
}

/** Something that a worker did. */
export interface WorkerEvent {
    /** `recorded`: the end was taken note of, and the worker has forgotten it. */
    kind: "started" | "ended" | "recorded" | "over-capacity";
    worker: string;
    task: string;
    run: number;
    /** Whether the worker executed the order long after it was sent. */
    isLate?: boolean;
    end?: TaskEnd;
    /** Time on the emulator's clock. */
    atMs: number;
}

/** A worker's announcement that it leaves was acknowledged, or its next life has begun. */
export interface DrainEvent {
    kind: "draining" | "replaced";
    worker: string;
    atMs: number;
}

/** The text of a script. */
export function serializeScript(script: TaskScript): string {
    return JSON.stringify(script);
}

/** Reads a script; undefined if the text is not one, as when an order carries another job's text. */
export function parseScript(text: string): TaskScript | undefined {
    try {
        return JSON.parse(text) as TaskScript;
    } catch {
        return undefined;
    }
}
