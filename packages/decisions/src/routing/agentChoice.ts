import type { AgentState, Report } from "../fleet/reportTypes.ts";

/** An agent as an entry sees it. */
export interface AgentView {
    report: Report;
    state: AgentState;
}

/** What a choice of agent depends on. `random` returns a number in [0, 1). */
export interface ChoiceContext {
    availabilityZone: string;
    excluded: Set<string>;
    random: () => number;
}

/** Penalty for leaving the own availability zone. */
const OTHER_ZONE_PENALTY_MS = 5;

/** The serving runner with the least expected wait; undefined if none serves. */
export function chooseRunner(agents: Iterable<AgentView>, context: ChoiceContext): AgentView | undefined {
    let best: AgentView | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const agent of agents) {
        if (agent.state !== "serving" || !agent.report.runner || context.excluded.has(agent.report.name)) {
            continue;
        }
        const penalty =
            agent.report.availabilityZone === context.availabilityZone ? 0 : OTHER_ZONE_PENALTY_MS;
        const cost = agent.report.runner.expectedWaitMs + penalty + context.random();
        if (cost < bestCost) {
            best = agent;
            bestCost = cost;
        }
    }
    return best;
}
