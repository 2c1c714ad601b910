import {
    createHealth,
    recordOutcome,
    recordConnectionRefused,
    recordTimeout,
} from "@tanagerdeck/decisions/health/serverHealth";
import type { CallResult, CallStep } from "@tanagerdeck/decisions/routing/callStep";
import { getOrCreate, type RoutingState } from "./routingState.ts";

/** Records the result of a call in the health of the agent's backend server. */
export function recordCallHealth(
    state: RoutingState,
    agent: string,
    step: CallStep,
    result: CallResult,
): void {
    const health = getOrCreate(state.health, agent, createHealth);
    const now = state.options.clock.now();
    const report = state.agents.find(view => view.report.name === agent)?.report;
    if (result.kind === "failed") {
        if (result.failure.reason !== "unreachable") {
            return;
        }
        if (result.failure.verdict === "not-run" && report) {
            recordConnectionRefused(health, report);
            return;
        }
        recordTimeout(health, now);
        return;
    }
    if (result.kind === "damaged" || result.progress.kind === "pending") {
        return;
    }
    const { outcome } = result.progress;
    if (outcome.kind === "answer") {
        recordOutcome(health, "succeeded", now);
        return;
    }
    if (outcome.reason === "backend-error") {
        recordOutcome(health, "failed", now);
    }
    if (outcome.reason === "draining" && step === "submit" && report) {
        recordConnectionRefused(health, report);
    }
}
