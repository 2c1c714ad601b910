import type { EvacuationView } from "@tanagerdeck/decisions/evacuation/evacuationTypes";
import type { ClusterState } from "@tanagerdeck/decisions/plan/clusterState";
import { countEvacuatedTasks, evacuatedServices } from "@tanagerdeck/decisions/plan/evacuatedWorkers";
import type { Decision, WaitingGroup } from "@tanagerdeck/decisions/schedule/scheduleTypes";
import type { PlannerOptions } from "./plannerTypes.ts";

/** What a planner knows and tells of evacuated availability zones during one term. */
export interface EvacuationPlanning {
    /** Whether the zones are known, or the deployment does not use evacuations. */
    isReady(): boolean;
    /**
     * Whether starts may be late because agents hold them back, or have done so until just now. To be called often, as it
     * notes the time.
     */
    mayStartLate(): boolean;
    /** Has the following rounds use the view. */
    apply(cluster: ClusterState, view: EvacuationView): void;
    /** Reports the outcome of a round. Must be called before its decisions are applied. */
    round(cluster: ClusterState, waiting: WaitingGroup[], decisions: Decision[]): void;
}

/** Time for starts that were held back to be carried out. It equals that after which a start counts as stuck. */
const HELD_START_GRACE_MS = 2_200;

/** Options of a planner that concern evacuations. */
type EvacuationPlanningOptions = Pick<
    PlannerOptions,
    "term" | "clock" | "log" | "metrics" | "followsEvacuations" | "areStartsHeld"
>;

/** Creates the handling of evacuations for one leader term. */
export function createEvacuationPlanning({
    term,
    clock,
    log,
    metrics,
    followsEvacuations = false,
    areStartsHeld = () => false,
}: EvacuationPlanningOptions): EvacuationPlanning {
    let isKnown = !followsEvacuations;
    let heldAt = -Infinity;
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
        mayStartLate() {
            if (areStartsHeld()) {
                heldAt = clock.now();
            }
            return clock.now() - heldAt < HELD_START_GRACE_MS;
        },
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
