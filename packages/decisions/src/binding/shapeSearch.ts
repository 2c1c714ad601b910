import type { Shape, TopologySpan } from "../document/documentTypes.ts";
import { freeInRack, type RackCapacity } from "./rackCapacity.ts";

/** Location of one shape: a worker, a rack, or the pair of a rack and its next one. */
export interface Target {
    rack: number;
    /** Set for the span `worker` only. */
    slot?: number;
}

/** Result of a search; `shape` is the position of a shape that exceeds a bound or of the last one that was tried. */
export type SearchResult =
    | { kind: "found"; targets: Target[] }
    | { kind: "does-not-fit"; shape: number }
    | { kind: "undecided"; shape: number };

/** Free accelerators and assigned demands during a search. Arrays are indexed by the position of the rack. */
interface SearchState {
    capacity: RackCapacity[];
    /** Free accelerators by rack and slot. */
    slots: number[][];
    /** Free accelerators by rack. */
    racks: number[];
    /** Accelerators assigned to the pair of a rack and its next one; not yet taken from either rack. */
    pairDemands: number[];
    /** Position of the first rack of the availability zone. */
    firstOfZone: number[];
    /** Position of the previous rack of the availability zone. */
    previous: (number | undefined)[];
}

/** State of the depth-first search for one shape. */
interface SearchLevel {
    /** Candidate targets; undefined after the first was tried, until a second one is needed. */
    candidates: Target[] | undefined;
    /** Number of candidates tried. */
    tried: number;
    placed: Target | undefined;
}

/** Number of candidates after which a search gives up; limits its duration to about ten seconds. */
export const MAX_SEARCH_STEPS = 40_000_000;

const SPAN_ORDER: Record<TopologySpan, number> = { worker: 0, rack: 1, "neighbouring-racks": 2 };

/** Order in which the search places shapes: the narrowest span first, then the largest shape. */
export function compareShapes(left: Shape, right: Shape): number {
    return SPAN_ORDER[left.span] - SPAN_ORDER[right.span] || right.accelerators - left.accelerators;
}

/**
 * Finds targets for all shapes by depth-first search with backtracking. `shapes` must be sorted by `compareShapes`.
 * Up to `maxSteps`, the search is exhaustive: it skips only states that have failed before, and workers with as many
 * free accelerators as another worker of the same rack, which are interchangeable.
 */
export function searchTargets(
    capacity: RackCapacity[],
    shapes: Shape[],
    maxSteps = MAX_SEARCH_STEPS,
): SearchResult {
    const state = initialState(capacity);
    const infeasible = firstInfeasibleShape(state, shapes);
    if (infeasible !== undefined) {
        return { kind: "does-not-fit", shape: infeasible };
    }
    const failed = new Set<string>();
    const levels: SearchLevel[] = [];
    let deepest = 0;
    let examined = 0;
    while (levels.length < shapes.length || (levels.at(-1) && !levels.at(-1)!.placed)) {
        let level = levels.at(-1);
        if (!level || level.placed) {
            level = openLevel(state, shapes, levels.length, failed);
            levels.push(level);
            examined += (level.candidates?.length ?? 0) + capacity.length;
        }
        const position = levels.length - 1;
        deepest = Math.max(deepest, position);
        if (examined > maxSteps) {
            return { kind: "undecided", shape: deepest };
        }
        examined += 1;
        if (placeNext(state, shapes[position]!, level)) {
            continue;
        }
        rememberFailure(failed, state, shapes, position);
        levels.pop();
        const previous = levels.at(-1);
        if (!previous) {
            return { kind: "does-not-fit", shape: deepest };
        }
        adjustFree(state, shapes[position - 1]!, previous.placed!, 1);
        previous.placed = undefined;
    }
    return { kind: "found", targets: levels.map(level => level.placed!) };
}

/**
 * Splits the demand of each pair of neighbouring racks between its two racks, along the availability zone that starts
 * at `firstRack`. Undefined if the demands exceed the free accelerators.
 */
export function splitPairs(
    capacity: RackCapacity[],
    free: number[],
    demands: number[],
    firstRack: number,
): { left: number; right: number }[] | undefined {
    const splits: { left: number; right: number }[] = [];
    let carried = 0;
    for (let rack: number | undefined = firstRack; rack !== undefined; rack = capacity[rack]!.next) {
        const available = free[rack]! - carried;
        if (available < 0) {
            return undefined;
        }
        const left = Math.min(demands[rack]!, available);
        carried = demands[rack]! - left;
        splits[rack] = { left, right: carried };
    }
    return carried === 0 ? splits : undefined;
}

function initialState(capacity: RackCapacity[]): SearchState {
    const firstOfZone: number[] = [];
    const previous: (number | undefined)[] = capacity.map(() => undefined);
    for (const [position, rack] of capacity.entries()) {
        firstOfZone[position] ??= position;
        if (rack.next !== undefined) {
            firstOfZone[rack.next] = firstOfZone[position]!;
            previous[rack.next] = position;
        }
    }
    return {
        capacity,
        slots: capacity.map(rack => rack.slots.map(slot => slot.length)),
        racks: capacity.map(freeInRack),
        pairDemands: capacity.map(() => 0),
        firstOfZone,
        previous,
    };
}

/** Position of the first shape that fails a quick upper bound: total free accelerators, or `maxShapesThatFit`. */
function firstInfeasibleShape(state: SearchState, shapes: Shape[]): number | undefined {
    let total = 0;
    for (const free of state.racks) {
        total += free;
    }
    const maxCounts = new Map<string, number>();
    const counts = { worker: 0, rack: 0, "neighbouring-racks": 0 };
    for (const [position, { span, accelerators }] of shapes.entries()) {
        total -= accelerators;
        counts[span] += 1;
        const key = `${span}:${accelerators}`;
        const maxCount = maxCounts.get(key) ?? maxShapesThatFit(state, span, accelerators);
        maxCounts.set(key, maxCount);
        if (total < 0 || counts[span] > maxCount) {
            return position;
        }
    }
    return undefined;
}

/** Upper bound of the number of shapes with this span and at least this size that fit at the same time. */
function maxShapesThatFit(state: SearchState, span: TopologySpan, accelerators: number): number {
    let count = 0;
    for (const [rack, free] of state.racks.entries()) {
        if (span === "worker") {
            for (const slot of state.slots[rack]!) {
                count += Math.floor(slot / accelerators);
            }
        } else if (span === "rack") {
            count += Math.floor(free / accelerators);
        } else {
            count += Math.floor((free + (state.racks[state.capacity[rack]!.next ?? -1] ?? 0)) / accelerators);
        }
    }
    return count;
}

function openLevel(state: SearchState, shapes: Shape[], position: number, failed: Set<string>): SearchLevel {
    const hasFailed = failed.size > 0 && failed.has(stateKey(state, shapes, position));
    const candidates = hasFailed ? [] : candidatesFor(state, shapes[position]!);
    return { candidates, tried: 0, placed: undefined };
}

/** Places the shape on its next feasible candidate; false if none is left. */
function placeNext(state: SearchState, shape: Shape, level: SearchLevel): boolean {
    for (
        let target = nextCandidate(state, shape, level);
        target;
        target = nextCandidate(state, shape, level)
    ) {
        level.tried += 1;
        adjustFree(state, shape, target, -1);
        if (shape.span !== "neighbouring-racks" || pairsFit(state, target.rack)) {
            level.placed = target;
            return true;
        }
        adjustFree(state, shape, target, 1);
    }
    return false;
}

/** Selects the first candidate by a scan and drops the list unsorted, because most levels need no second candidate. */
function nextCandidate(state: SearchState, shape: Shape, level: SearchLevel): Target | undefined {
    const compare = (left: Target, right: Target) => compareTargets(state, left, right);
    if (level.tried > 0) {
        level.candidates ??= candidatesFor(state, shape).sort(compare);
        return level.candidates[level.tried];
    }
    let best: Target | undefined;
    for (const target of level.candidates ?? []) {
        best = best && compare(best, target) <= 0 ? best : target;
    }
    level.candidates = undefined;
    return best;
}

/** Sorts the tightest worker first, then the tightest rack, then the rack whose neighbours have the least free. */
function compareTargets(state: SearchState, left: Target, right: Target): number {
    return (
        slotFree(state, left) - slotFree(state, right) ||
        state.racks[left.rack]! - state.racks[right.rack]! ||
        largestFreeNeighbour(state, left.rack) - largestFreeNeighbour(state, right.rack) ||
        left.rack - right.rack
    );
}

function largestFreeNeighbour({ capacity, racks, previous }: SearchState, rack: number): number {
    return Math.max(racks[capacity[rack]!.next ?? -1] ?? 0, racks[previous[rack] ?? -1] ?? 0);
}

function slotFree(state: SearchState, target: Target): number {
    return target.slot === undefined ? 0 : state.slots[target.rack]![target.slot]!;
}

function candidatesFor(state: SearchState, shape: Shape): Target[] {
    const candidates: Target[] = [];
    for (let rack = 0; rack < state.racks.length; rack++) {
        const free = state.racks[rack]!;
        const { next, isFirstOfZone } = state.capacity[rack]!;
        if (shape.span === "worker" && free >= shape.accelerators) {
            addWorkerCandidates(state, rack, shape.accelerators, candidates);
        }
        if (shape.span === "rack" && free >= shape.accelerators) {
            candidates.push({ rack });
        }
        const isPair = next !== undefined || isFirstOfZone;
        if (
            shape.span === "neighbouring-racks" &&
            isPair &&
            pairCapacityBound(state, rack) >= shape.accelerators
        ) {
            candidates.push({ rack });
        }
    }
    return candidates;
}

/** Upper bound of the accelerators left for a pair, given the demands of the pairs that share a rack with it. */
function pairCapacityBound({ capacity, racks, pairDemands, previous }: SearchState, rack: number): number {
    const before = previous[rack] ?? -1;
    const next = capacity[rack]!.next ?? -1;
    const after = capacity[next]?.next ?? -1;
    const own = racks[rack]! + (racks[next] ?? 0) - pairDemands[rack]!;
    const left = (racks[before] ?? 0) - (pairDemands[before] ?? 0);
    const right = (racks[after] ?? 0) - (pairDemands[next] ?? 0);
    return own + Math.min(0, left, right, left + right);
}

/** Adds one worker of the rack for each distinct number of free accelerators. */
function addWorkerCandidates(
    state: SearchState,
    rack: number,
    accelerators: number,
    candidates: Target[],
): void {
    const slots = state.slots[rack]!;
    for (let slot = 0; slot < slots.length; slot++) {
        const free = slots[slot]!;
        if (free >= accelerators && slots.indexOf(free) === slot) {
            candidates.push({ rack, slot });
        }
    }
}

/** Takes the shape from the target (`sign` -1) or returns it (1). */
function adjustFree(state: SearchState, shape: Shape, target: Target, sign: 1 | -1): void {
    if (shape.span === "neighbouring-racks") {
        state.pairDemands[target.rack]! -= sign * shape.accelerators;
        return;
    }
    state.racks[target.rack]! += sign * shape.accelerators;
    if (target.slot !== undefined) {
        state.slots[target.rack]![target.slot]! += sign * shape.accelerators;
    }
}

function pairsFit(state: SearchState, rack: number): boolean {
    return splitPairs(state.capacity, state.racks, state.pairDemands, state.firstOfZone[rack]!) !== undefined;
}

function rememberFailure(failed: Set<string>, state: SearchState, shapes: Shape[], position: number): void {
    failed.add(stateKey(state, shapes, position));
}

/** Memoization key: equal for states in which the remaining shapes fit in the same way. */
function stateKey(state: SearchState, shapes: Shape[], position: number): string {
    if (shapes[position]!.span !== "worker") {
        return `${position}|${state.racks.join()}|${state.pairDemands.join()}`;
    }
    const racks = state.slots.map(slots => [...slots].sort((left, right) => left - right).join());
    return `${position}|${racks.join(";")}`;
}
