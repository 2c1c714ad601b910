import type { Job } from "../job/jobTypes.ts";
import type { TaskGroup } from "../job/taskGroups.ts";
import { stepKey } from "../schedule/scheduleTypes.ts";
import type { WorkerDescription } from "../worker/workerReport.ts";
import { MAX_EARLIER_OBSERVATIONS } from "./speedEstimate.ts";
import { speedKey, type SpeedObservation, type SpeedRecord } from "./speedTypes.ts";

/** Progress of a task at one time on the leader's clock. */
export interface ProgressPoint {
    at: number;
    /** Share of the work that is done, 0 to 100. */
    percent: number;
}

/** A task of an open run. */
export interface ObservedTask {
    entry: { job: Job };
    group: TaskGroup;
    index: number;
}

/** The worker that runs an observed task. */
export interface ObservedWorker {
    name: string;
    description: Pick<WorkerDescription, "boot" | "rack" | "coldRemainingMs"> | undefined;
}

/** Number of tasks whose observations are kept: about ten for each worker of a small site. */
const MAX_OBSERVATIONS = 600;

/** Progress from which a pace is used: reports are up to some 100 ms old, which distorts the pace of a shorter part. */
const MIN_PERCENT = 20;

/**
 * Whether the run time of a task tells the speed of its worker. Tasks of a gang end together, a long-running task does not
 * end, a task away from its data waits for it, and a worker that is still cold is slower than it will be.
 */
function isTelling({ group }: ObservedTask, { description }: ObservedWorker): boolean {
    const { gang, longRunning, dataRack } = group.step;
    return (
        !gang &&
        !longRunning &&
        (dataRack === undefined || dataRack === description?.rack) &&
        !isCold(description)
    );
}

function isCold(description: ObservedWorker["description"]): boolean {
    return (description?.coldRemainingMs ?? 0) > 0;
}

/**
 * Returns the point from which the pace of a task is measured: that of its first report, or of the latest one while the
 * worker is cold. A task that resumes from a checkpoint, or that a new leader finds running, does not begin at 0 percent.
 */
export function paceOrigin(
    known: ProgressPoint | undefined,
    { description }: ObservedWorker,
    latest: ProgressPoint,
): ProgressPoint {
    return known && !isCold(description) ? known : latest;
}

/** Notes the expected run time of a task whose progress has risen, or which has ended at 100 percent. */
export function observeTask(
    record: SpeedRecord,
    worker: ObservedWorker,
    task: ObservedTask,
    origin: ProgressPoint | undefined,
    { at, percent }: ProgressPoint,
): void {
    const boot = worker.description?.boot;
    const gained = origin ? percent - origin.percent : 0;
    const elapsedMs = origin ? at - origin.at : 0;
    if (!boot || gained < MIN_PERCENT || elapsedMs <= 0 || !isTelling(task, worker)) {
        return;
    }
    const step = stepKey(task.entry.job.id, task.group);
    const name = `${step}.${task.index}`;
    // Removed first, so that the observations stay in the order of their latest change.
    record.observations.delete(name);
    record.observations.set(name, {
        step,
        worker: speedKey(worker.name, boot),
        logRunMs: Math.log((elapsedMs * 100) / gained),
    });
    record.hasNewObservations = true;
    for (const [oldest, observation] of record.observations) {
        if (record.observations.size <= MAX_OBSERVATIONS) {
            break;
        }
        record.observations.delete(oldest);
        retain(record, observation);
    }
}

/** Adds a removed observation to the earlier knowledge, so that a worker without new ones keeps its factor. */
function retain(record: SpeedRecord, { step, worker, logRunMs }: SpeedObservation): void {
    const logWork = record.logWorkByStep.get(step);
    if (logWork === undefined) {
        return;
    }
    const { logFactor, observations } = record.earlier.get(worker) ?? { logFactor: 0, observations: 0 };
    const total = observations + 1;
    record.earlier.set(worker, {
        logFactor: (logFactor * observations + logWork - logRunMs) / total,
        observations: Math.min(MAX_EARLIER_OBSERVATIONS, total),
    });
}
