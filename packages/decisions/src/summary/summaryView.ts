import type { AgentChange, CellSummary } from "./summaryTypes.ts";

/**
 * Newest change of each incarnation, by agent and incarnation. The view depends only on the set of applied
 * summaries, not on their order or repetition.
 */
export type SummaryView = Record<string, Record<string, AgentChange>>;

/** Number of incarnations of one agent that are kept; older ones are removed. */
const MAX_KEPT_INCARNATIONS = 4;

/** Applies a summary to a view. Summaries may arrive late, repeatedly or out of order. */
export function applySummary(view: SummaryView, summary: CellSummary): SummaryView {
    const applied = { ...view };
    for (const change of summary.changes) {
        const { name, incarnation } = change.report;
        const known = applied[name] ?? {};
        const current = known[incarnation];
        if (!current || compareChanges(change, current) > 0) {
            applied[name] = keepNewestIncarnations({ ...known, [incarnation]: change });
        }
    }
    return applied;
}

/** The newest change of an agent's newest incarnation; undefined if the agent is unknown. */
export function currentChange(view: SummaryView, name: string): AgentChange | undefined {
    const changes = Object.values(view[name] ?? {});
    return changes.sort(compareIncarnations).at(-1);
}

/**
 * Order of the changes of one incarnation. The report's sequence decides first, so an aggregating agent with old data
 * cannot replace a newer report. For equal reports the stamp decides whether the agent still reports.
 */
function compareChanges(left: AgentChange, right: AgentChange): number {
    return (
        left.report.sequence - right.report.sequence ||
        compareStamps(left, right) ||
        Number(left.reporting) - Number(right.reporting)
    );
}

/** Orders incarnations by their stamps; their random ids only break ties. */
function compareIncarnations(left: AgentChange, right: AgentChange): number {
    return compareStamps(left, right) || (left.report.incarnation < right.report.incarnation ? -1 : 1);
}

function compareStamps({ stamp: left }: AgentChange, { stamp: right }: AgentChange): number {
    return left.term - right.term || left.sequence - right.sequence;
}

function keepNewestIncarnations(incarnations: Record<string, AgentChange>): Record<string, AgentChange> {
    const kept = Object.values(incarnations).sort(compareIncarnations).slice(-MAX_KEPT_INCARNATIONS);
    return Object.fromEntries(kept.map(change => [change.report.incarnation, change]));
}
