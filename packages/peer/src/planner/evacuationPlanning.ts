import type { EvacuationView } from "@tanagerdeck/decisions/evacuation/evacuationTypes";
import type { ClusterState } from "@tanagerdeck/decisions/plan/clusterState";
import { countEvacuatedTasks, evacuatedServices } from "@tanagerdeck/decisions/plan/evacuatedWorkers";
import type { Decision, WaitingGroup } from "@tanagerdeck/decisions/schedule/scheduleTypes";
import type { PlannerOptions } from "./plannerTypes.ts";

/** What a planner knows and tells of evacuated availability zones during one term. */
export interface EvacuationPlanning {
    /** Whether the zones are known, or the deployment does not use evacuations. */
    isReady(): boolean;
    /** Has the following rounds use the view. */
    apply(cluster: ClusterState, view: EvacuationView): void;
    /** Reports the outcome of a round. Must be called before its decisions are applied. */
    round(cluster: ClusterState, waiting: WaitingGroup[], decisions: Decision[]): void;
}

/** Creates the handling of evacuations for one leader term. */
export function createEvacuationPlanning({
    term,
    log,
    metrics,
    followsEvacuations = false,
}: Pick<PlannerOptions, "term" | "log" | "metrics" | "followsEvacuations">): EvacuationPlanning {
    let isKnown = !followsEvacuations;
    /** Sets of evacuated zones with which a group of the job was logged as waiting, by job. */
    const logged = new Map<string, Set<string>>();

    function logWaiting({ job, group }: WaitingGroup, zones: string): void {
        const known = logged.get(job.id) ?? new Set();
        if (!known.has(zones)) {
            logged.set(job.id, known.add(zones));
            log.info("A group waits while zones are evacuated.", {
                term,
                job: job.id,
                group: group.key,
                zones,
            });
        }
    }

    function forgetRemovedJobs({ jobs }: ClusterState): void {
        for (const job of logged.keys()) {
            if (!jobs.has(job)) {
                logged.delete(job);
            }
        }
    }

    return {
        isReady: () => isKnown,
        apply(cluster, { revisions }) {
            isKnown = true;
            cluster.evacuatedZones = new Set(revisions.keys());
        },
        round(cluster, waiting, decisions) {
            metrics.tasksInEvacuatedZones(countEvacuatedTasks(cluster));
            forgetRemovedJobs(cluster);
            // Other services lack no capacity, so their groups wait for another reason.
            const services = evacuatedServices(cluster);
            if (services.size === 0) {
                return;
            }
            const zones = [...cluster.evacuatedZones].sort().join(" ");
            const placed = new Set<string>();
            for (const { kind, job, group } of decisions) {
                if (kind === "place") {
                    placed.add(`${job}.${group}`);
                }
            }
            for (const candidate of waiting) {
                const { job, group } = candidate;
                if (services.has(job.service) && !placed.has(`${job.id}.${group.key}`)) {
                    logWaiting(candidate, zones);
                }
            }
        },
    };
}
