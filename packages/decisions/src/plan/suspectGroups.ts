import { groupProgress } from "../job/progressChange.ts";
import type { TaskGroup } from "../job/taskGroups.ts";
import { START_PHASE_MS } from "../worker/startPhase.ts";
import type { Decision } from "../schedule/scheduleTypes.ts";
import { openPlacements, type ClusterState, type JobEntry, type OpenRunState } from "./clusterState.ts";

/** Whether a task of a run has been running for so long that its start did not crash the worker. */
function hasSurvivedStart(run: OpenRunState, index: number, now: number): boolean {
    return run.tasks.has(index) && now - run.openedAt >= START_PHASE_MS;
}

/**
 * Whether a worker has crashed at the start of a task of the group, which may be the cause or a bystander. After a later
 * crash the next start would not show which of them it is.
 */
function isSuspect(entry: JobEntry, { key }: TaskGroup): boolean {
    return Object.values(groupProgress(entry.progress, key).crashes ?? {}).some(({ atStart }) => atStart > 0);
}

/** Time after a crash for which a suspect waits for the starts of others; two of them may start on a worker meanwhile. */
const SEPARATION_MS = 4_000;

/** Whether the group is a suspect of a recent crash, which does not start on a worker on which another one is starting. */
export function isSeparated(entry: JobEntry, group: TaskGroup, now: number): boolean {
    const lastFailureAt = Math.max(...(entry.failedOn.get(group.key)?.values() ?? []));
    return now - lastFailureAt < SEPARATION_MS && isSuspect(entry, group);
}

/** Workers on which a suspect is starting. */
export function workersOfStartingSuspects(cluster: ClusterState, now: number): Set<string> {
    const workers = new Set<string>();
    for (const { entry, group, placement } of openPlacements(cluster)) {
        const run = entry.runs.get(group.key);
        if (isSuspect(entry, group) && !(run && hasSurvivedStart(run, placement.index, now))) {
            workers.add(placement.worker);
        }
    }
    return workers;
}

/**
 * Drops placements that would start two suspects on one worker, so that the next crash shows which of them caused it.
 * A dropped group stays waiting, but not for long: the workers that it may use may be few.
 */
export function separateSuspects(cluster: ClusterState, decisions: Decision[], now: number): Decision[] {
    const taken = workersOfStartingSuspects(cluster, now);
    const kept: Decision[] = [];
    for (const decision of decisions) {
        const entry = cluster.jobs.get(decision.job);
        const group = entry?.groupsByKey.get(decision.group);
        if (decision.kind === "place" && entry && group && isSeparated(entry, group, now)) {
            const workers = decision.places.map(({ worker }) => worker);
            if (workers.some(worker => taken.has(worker))) {
                continue;
            }
            for (const worker of workers) {
                taken.add(worker);
            }
        }
        kept.push(decision);
    }
    return kept;
}
