import { sameBoot, type Boot } from "../job/progressTypes.ts";
import { runKey, type StartOrder, type StopOrder } from "../worker/workerReport.ts";
import {
    isCancelledOrEnded,
    openPlacements,
    type JobEntry,
    type ClusterState,
    type WorkerEntry,
} from "./clusterState.ts";
import { runIdOf } from "./planReport.ts";
import { isUnlistedUnknown } from "./unlistedTask.ts";

/** Orders of the leader for one agent. */
export interface WorkerOrders {
    starts: StartOrder[];
    stops: StopOrder[];
    recorded: { boot: Boot; number: number } | undefined;
}

/** Builds the starts and stops that a worker has not yet carried out, and the number up to which its ends are recorded. */
export function buildOrders(cluster: ClusterState, worker: WorkerEntry): WorkerOrders {
    const starts: StartOrder[] = [];
    const stops: StopOrder[] = [];
    const boot = worker.description?.boot;
    const reportedRuns = new Set<string>();
    for (const row of [...(worker.report?.running ?? []), ...(worker.report?.ended ?? [])]) {
        reportedRuns.add(runKey(row));
    }
    for (const { entry, group, progress, placement } of openPlacements(cluster, worker.name)) {
        const run = runIdOf(entry, group, placement.index, progress.run);
        if (progress.phase !== "placed" || isCancelledOrEnded(entry)) {
            stops.push({ ...run, boot: placement.boot });
            continue;
        }
        const isRecorded = entry.recordedVersion >= (entry.runs.get(group.key)?.version ?? 0);
        if (!isRecorded || !boot || !sameBoot(boot, placement.boot) || reportedRuns.has(runKey(run))) {
            continue;
        }
        const openRun = entry.runs.get(group.key);
        const task = openRun?.tasks.get(placement.index);
        if ((openRun?.hasStarted || task) && isUnlistedUnknown(worker, task)) {
            // It may have ended; the worker would refuse another start.
            continue;
        }
        starts.push({ ...run, boot: placement.boot, spec: entry.job.spec, saved: progress.saved });
    }
    if (boot) {
        for (const stray of worker.strayRuns) {
            stops.push({ ...stray, boot });
        }
    }
    return { starts, stops, recorded: boot && { boot, number: highestRecordedEnd(cluster, worker) } };
}

/** The highest number up to which all reported ends are recorded. */
function highestRecordedEnd(cluster: ClusterState, worker: WorkerEntry): number {
    let number = 0;
    for (const [end, { job, version }] of [...worker.reportedEnds].sort(([left], [right]) => left - right)) {
        const entry: JobEntry | undefined = job === undefined ? undefined : cluster.jobs.get(job);
        if (entry && (version === undefined || entry.recordedVersion < version)) {
            break;
        }
        number = end;
    }
    return number;
}
