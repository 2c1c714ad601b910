import { refreshSpeeds, speedViewOf, type SpeedView } from "@tanagerdeck/decisions/speed/speedEstimate";
import { observeTask } from "@tanagerdeck/decisions/speed/speedObservations";
import type { SpeedRecord } from "@tanagerdeck/decisions/speed/speedTypes";
import type { WorkerView } from "@tanagerdeck/decisions/schedule/scheduleTypes";
import type { SimulatedGroup } from "./planSimulation.ts";

/**
 * What the plan knows of unequal speeds.
 * - `nothing`: all workers count as equal.
 * - `learned`: the factors that the leader would have learned by then.
 * - `all`: the true factors.
 */
export type SpeedKnowledge = "nothing" | "learned" | "all";

/** Boot of all simulated workers, none of which restarts. */
const BOOT = { id: "boot", bornMs: 0 };

/** Notes the progress of running tasks, as the planner does from reports. */
export function observeGroups(record: SpeedRecord, groups: SimulatedGroup[], nowMs: number): void {
    for (const simulated of groups) {
        const { phase, places, startedAtMs, endsAtMs, owner, group } = simulated;
        if (phase !== "running" || group.step.gang) {
            continue;
        }
        const percent = Math.min(100, (100 * (nowMs - startedAtMs)) / (endsAtMs - startedAtMs));
        const origin = { at: startedAtMs, percent: 0 };
        const at = Math.min(nowMs, endsAtMs);
        for (const { index, worker: name } of places) {
            const worker = { name, description: { boot: BOOT } };
            observeTask(record, worker, { entry: owner, group, index }, origin, { at, percent });
        }
    }
    refreshSpeeds(record, nowMs);
}

/** What the plan is told of a worker's speed. */
export function knownSpeed(
    record: SpeedRecord,
    view: WorkerView,
    knowledge: SpeedKnowledge,
): Partial<SpeedView> {
    if (knowledge === "nothing") {
        return { speed: 1 };
    }
    return knowledge === "all" ? { speed: view.speed ?? 1 } : speedViewOf(record, view.name, BOOT);
}
