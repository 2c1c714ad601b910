import type { Priority } from "../document/documentTypes.ts";
import type { AgentState, Report, RunnerLoad } from "../fleet/reportTypes.ts";
import {
    costFactor,
    isProbeDue,
    hasRefusedSince,
    quarantinedServers,
    type ReportPosition,
    type ServerHealth,
} from "../health/serverHealth.ts";

/** An agent as an entry sees it: its newest report and its state. */
export interface AgentView {
    report: Report;
    state: AgentState;
}

/** Number of requests that an entry sent to an agent since the agent's report at this position. */
export interface SentCount extends ReportPosition {
    count: number;
}

/** Inputs of a choice of runner besides the agents. `random` returns a number in [0, 1). */
export interface ChoiceContext {
    availabilityZone: string;
    excluded: Set<string>;
    random: () => number;
    priority: Priority;
    /** True if the request may be sent to a server in quarantine as a probe. */
    mayProbe: boolean;
    now: number;
    health: Map<string, ServerHealth>;
    sentCounts: Map<string, SentCount>;
    /** Median of the agents' typical run times. */
    medianMs: number;
}

/** Run time that is assumed for an agent that has not finished a run yet. */
const DEFAULT_RUN_MS = 100;
/** Cost that is added for an agent in another availability zone. */
const OTHER_ZONE_PENALTY_MS = 5;

/**
 * Chooses the serving runner with the lowest expected cost; undefined if there is none. If the request may be a
 * probe, a quarantined runner whose probe is due is chosen first.
 */
export function chooseRunner(agents: AgentView[], context: ChoiceContext): AgentView | undefined {
    const serving = agents.filter(agent => isServing(agent, context));
    const known = serving.flatMap(({ report }): [string, ServerHealth][] => {
        const health = context.health.get(report.name);
        return health ? [[report.name, health]] : [];
    });
    const quarantined = quarantinedServers(known, serving.length);
    let best: AgentView | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const agent of serving) {
        const { name } = agent.report;
        if (quarantined.has(name)) {
            const health = context.health.get(name);
            if (context.mayProbe && health && isProbeDue(health, context.now)) {
                return agent;
            }
            continue;
        }
        const cost = expectedCost(agent.report, context);
        if (cost < bestCost) {
            best = agent;
            bestCost = cost;
        }
    }
    return best;
}

/** Counts a request that was sent to an agent, so that it adds to the agent's load until the next report. */
export function countSent(sent: Map<string, SentCount>, report: Report): void {
    const { name, incarnation, sequence } = report;
    const known = sent.get(name);
    const count = known && isSameReport(known, report) ? known.count + 1 : 1;
    sent.set(name, { incarnation, sequence, count });
}

function isSameReport(a: ReportPosition, b: ReportPosition): boolean {
    return a.incarnation === b.incarnation && a.sequence === b.sequence;
}

function isServing(agent: AgentView, context: ChoiceContext): boolean {
    const { report, state } = agent;
    const health = context.health.get(report.name);
    const refusing = health !== undefined && hasRefusedSince(health, report);
    return (
        state === "serving" && report.runner !== undefined && !refusing && !context.excluded.has(report.name)
    );
}

function expectedCost(report: Report, context: ChoiceContext): number {
    const load = report.runner as RunnerLoad;
    const sent = context.sentCounts.get(report.name);
    const sinceReport = sent && isSameReport(sent, report) ? sent.count : 0;
    const beyondSlots = Math.max(0, load.running + load.waiting + sinceReport + 1 - load.slots);
    const backlog = Math.min(beyondSlots, sinceReport) * ((load.typicalRunMs || DEFAULT_RUN_MS) / load.slots);
    const factor = costFactor(
        context.health.get(report.name),
        load.typicalRunMs,
        context.medianMs,
        context.now,
    );
    const penalty = report.availabilityZone === context.availabilityZone ? 0 : OTHER_ZONE_PENALTY_MS;
    const run = load.typicalRunMs * (factor - 1);
    return (
        (load.waitByPriority[context.priority] + backlog) * factor + run + factor + penalty + context.random()
    );
}
