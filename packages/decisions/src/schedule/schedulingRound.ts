import { addResources, subtractResources, type Resources } from "../job/jobTypes.ts";
import { findPlaces, type AvailableCapacity } from "./placementSearch.ts";
import {
    stepKey,
    type Decision,
    type PlacedGroup,
    type TaskPlace,
    type WaitingGroup,
    type WorkerView,
} from "./scheduleTypes.ts";
import { findVictims } from "./victimSearch.ts";

/** What a round decides about. */
export interface RoundInput {
    workers: WorkerView[];
    waiting: WaitingGroup[];
    placed: PlacedGroup[];
}

/** The order in which waiting groups are served: guaranteed ones first, then by priority and age. */
export function compareWaiting(left: WaitingGroup, right: WaitingGroup): number {
    return (
        Number(right.isGuaranteed) - Number(left.isGuaranteed) ||
        left.priority - right.priority ||
        left.sinceMs - right.sinceMs ||
        (left.job.id < right.job.id ? -1 : Number(left.job.id > right.job.id)) ||
        left.group.stepIndex - right.group.stepIndex
    );
}

/** Decides which waiting groups start where, and which placed ones give way to guaranteed ones. */
export function scheduleRound({ workers, waiting, placed }: RoundInput): Decision[] {
    const decisions: Decision[] = [];
    const views = new Map(workers.map(worker => [worker.name, worker]));
    // What this round has set aside on each worker, for groups that were placed or that wait for a closing one.
    const reserved = new Map<string, Resources>();
    const victims = new Set<PlacedGroup>();

    const free: AvailableCapacity = worker => {
        const taken = reserved.get(worker.name);
        return taken ? subtractResources(worker.free, taken) : worker.free;
    };
    const soonFree: AvailableCapacity = worker => addResources(free(worker), worker.closing);

    function reserve({ group, job }: WaitingGroup, places: TaskPlace[]): void {
        for (const { worker } of places) {
            const before = reserved.get(worker);
            const { resources } = group.step;
            reserved.set(worker, before ? addResources(before, resources) : resources);
            const view = views.get(worker);
            const key = stepKey(job.id, group);
            view?.tasksByStep.set(key, (view.tasksByStep.get(key) ?? 0) + 1);
        }
    }

    function serveGuaranteed(candidate: WaitingGroup): void {
        const later = findPlaces(candidate, workers, soonFree);
        if (later) {
            reserve(candidate, later.places);
            return;
        }
        const remaining = placed.filter(group => !victims.has(group));
        const plan = findVictims(candidate, workers, remaining, soonFree);
        if (!plan) {
            return;
        }
        for (const victim of plan.victims) {
            victims.add(victim);
            for (const name of victim.workers) {
                const view = views.get(name);
                if (view) {
                    view.closing = addResources(view.closing, victim.group.step.resources);
                }
            }
            decisions.push({
                kind: "preempt",
                job: victim.job.id,
                group: victim.group.key,
                for: candidate.job.id,
            });
        }
        reserve(candidate, plan.places);
    }

    for (const candidate of [...waiting].sort(compareWaiting)) {
        const plan = findPlaces(candidate, workers, free);
        if (plan) {
            reserve(candidate, plan.places);
            decisions.push({
                kind: "place",
                job: candidate.job.id,
                group: candidate.group.key,
                places: plan.places,
            });
            continue;
        }
        if (candidate.isGuaranteed) {
            serveGuaranteed(candidate);
        }
    }
    return decisions;
}
