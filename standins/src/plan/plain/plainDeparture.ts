import { addResources, type Resources } from "@tanagerdeck/decisions/job/jobTypes";
import { sortDeparting } from "@tanagerdeck/decisions/departure/departureMoves";
import {
    isDeparting,
    isSaved,
    toWaiting,
    type DepartingGroup,
} from "@tanagerdeck/decisions/departure/departureRules";
import {
    stepKey,
    type Decision,
    type PlacedGroup,
    type TaskPlace,
    type WaitingGroup,
    type WorkerView,
} from "@tanagerdeck/decisions/schedule/scheduleTypes";
import type { RoundInput } from "@tanagerdeck/decisions/schedule/schedulingRound";
import {
    findAnyPlaces,
    findNearPlaces,
    isLocalitySensitive,
    type AvailableCapacity,
    type PlaceSearch,
} from "./plainPlacementSearch.ts";
import { findVictims, type PreemptionPlan } from "./plainVictimSearch.ts";

/** The plain round that the moves are part of. */
export interface DepartureRound {
    input: RoundInput;
    decisions: Decision[];
    victims: Set<PlacedGroup>;
    freeOf(worker: WorkerView): Resources;
    allocate(candidate: WaitingGroup, places: TaskPlace[]): void;
    preempt(candidate: WaitingGroup, plan: PreemptionPlan): void;
}

/** Decides like `moveDepartingGroups`, by searches that look at every worker anew. */
export function plainMoveDepartingGroups(round: DepartureRound): void {
    const { placed, nowMs, workers } = round.input;
    for (const departing of sortDeparting(placed.filter(isDeparting), nowMs)) {
        if (round.victims.has(departing)) {
            continue;
        }
        const { job, group, isClosing } = departing;
        const candidate = toWaiting(departing);
        const found = findRoom(round, departing, candidate);
        if (!isClosing && (found || isSaved(departing))) {
            round.victims.add(departing);
            for (const worker of workers) {
                worker.closing = addResources(worker.closing, ownRoom(departing, worker));
            }
            round.decisions.push({ kind: "move", job: job.id, group: group.key });
        }
        if (found?.victims.length) {
            round.preempt(candidate, found);
        } else if (found) {
            round.allocate(candidate, found.places);
        }
    }
}

function findRoom(
    round: DepartureRound,
    departing: DepartingGroup,
    candidate: WaitingGroup,
): PreemptionPlan | undefined {
    const { isClosing, isGuaranteed } = departing;
    const { placed, nowMs } = round.input;
    const workers = round.input.workers.map(worker => withoutTasks(worker, departing));
    const room: AvailableCapacity = worker => addResources(round.freeOf(worker), ownRoom(departing, worker));
    const roomLater: AvailableCapacity = worker =>
        addResources(
            isClosing ? round.freeOf(worker) : room(worker),
            round.input.workers.find(({ name }) => name === worker.name)!.closing,
        );
    const takesFar = (isGuaranteed || candidate.takesAnyRoom) && isLocalitySensitive(candidate);
    const searches: PlaceSearch[] = takesFar ? [findNearPlaces, findAnyPlaces] : [findNearPlaces];
    for (const search of searches) {
        const places =
            search(candidate, workers, room) ??
            (isGuaranteed || isClosing ? search(candidate, workers, roomLater) : undefined);
        if (places) {
            return { places, victims: [], cost: 0 };
        }
        const candidates = placed.filter(
            group => !group.isClosing && !group.isGuaranteed && !round.victims.has(group),
        );
        const plan =
            isGuaranteed && !isClosing
                ? findVictims({
                      waiting: candidate,
                      workers,
                      candidates,
                      available: roomLater,
                      search,
                      nowMs,
                      costLimit: Infinity,
                  })
                : undefined;
        if (plan) {
            return plan;
        }
    }
    return undefined;
}

/** The worker without the group's tasks among those that count against the limit of their step. */
function withoutTasks(worker: WorkerView, { job, group, workers }: PlacedGroup): WorkerView {
    const key = stepKey(job.id, group);
    const own = workers.filter(name => name === worker.name).length;
    const tasksByStep = new Map(worker.tasksByStep);
    tasksByStep.set(key, (tasksByStep.get(key) ?? 0) - own);
    return { ...worker, tasksByStep };
}

/** What the group's tasks occupy on the worker. */
function ownRoom({ group, workers }: PlacedGroup, worker: WorkerView): Resources {
    const { resources } = group.step;
    const own = workers.filter(name => name === worker.name).length;
    return {
        cpuMillis: resources.cpuMillis * own,
        memoryMb: resources.memoryMb * own,
        gpus: resources.gpus * own,
    };
}
