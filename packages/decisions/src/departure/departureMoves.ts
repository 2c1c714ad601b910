import { addAt, copyColumns, positionsOf, subtractAt, type FleetTable } from "../schedule/fleetTable.ts";
import { urgencyOf } from "../schedule/jobValue.ts";
import {
    createRequest,
    findPlaces,
    isLocalitySensitive,
    type SearchScope,
} from "../schedule/placementSearch.ts";
import type { RoundSearches } from "../schedule/roundSearches.ts";
import {
    stepKey,
    type Decision,
    type PlacedGroup,
    type TaskPlace,
    type WaitingGroup,
} from "../schedule/scheduleTypes.ts";
import type { PreemptionPlan } from "../schedule/victimSearch.ts";
import { isDeparting, isSaved, toWaiting, type DepartingGroup } from "./departureRules.ts";

/** The scheduling round that the moves are part of. */
export interface DepartureRound {
    input: { placed: PlacedGroup[]; nowMs: number };
    fleet: FleetTable;
    searches: RoundSearches;
    decisions: Decision[];
}

/** What the round does with the room that is found for a group. */
export interface DepartureActions {
    /** Reserves the places for the group. */
    allocate(candidate: WaitingGroup, places: TaskPlace[]): void;
    /** Preempts the victims of the plan and reserves its places for the group. */
    preempt(candidate: WaitingGroup, plan: PreemptionPlan): void;
}

/** Room for a departing group; `plan` is set if other groups are preempted for it. */
interface FoundRoom {
    places: TaskPlace[];
    plan?: PreemptionPlan;
}

/**
 * Decides which groups are stopped because a worker of theirs leaves, and reserves room for them. The room of a group that
 * is still being stopped is reserved again in each round, so that it can restart once the stop is confirmed.
 */
export function moveDepartingGroups(round: DepartureRound, actions: DepartureActions): void {
    const { placed, nowMs } = round.input;
    const preempted = new Set<PlacedGroup>();
    for (const departing of sortDeparting(placed.filter(isDeparting), nowMs)) {
        if (preempted.has(departing)) {
            continue;
        }
        const found = moveGroup(round, departing, actions);
        for (const victim of found?.plan?.victims ?? []) {
            preempted.add(victim);
        }
    }
}

/** Sorts departing groups: those being stopped first, to which room was promised, then guaranteed ones, then by urgency. */
export function sortDeparting(departing: DepartingGroup[], nowMs: number): DepartingGroup[] {
    const ranked = departing.map(group => ({ group, urgency: urgencyOf(group.value, nowMs) }));
    ranked.sort(
        (left, right) =>
            Number(right.group.isClosing) - Number(left.group.isClosing) ||
            Number(right.group.isGuaranteed) - Number(left.group.isGuaranteed) ||
            right.urgency - left.urgency,
    );
    return ranked.map(({ group }) => group);
}

function moveGroup(
    round: DepartureRound,
    departing: DepartingGroup,
    actions: DepartureActions,
): FoundRoom | undefined {
    const { fleet, searches, decisions } = round;
    const { job, group, isClosing, workers } = departing;
    const candidate = toWaiting(departing);
    const own = positionsOf(fleet, workers);
    if (!isClosing) {
        for (const position of own) {
            addAt(fleet.freeAfterClosing, position, group.step.resources);
        }
    }
    // Earlier searches of the round have not counted the group's own room, which it frees on workers that stay.
    searches.capacityTaken();
    countTasks(fleet, departing, own, -1);
    const found = findRoom(round, departing, own, candidate);
    countTasks(fleet, departing, own, 1);
    if (!isClosing && (found || isSaved(departing))) {
        searches.preempted([departing]);
        decisions.push({ kind: "move", job: job.id, group: group.key });
    } else if (!isClosing) {
        for (const position of own) {
            subtractAt(fleet.freeAfterClosing, position, group.step.resources);
        }
    }
    if (found?.plan) {
        actions.preempt(candidate, found.plan);
    } else if (found) {
        actions.allocate(candidate, found.places);
    }
    return found;
}

/** Finds room for the group elsewhere and, if it is a gang, on its workers that stay. */
function findRoom(
    { fleet, searches }: DepartureRound,
    { group, isClosing, isGuaranteed }: DepartingGroup,
    own: number[],
    candidate: WaitingGroup,
): FoundRoom | undefined {
    const room = copyColumns(fleet.free);
    for (const position of own) {
        addAt(room, position, group.step.resources);
    }
    const takesFar = (isGuaranteed || candidate.takesAnyRoom) && isLocalitySensitive(candidate);
    const scopes: SearchScope[] = takesFar ? ["near", "any"] : ["near"];
    for (const scope of scopes) {
        const request = createRequest(fleet, candidate, scope);
        let places = findPlaces(fleet, request, room);
        if (!places && (isGuaranteed || isClosing)) {
            places = findPlaces(fleet, request, fleet.freeAfterClosing);
        }
        if (places) {
            return { places };
        }
        const plan = isGuaranteed && !isClosing ? searches.planVictims(request, Infinity) : undefined;
        if (plan) {
            return { places: plan.places, plan };
        }
    }
    return undefined;
}

/** Counts the group's tasks on its workers or, while room is sought for them, leaves them out. */
function countTasks(
    { workers }: FleetTable,
    { job, group }: PlacedGroup,
    own: number[],
    change: 1 | -1,
): void {
    const key = stepKey(job.id, group);
    for (const position of own) {
        const { tasksByStep } = workers[position]!;
        tasksByStep.set(key, (tasksByStep.get(key) ?? 0) + change);
    }
}
