import type { Dispatch } from "@tanagerdeck/caller/job/jobTaskTypes";
import type { Priority } from "@tanagerdeck/decisions/document/documentTypes";
import { firstFitPlacement } from "@tanagerdeck/decisions/placement/firstFitPlacement";
import { summarizeFleet } from "@tanagerdeck/decisions/placement/fleetSummary";
import type { Demand, Placement, WorkerView } from "@tanagerdeck/decisions/placement/placementTypes";
import type { JobStart, WaitingJob } from "@tanagerdeck/decisions/queue/queueTypes";

/** Chooses accelerators for a gang; undefined if it has to wait. */
export type PlaceGang = (demand: Demand, workers: WorkerView[]) => Placement | undefined;

const RANKS: Record<Priority, number> = { urgent: 0, normal: 1, batch: 2 };

/** A dispatch policy by priority and age without reservations, under which large gangs can starve. */
export function createSimpleDispatch(place: PlaceGang = firstFitPlacement): Dispatch {
    return ({ waiting, workers, index }) => {
        const starts: JobStart[] = [];
        const fleet = new Map(workers.map(worker => [worker.agent, worker]));
        const { inUse } = summarizeFleet(workers, index);
        for (const job of [...waiting].sort(compareJobs)) {
            const { clientAccount, shape, avoidedAgents } = job;
            const used = (inUse.get(clientAccount) ?? 0) + shape.accelerators;
            const usable = [...fleet.values()].map(worker =>
                avoidedAgents?.has(worker.agent) ? { ...worker, usable: false } : worker,
            );
            const placement =
                used <= (index.quotas.get(clientAccount) ?? 0)
                    ? place({ clientAccount, shape }, usable)
                    : undefined;
            if (placement) {
                starts.push({ job, placement });
                inUse.set(clientAccount, used);
                markHeld(fleet, placement, clientAccount);
            }
        }
        return { starts, isComplete: true };
    };
}

function compareJobs(left: WaitingJob, right: WaitingJob): number {
    return RANKS[left.priority] - RANKS[right.priority] || left.acceptedAtMs - right.acceptedAtMs;
}

function markHeld(fleet: Map<string, WorkerView>, { members }: Placement, clientAccount: string): void {
    for (const { agent, indexes } of members) {
        const worker = fleet.get(agent)!;
        const accelerators = [...worker.accelerators];
        for (const index of indexes) {
            accelerators[index] = { kind: "held", clientAccount };
        }
        fleet.set(agent, { ...worker, accelerators });
    }
}
