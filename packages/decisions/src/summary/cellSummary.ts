import type { Report } from "../fleet/reportTypes.ts";
import type { AgentChange, CellSummary } from "./summaryTypes.ts";

/** Largest number of agents in a cell, a group of agents whose reports one of them aggregates for the entries. */
export const MAX_CELL_AGENTS = 64;

/** Time without a report after which an agent counts as not reporting. */
export const SILENT_AFTER_MS = 6_000;

/** Number of earlier incarnations of an agent that are kept, so that their late reports are ignored. */
const MAX_EARLIER_INCARNATIONS = 8;

/** State of one agent of a cell as the aggregating agent sees it. */
interface CellAgent extends AgentChange {
    lastReportMs: number;
    earlierIncarnations: string[];
}

/** State of the agent that aggregates the reports of a cell. */
export interface Cell {
    name: string;
    aggregator: string;
    term: number;
    /** Sequence number of the last summary. */
    sequence: number;
    agents: Record<string, CellAgent>;
    /** Sequence number of the last summary that each entry has applied, by entry name. */
    acknowledged: Record<string, number>;
}

/** Result of merging a report; `late`, `name-in-use` and `cell-full` mean that it was ignored. */
export type ReportMergeResult = "changed" | "unchanged" | "late" | "name-in-use" | "cell-full";

/** Creates a cell without agents; `term` comes from the entry that chose the aggregating agent. */
export function createCell(name: string, aggregator: string, term: number): Cell {
    return { name, aggregator, term, sequence: 0, agents: {}, acknowledged: {} };
}

/** Merges a report into a cell. If the report is ignored, the same cell is returned. */
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

/** Marks the agents that have not reported for `SILENT_AFTER_MS` as not reporting. */
export function markSilent(cell: Cell, nowMs: number): Cell {
    let marked = cell;
    for (const agent of Object.values(cell.agents)) {
        if (agent.reporting && nowMs - agent.lastReportMs >= SILENT_AFTER_MS) {
            marked = withAgent(marked, { ...agent, reporting: false, stamp: nextStamp(cell) });
        }
    }
    return marked;
}

/** Builds the next summary for each entry and raises the cell's sequence number. */
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

/** Records that an entry has applied a summary; an acknowledgement that arrives late changes nothing. */
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

/** Serializes a report without its sequence number, which increases with each report, for comparison. */
function contentOf(report: Report): string {
    return JSON.stringify({ ...report, sequence: 0 });
}
