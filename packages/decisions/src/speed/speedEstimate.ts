import type { Boot, TaskPlacement } from "../job/progressTypes.ts";
import {
    speedKey,
    workerOfKey,
    type SpeedObservation,
    type SpeedRecord,
    type WorkerSpeed,
} from "./speedTypes.ts";

/** Observations that earlier knowledge counts as at most, so that new ones soon outweigh it if the speed has changed. */
export const MAX_EARLIER_OBSERVATIONS = 4;

/** Additional observations of factor 1 for each worker: a few tasks that differ by 30 percent must not tell it apart. */
const NORMAL_OBSERVATIONS = 2;

/** Factors in this range count as 1, so that noise changes nothing where workers are alike. */
export const NORMAL_RANGE = { from: 0.8, to: 1.25 } as const;

/**
 * Observations without which a worker does not tell whether the workers of the deployment differ: one task that takes half
 * or twice the usual time is common.
 */
const MIN_OBSERVATIONS = 2;

/**
 * Workers that must be known, and the part of them that must differ, before any speed counts. Where workers are alike, some
 * differ by chance, or as a fault has slowed them down for a time.
 */
const MIN_KNOWN_WORKERS = 4;
const MIN_UNEQUAL_FRACTION = 0.25;

/** Limits of a factor, so that a few odd tasks do not make a worker appear useless. */
const MIN_FACTOR = 0.3;
const MAX_FACTOR = 3;

/** Minimum interval between two estimates, as an estimate costs more than a report. */
const ESTIMATE_INTERVAL_MS = 1_000;

/** Rounds of alternating means; each at least halves the error where workers have few observations. */
const ROUNDS = 12;

/** Estimates the speeds anew if there are new observations and the latest estimate is old enough. */
export function refreshSpeeds(record: SpeedRecord, now: number): void {
    if (!record.hasNewObservations || now - record.estimatedAt < ESTIMATE_INTERVAL_MS) {
        return;
    }
    record.estimatedAt = now;
    record.hasNewObservations = false;
    estimateSpeeds(record);
}

/**
 * Estimates the factors by alternating means of logarithms: the work of each step from the factors of its workers, then
 * the factor of each worker from its tasks.
 */
function estimateSpeeds(record: SpeedRecord): void {
    const byStep = comparableSteps(record.observations.values());
    const logFactors = new Map<string, number>();
    for (const [worker, { logFactor, observations }] of record.earlier) {
        logFactors.set(worker, (logFactor * observations) / (observations + NORMAL_OBSERVATIONS));
    }
    const logWorkByStep = new Map<string, number>();
    let counts = new Map<string, number>();
    for (let round = 0; round < ROUNDS; round++) {
        for (const [step, observations] of byStep) {
            let sum = 0;
            for (const { worker, logRunMs } of observations) {
                sum += logRunMs + (logFactors.get(worker) ?? 0);
            }
            logWorkByStep.set(step, sum / observations.length);
        }
        const sums = new Map<string, number>();
        counts = new Map();
        for (const [worker, { logFactor, observations }] of record.earlier) {
            sums.set(worker, logFactor * observations);
            counts.set(worker, observations);
        }
        for (const [step, observations] of byStep) {
            for (const { worker, logRunMs } of observations) {
                sums.set(worker, (sums.get(worker) ?? 0) + logWorkByStep.get(step)! - logRunMs);
                counts.set(worker, (counts.get(worker) ?? 0) + 1);
            }
        }
        for (const [worker, sum] of sums) {
            logFactors.set(worker, sum / (counts.get(worker)! + NORMAL_OBSERVATIONS));
        }
    }
    record.logWorkByStep = logWorkByStep;
    record.estimate = new Map();
    for (const [worker, logFactor] of logFactors) {
        const factor = limitFactor(Math.exp(logFactor));
        record.estimate.set(worker, { factor, observations: counts.get(worker) ?? 0 });
    }
    updateSlowest(record);
}

/** The observations by step, without the steps that ran on one worker only, which say nothing about it. */
function comparableSteps(observations: Iterable<SpeedObservation>): Map<string, SpeedObservation[]> {
    const byStep = new Map<string, SpeedObservation[]>();
    for (const observation of observations) {
        const known = byStep.get(observation.step);
        if (known) {
            known.push(observation);
        } else {
            byStep.set(observation.step, [observation]);
        }
    }
    for (const [step, known] of byStep) {
        if (new Set(known.map(({ worker }) => worker)).size < 2) {
            byStep.delete(step);
        }
    }
    return byStep;
}

function limitFactor(factor: number): number {
    return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
}

/**
 * The factor that the plan uses: 1 within the normal range, otherwise the mean of the observations. The additional
 * observations of factor 1 decide only whether a worker counts as normal; a factor with them shows a worker of 0.6 as 0.7,
 * which is enough for objectives that the worker misses.
 */
export function effectiveFactor({ factor, observations }: WorkerSpeed): number {
    if (observations <= 0 || (factor >= NORMAL_RANGE.from && factor <= NORMAL_RANGE.to)) {
        return 1;
    }
    return limitFactor(Math.exp(meanLogFactor({ factor, observations })));
}

/** Mean logarithm of the observed factors, without the additional observations of factor 1. */
function meanLogFactor({ factor, observations }: WorkerSpeed): number {
    return (Math.log(factor) * (observations + NORMAL_OBSERVATIONS)) / observations;
}

/** The factor that the plan uses for a worker; 1 if nothing is known of its boot, or if the workers count as equal. */
export function speedOf({ estimate, slowest }: SpeedRecord, worker: string, boot: Boot): number {
    const known = slowest === undefined ? undefined : estimate.get(speedKey(worker, boot));
    return known ? effectiveFactor(known) : 1;
}

/** What the plan is told of a worker's speed. */
export interface SpeedView {
    /** 1: normal, 0.5: tasks take twice as long. */
    speed: number;
    /** Whether the worker has no observations although others differ in speed. */
    isSpeedUnknown: boolean;
}

/**
 * The speed of a worker for the order of candidates. Where workers are known to differ, one without observations counts
 * as hardly faster than the slowest, as a gang on a few such workers is likely to have a slow one among them.
 */
export function speedViewOf(record: SpeedRecord, worker: string, boot: Boot): SpeedView {
    const { slowest, estimate } = record;
    if (slowest === undefined) {
        return { speed: 1, isSpeedUnknown: false };
    }
    const isSpeedUnknown = !estimate.has(speedKey(worker, boot));
    const speed = isSpeedUnknown ? slowest * UNKNOWN_ABOVE_SLOWEST : speedOf(record, worker, boot);
    return { speed, isSpeedUnknown };
}

/** Factor by which a worker without observations is preferred to the slowest known one. */
const UNKNOWN_ABOVE_SLOWEST = 1.05;

/** Sets the least factor, if enough of the known workers differ. */
function updateSlowest(record: SpeedRecord): void {
    let slowest = 1;
    let known = 0;
    let unequal = 0;
    for (const speed of record.estimate.values()) {
        if (speed.observations < MIN_OBSERVATIONS) {
            continue;
        }
        const effective = effectiveFactor(speed);
        slowest = Math.min(slowest, effective);
        known += 1;
        unequal += effective === 1 ? 0 : 1;
    }
    const areUnequal = known >= MIN_KNOWN_WORKERS && unequal > 0 && unequal >= known * MIN_UNEQUAL_FRACTION;
    record.slowest = areUnequal ? slowest : undefined;
}

/** The factor of the slowest worker of the placements, at whose pace a group runs. */
export function slowestSpeed(record: SpeedRecord, placements: TaskPlacement[]): number {
    let slowest = Infinity;
    for (const { worker, boot } of placements) {
        slowest = Math.min(slowest, speedOf(record, worker, boot));
    }
    return Number.isFinite(slowest) ? slowest : 1;
}

/** Takes over a factor that a former leader has stored. It counts as few observations, so that new ones soon outweigh it. */
export function restoreSpeed(record: SpeedRecord, key: string, stored: WorkerSpeed): void {
    if (stored.observations <= 0) {
        return;
    }
    const observations = Math.min(MAX_EARLIER_OBSERVATIONS, stored.observations);
    const logFactor = meanLogFactor({ ...stored, factor: limitFactor(stored.factor) });
    const factor = limitFactor(Math.exp((logFactor * observations) / (observations + NORMAL_OBSERVATIONS)));
    record.earlier.set(key, { logFactor, observations });
    record.estimate.set(key, { factor, observations });
    updateSlowest(record);
}

/** Drops what is known of former boots of workers, once no kept observation names them. */
export function forgetOtherBoots(record: SpeedRecord, bootOf: (worker: string) => Boot | undefined): void {
    const observed = new Set<string>();
    for (const { worker } of record.observations.values()) {
        observed.add(worker);
    }
    for (const known of [record.earlier, record.estimate]) {
        for (const key of known.keys()) {
            const worker = workerOfKey(key);
            const boot = bootOf(worker);
            if (boot && key !== speedKey(worker, boot) && !observed.has(key)) {
                known.delete(key);
            }
        }
    }
    updateSlowest(record);
}
