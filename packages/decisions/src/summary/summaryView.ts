import type { AgentChange, CellSummary } from "./summaryTypes.ts";

/** Newest change of each incarnation by agent. Equal for every order and repetition of the same summaries. */
export type SummaryView = Record<string, Record<string, AgentChange>>;

/** Incarnations of one agent that are kept; older ones are dropped. */
const MAX_KEPT_INCARNATIONS = 4;

/** Applies a summary, which may be late, repeated or out of order. */
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

/** The agent's newest state: of the incarnation that was seen last. */
export function currentChange(view: SummaryView, name: string): AgentChange | undefined {
    const changes = Object.values(view[name] ?? {});
    return changes.sort(compareIncarnations).at(-1);
}

/**
 * Order of the changes of one incarnation. The agent's own sequence decides, so an aggregating agent that is
 * behind cannot undo a newer report; the stamp decides whether the agent was silent after that report.
 */
function compareChanges(left: AgentChange, right: AgentChange): number {
    return (
        left.report.sequence - right.report.sequence ||
        compareStamps(left, right) ||
        Number(left.reporting) - Number(right.reporting)
    );
}

/** Order of incarnations, whose names are random. */
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
