import type { Boot } from "../job/progressTypes.ts";

/** Expected run time of one task on one worker. */
export interface SpeedObservation {
    /** Key of the step, among whose tasks the run times are compared. */
    step: string;
    /** Key of the worker and its boot. */
    worker: string;
    /** Natural logarithm of the expected run time in milliseconds. */
    logRunMs: number;
}

/** What is known of a worker from observations that are no longer kept. */
export interface EarlierSpeed {
    /** Mean of the natural logarithms of the observed factors. */
    logFactor: number;
    /** Number of observations that the mean counts as. */
    observations: number;
}

/** Estimated speed of one worker. */
export interface WorkerSpeed {
    /** 1: normal, 0.5: tasks take twice as long; closer to 1 than the observations where these are few. */
    factor: number;
    /** Number of observations on which the factor rests. */
    observations: number;
}

/** The leader's knowledge of the workers' speeds. */
export interface SpeedRecord {
    /** Observations by task, oldest first. */
    observations: Map<string, SpeedObservation>;
    /** Earlier knowledge by worker key. */
    earlier: Map<string, EarlierSpeed>;
    /** Latest estimate by worker key. */
    estimate: Map<string, WorkerSpeed>;
    /** Natural logarithm of the run time of each step's tasks on a normal worker, as of the latest estimate. */
    logWorkByStep: Map<string, number>;
    /** Time of the latest estimate on the leader's clock. */
    estimatedAt: number;
    hasNewObservations: boolean;
    /** Least factor outside of the normal range or 1; undefined while all known workers count as equal. */
    slowest: number | undefined;
}

/** Creates a record without any knowledge. */
export function createSpeedRecord(): SpeedRecord {
    return {
        observations: new Map(),
        earlier: new Map(),
        estimate: new Map(),
        logWorkByStep: new Map(),
        estimatedAt: -Infinity,
        hasNewObservations: false,
        slowest: undefined,
    };
}

/** Key of a worker in one boot; a rebooted worker may be another machine. */
export function speedKey(worker: string, { id, bornMs }: Boot): string {
    return JSON.stringify([worker, id, bornMs]);
}

/** Name of the worker in a key of `speedKey`. */
export function workerOfKey(key: string): string {
    return (JSON.parse(key) as [string])[0];
}
