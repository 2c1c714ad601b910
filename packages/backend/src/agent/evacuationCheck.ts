import { START_MARGIN_MS } from "@tanagerdeck/decisions/evacuation/startMargin";
import { CLOCK_DRIFT } from "@tanagerdeck/decisions/lease/leaseTimes";
import type { EvacuationNotice } from "@tanagerdeck/decisions/worker/workerReport";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import { elapsedSince } from "@tanagerdeck/runtime/clock/instant";
import type { AgentState } from "./agentState.ts";

/**
 * Whether a start may be sent to the worker.
 * - `wait`: the agent does not know well enough whether the worker's availability zone is evacuated.
 * - `evacuated`: it is evacuated.
 */
export type StartPermission = "may-start" | "wait" | "evacuated";

/** The parts of the agent's state that the check reads. */
export type EvacuationState = Pick<AgentState, "incarnation" | "evacuation" | "worker">;

/** Checks the leader's latest notice. Without a limit, the deployment does not use evacuations and nothing is checked. */
export function startPermission(
    { incarnation, evacuation, worker }: EvacuationState,
    limitMs: number | undefined,
    clock: Clock,
): StartPermission {
    if (limitMs === undefined) {
        return "may-start";
    }
    if (!worker || evacuation?.stamp.incarnation !== incarnation) {
        // The times of another incarnation may come from the clocks of another boot of the VM.
        return "wait";
    }
    const isFresh = noticeAgeMs(evacuation, clock) < limitMs - START_MARGIN_MS;
    if (!isFresh) {
        return "wait";
    }
    return evacuation.zones.includes(worker.heartbeat.availabilityZone) ? "evacuated" : "may-start";
}

/**
 * Time on the worker's clock, which may run slow, for which it may still execute a start that is sent now, so that a call held up in the
 * network is not executed after the limit; infinite without a limit.
 */
export function startLimitMs(
    { evacuation }: EvacuationState,
    limitMs: number | undefined,
    clock: Clock,
): number {
    if (limitMs === undefined || !evacuation) {
        return Infinity;
    }
    return (limitMs - noticeAgeMs(evacuation, clock)) / (1 + CLOCK_DRIFT);
}

/** Age of the leader's knowledge in milliseconds, with the time that the notice was on its way. */
function noticeAgeMs({ stamp, ageMs }: EvacuationNotice, clock: Clock): number {
    return elapsedSince(clock, stamp) + ageMs;
}
