import { sameBoot, type Boot } from "@tanagerdeck/decisions/job/progressTypes";
import { START_PHASE_MS } from "@tanagerdeck/decisions/worker/startPhase";
import { runKey, type CrashEnd, type StopOrder } from "@tanagerdeck/decisions/worker/workerReport";
import type { AgentState, KnownWorker } from "./agentState.ts";

/** A boot of the worker that a crash has ended, and what it means for each run that the boot had or may have started. */
export interface WorkerCrash {
    boot: Boot;
    ends: Map<string, CrashEnd>;
}

/** Crashes that are kept for a leader that takes over late; a worker is back after seconds. */
const KEPT_CRASHES = 4;

/** Notes that the boot has started a run, or may have, unless that is known. */
export function noteStart(state: AgentState, key: string, now: number): void {
    if (!state.startedAt.has(key)) {
        state.startedAt.set(key, now);
    }
}

/** Records that another boot has replaced the known one, which is a crash unless the worker had announced its end. */
export function recordCrash(state: AgentState, now: number): void {
    if (state.worker && !hasAnnouncedEnd(state.worker)) {
        const crash = { boot: state.worker.boot, ends: endsOfCrash(state, now) };
        state.crashes = [...state.crashes, crash].slice(-KEPT_CRASHES);
    }
}

/** How a run that can no longer be running ended by a crash of its worker; undefined if no crash is known. */
export function crashEndOf(state: AgentState, order: StopOrder, now: number): CrashEnd | undefined {
    const crash = state.crashes.find(({ boot }) => sameBoot(boot, order.boot));
    if (crash) {
        return crash.ends.get(runKey(order));
    }
    const { worker } = state;
    const isGone = state.isRefusingConnections && worker && sameBoot(worker.boot, order.boot);
    return isGone && !hasAnnouncedEnd(worker) ? endsOfCrash(state, now).get(runKey(order)) : undefined;
}

function hasAnnouncedEnd({ heartbeat, isLeaving, hasLeft }: KnownWorker): boolean {
    return hasLeft || isLeaving || heartbeat.isDraining;
}

function endsOfCrash(state: AgentState, now: number): Map<string, CrashEnd> {
    const crashedAt = state.unansweredSince ?? now;
    const ends = new Map<string, CrashEnd>();
    for (const [key, startedAt] of state.startedAt) {
        if (state.hasMoreEnds && !state.running.has(key)) {
            // It may have ended before the crash.
            continue;
        }
        ends.set(key, crashedAt - startedAt < START_PHASE_MS ? "crashed-at-start" : "crashed");
    }
    return ends;
}
