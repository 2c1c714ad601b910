import { MOVE_INTERVAL_MS } from "@tanagerdeck/decisions/departure/leavingWorkers";
import { coreEquivalents } from "@tanagerdeck/decisions/schedule/jobValue";
import type { SimulatedGroup } from "./planSimulation.ts";

/** Workers that leave in turn and come back, as they are taken away from a deployment for a time. */
export interface Departures {
    /** Time between the notices of two workers. */
    intervalMs: number;
    /** Time from a worker's notice until it leaves. */
    noticeMs: number;
    /** Time from the departure until the worker is back. */
    awayMs: number;
    /** Time of the last notice; a wide gang that workers keep leaving may never end. */
    untilMs: number;
}

/** The departures of one simulation. */
export interface DepartureSimulation {
    /** Notes notices and returns and ends what runs on workers that leave; returns the core-seconds that are lost. */
    advance(groups: SimulatedGroup[], nowMs: number): number;
    /** Time until the worker leaves; undefined if it has given no notice. */
    leavesInMs(worker: string, nowMs: number): number | undefined;
    /** Whether the worker has given notice or is away. */
    isUnavailable(worker: string): boolean;
    /** Time of the next notice, departure or return. */
    nextEventMs(): number;
    /** Mean time from a notice until the end of the groups that ran on the worker then. */
    meanEndMs(nowMs: number): number;
}

/** Interval at which a checkpointing task saves its progress while it runs, as the emulated workers do. */
const CHECKPOINT_INTERVAL_MS = 2_000;
/** Distance between the numbers of workers that leave one after the other, so that they are of different racks. */
const WORKER_STRIDE = 4;

/** Simulates the departures of a deployment's workers; without `departures` none leaves. */
export function simulateDepartures(
    departures: Departures | undefined,
    workerCount: number,
    stopMs: number,
): DepartureSimulation {
    const { intervalMs = Infinity, noticeMs = 0, awayMs = 0, untilMs = 0 } = departures ?? {};
    const leavesAt = new Map<string, number>();
    const returnsAt = new Map<string, number>();
    /** Groups that ran on a leaving worker, with the times of the notice and of their end. */
    const affected = new Map<SimulatedGroup, { noticeAtMs: number; endedAtMs: number | undefined }>();
    let notices = 0;
    let nextNoticeMs = intervalMs;

    function announce(groups: SimulatedGroup[], nowMs: number): void {
        const worker = `w${(notices * WORKER_STRIDE) % workerCount}`;
        notices += 1;
        nextNoticeMs = nextNoticeMs + intervalMs > untilMs ? Infinity : nextNoticeMs + intervalMs;
        if (leavesAt.has(worker) || returnsAt.has(worker)) {
            return;
        }
        leavesAt.set(worker, nowMs + noticeMs);
        for (const group of groups) {
            if (group.phase === "running" && runsOn(group, worker) && !affected.has(group)) {
                affected.set(group, { noticeAtMs: nowMs, endedAtMs: undefined });
            }
        }
    }

    return {
        advance(groups, nowMs) {
            let lost = 0;
            for (const [worker, atMs] of returnsAt) {
                if (atMs <= nowMs) {
                    returnsAt.delete(worker);
                }
            }
            for (const [worker, atMs] of leavesAt) {
                if (atMs <= nowMs) {
                    leavesAt.delete(worker);
                    returnsAt.set(worker, nowMs + awayMs);
                    lost += endRunsOn(worker, groups, nowMs, stopMs);
                }
            }
            while (nextNoticeMs <= nowMs) {
                announce(groups, nowMs);
            }
            for (const [{ phase }, times] of affected) {
                times.endedAtMs ??= phase === "done" ? nowMs : undefined;
            }
            return lost;
        },
        leavesInMs(worker, nowMs) {
            const atMs = leavesAt.get(worker);
            return atMs === undefined ? undefined : atMs - nowMs;
        },
        isUnavailable: worker => leavesAt.has(worker) || returnsAt.has(worker),
        nextEventMs: () => Math.min(nextNoticeMs, ...leavesAt.values(), ...returnsAt.values()),
        meanEndMs(nowMs) {
            let sum = 0;
            for (const { noticeAtMs, endedAtMs = nowMs } of affected.values()) {
                sum += endedAtMs - noticeAtMs;
            }
            return affected.size > 0 ? sum / affected.size : 0;
        },
    };
}

function runsOn({ places }: SimulatedGroup, name: string): boolean {
    return places.some(({ worker }) => worker === name);
}

/** Ends the runs on a worker that has left; the other members of a gang still have to be stopped. */
function endRunsOn(worker: string, groups: SimulatedGroup[], nowMs: number, stopMs: number): number {
    let lost = 0;
    for (const simulated of groups) {
        if (simulated.phase !== "running" || !runsOn(simulated, worker)) {
            continue;
        }
        const { step } = simulated.group;
        const workedMs = (nowMs - simulated.startedAtMs) / simulated.factor;
        const savedMs = step.checkpointing ? workedMs - (workedMs % CHECKPOINT_INTERVAL_MS) : 0;
        const hasOthers = simulated.places.some(place => place.worker !== worker);
        simulated.leftMs -= savedMs;
        simulated.phase = "stopping";
        simulated.endsAtMs = nowMs + (hasOthers ? stopMs : 0);
        const lostMs = (workedMs - savedMs) * simulated.factor;
        lost += (coreEquivalents(step.resources) * simulated.places.length * lostMs) / 1_000;
    }
    return lost;
}

/** Time until the first of the group's workers leaves, as the planner sees it. */
export function groupLeavesInMs(
    departures: DepartureSimulation,
    { phase, places, movedAtMs, isMoving }: SimulatedGroup,
    nowMs: number,
): number | undefined {
    if (phase === "stopping") {
        return isMoving ? 0 : undefined;
    }
    if (nowMs - movedAtMs < MOVE_INTERVAL_MS) {
        return undefined;
    }
    let leavesInMs = Infinity;
    for (const { worker } of places) {
        leavesInMs = Math.min(leavesInMs, departures.leavesInMs(worker, nowMs) ?? Infinity);
    }
    return leavesInMs === Infinity ? undefined : leavesInMs;
}
