import type { Accelerator } from "../document/documentTypes.ts";
import { type FleetSummary, replaceWorkers, workerAt } from "../placement/fleetSummary.ts";
import type { PlacementIndex } from "../placement/placementIndex.ts";
import type { WorkerView } from "../placement/placementTypes.ts";
import type { PlannedPlacement, RunningGang, RunTimes, WaitingJob } from "./queueTypes.ts";
import { expectedEndMs } from "./runTimes.ts";

/** An accelerator with the time at which it is expected to be free. */
interface Availability extends Accelerator {
    freeAtMs: number;
}

/** Input of `planPlacement` apart from the job. */
export interface PlanContext {
    nowMs: number;
    workers: WorkerView[];
    index: PlacementIndex;
    running: RunningGang[];
    runTimes: RunTimes;
}

/** Time within which a hold either becomes a run or ends. */
const MAX_HOLD_MS = 3_000;

/** Plans the adjacent accelerators that are expected to be free earliest; undefined if no window is large enough. */
export function planPlacement(job: WaitingJob, context: PlanContext): PlannedPlacement | undefined {
    const wanted = job.shape.accelerators;
    let best: Availability[] | undefined;
    for (const window of candidateWindows(job, availabilityBySlot(context), context.index)) {
        if (window.length < wanted) {
            continue;
        }
        const earliest = window.sort((left, right) => left.freeAtMs - right.freeAtMs).slice(0, wanted);
        if (!best || earliest.at(-1)!.freeAtMs < best.at(-1)!.freeAtMs) {
            best = earliest;
        }
    }
    return (
        best && {
            job: job.id,
            accelerators: best.map(({ rack, slot, index }) => ({ rack, slot, index })),
            plannedAtMs: context.nowMs,
            startMs: Math.max(context.nowMs, best.at(-1)!.freeAtMs),
        }
    );
}

/** False if a worker of the planned placement is unusable or missing, so that a new placement must be planned. */
export function isPlannedPlacementUsable({ accelerators }: PlannedPlacement, workers: WorkerView[]): boolean {
    const usable = new Set<string>();
    for (const { rack, slot, usable: isUsable } of workers) {
        if (isUsable) {
            usable.add(`${rack}/${slot}`);
        }
    }
    return accelerators.every(({ rack, slot }) => usable.has(`${rack}/${slot}`));
}

/** The fleet with the free accelerators of the planned placement marked as used. */
export function withoutPlannedAccelerators(
    fleet: FleetSummary,
    index: PlacementIndex,
    { accelerators }: PlannedPlacement,
): FleetSummary {
    const masked = new Map<string, WorkerView>();
    for (const { rack, slot, index: position } of accelerators) {
        const key = `${rack}/${slot}`;
        const worker = masked.get(key) ?? workerAt(fleet, index, rack, slot);
        if (worker?.accelerators[position]?.kind === "free") {
            const states = [...worker.accelerators];
            states[position] = { kind: "used", clientAccount: "", reclaimable: false };
            masked.set(key, { ...worker, accelerators: states });
        }
    }
    return replaceWorkers(fleet, [...masked.values()], index);
}

/** Availability by rack and slot; leaves out used accelerators whose gang is unknown. */
function availabilityBySlot({ nowMs, workers, index, running, runTimes }: PlanContext): Availability[][][] {
    const ends = new Map<string, number>();
    for (const gang of running) {
        const end = expectedEndMs(runTimes, gang, nowMs);
        for (const { rack, slot, indexes } of gang.members) {
            for (const position of indexes) {
                ends.set(`${rack}/${slot}/${position}`, end);
            }
        }
    }
    const racks: Availability[][][] = index.racks.map(() => []);
    for (const { rack, slot, accelerators, usable } of workers) {
        const slots = racks[index.rackPositions.get(rack) ?? -1];
        if (!usable || !slots) {
            continue;
        }
        slots[slot] = [];
        for (const [position, state] of accelerators.entries()) {
            const expectedFreeMs = state.kind === "free" ? nowMs : ends.get(`${rack}/${slot}/${position}`);
            const freeAtMs = expectedFreeMs ?? (state.kind === "held" ? nowMs + MAX_HOLD_MS : undefined);
            if (freeAtMs !== undefined) {
                slots[slot].push({ rack, slot, index: position, freeAtMs });
            }
        }
    }
    return racks;
}

/** The workers, racks or pairs of neighbouring racks that a job of this span could use, as lists of accelerators. */
function* candidateWindows(
    { shape }: WaitingJob,
    racks: Availability[][][],
    index: PlacementIndex,
): Generator<Availability[]> {
    for (const [position, slots] of racks.entries()) {
        if (shape.span === "worker") {
            yield* slots.filter(slot => slot !== undefined);
            continue;
        }
        yield slots.flat();
        const { next } = index.racks[position]!;
        if (shape.span === "neighbouring-racks" && next !== undefined) {
            yield [...slots.flat(), ...racks[next]!.flat()];
        }
    }
}
