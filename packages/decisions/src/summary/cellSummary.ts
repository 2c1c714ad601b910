import type { Report } from "../fleet/reportTypes.ts";
import type { AgentChange, CellSummary } from "./summaryTypes.ts";

/** Agents of one cell. */
export const MAX_CELL_AGENTS = 64;

/** Time without a report after which an agent counts as silent. */
export const SILENT_AFTER_MS = 6_000;

/** Earlier incarnations of an agent that are remembered, so that their late reports are ignored. */
const MAX_EARLIER_INCARNATIONS = 8;

/** An agent as the aggregating agent sees it. */
interface CellAgent extends AgentChange {
    lastReportMs: number;
    earlierIncarnations: string[];
}

/** State of an aggregating agent. */
export interface Cell {
    name: string;
    aggregator: string;
    term: number;
    /** Sequence of the last summary. */
    sequence: number;
    agents: Record<string, CellAgent>;
    /** Sequence of the last summary that an entry has applied, by entry. */
    acknowledged: Record<string, number>;
}

/** What became of a report. */
export type ReportMergeResult = "changed" | "unchanged" | "late" | "name-in-use" | "cell-full";

/** Starts a cell without agents; `term` comes from the entry that named the aggregating agent. */
export function createCell(name: string, aggregator: string, term: number): Cell {
    return { name, aggregator, term, sequence: 0, agents: {}, acknowledged: {} };
}

/** Merges one report; the cell is returned as it was unless the result is `changed` or `unchanged`. */
export function mergeReport(
    cell: Cell,
    report: Report,
    nowMs: number,
): { cell: Cell; result: ReportMergeResult } {
    const agent = cell.agents[report.name];
    if (!agent) {
        const isFull = Object.keys(cell.agents).length >= MAX_CELL_AGENTS;
        return isFull ? { cell, result: "cell-full" } : changed(cell, report, nowMs, []);
    }
    const { incarnation } = agent.report;
    if (incarnation !== report.incarnation) {
        if (agent.earlierIncarnations.includes(report.incarnation)) {
            return { cell, result: "late" };
        }
        if (nowMs - agent.lastReportMs < SILENT_AFTER_MS) {
            return { cell, result: "name-in-use" };
        }
        const earlier = [incarnation, ...agent.earlierIncarnations].slice(0, MAX_EARLIER_INCARNATIONS);
        return changed(cell, report, nowMs, earlier);
    }
    if (report.sequence <= agent.report.sequence) {
        return { cell, result: "late" };
    }
    if (!agent.reporting || contentOf(agent.report) !== contentOf(report)) {
        return changed(cell, report, nowMs, agent.earlierIncarnations);
    }
    return { cell: withAgent(cell, { ...agent, report, lastReportMs: nowMs }), result: "unchanged" };
}

/** Marks the agents that have not reported in time. */
export function markSilent(cell: Cell, nowMs: number): Cell {
    let marked = cell;
    for (const agent of Object.values(cell.agents)) {
        if (agent.reporting && nowMs - agent.lastReportMs >= SILENT_AFTER_MS) {
            marked = withAgent(marked, { ...agent, reporting: false, stamp: nextStamp(cell) });
        }
    }
    return marked;
}

/** Closes the interval and builds the summary of each entry. */
export function takeSummaries(
    cell: Cell,
    entries: string[],
): { cell: Cell; summaries: Record<string, CellSummary> } {
    const stamp = nextStamp(cell);
    const summaries: Record<string, CellSummary> = {};
    for (const entry of entries) {
        const acknowledged = cell.acknowledged[entry] ?? 0;
        const changes = Object.values(cell.agents)
            .filter(agent => agent.stamp.sequence > acknowledged)
            .map(agent => ({ report: agent.report, stamp: agent.stamp, reporting: agent.reporting }));
        summaries[entry] = { cell: cell.name, aggregator: cell.aggregator, stamp, changes };
    }
    return { cell: { ...cell, sequence: stamp.sequence }, summaries };
}

/** Records that an entry has applied a summary; late acknowledgements change nothing. */
export function acknowledge(cell: Cell, entry: string, sequence: number): Cell {
    const known = Math.max(cell.acknowledged[entry] ?? 0, Math.min(sequence, cell.sequence));
    return { ...cell, acknowledged: { ...cell.acknowledged, [entry]: known } };
}

function changed(cell: Cell, report: Report, nowMs: number, earlierIncarnations: string[]) {
    const agent = {
        report,
        stamp: nextStamp(cell),
        reporting: true,
        lastReportMs: nowMs,
        earlierIncarnations,
    };
    return { cell: withAgent(cell, agent), result: "changed" as const };
}

function withAgent(cell: Cell, agent: CellAgent): Cell {
    return { ...cell, agents: { ...cell.agents, [agent.report.name]: agent } };
}

function nextStamp({ term, sequence }: Cell) {
    return { term, sequence: sequence + 1 };
}

/** Everything but the sequence, which grows with each report. */
function contentOf(report: Report): string {
    return JSON.stringify({ ...report, sequence: 0 });
}
