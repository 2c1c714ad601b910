import type { Report } from "../fleet/reportTypes.ts";

/**
 * Position of a change. An entry raises the term when it names another aggregating agent for a cell; the
 * sequence counts the summaries of one term.
 */
export interface SummaryStamp {
    term: number;
    sequence: number;
}

/** An agent's newest report at the time of a change. */
export interface AgentChange {
    report: Report;
    stamp: SummaryStamp;
    /** False once the agent has not reported to the aggregating agent within the time limit. */
    reporting: boolean;
}

/** What the aggregating agent of a cell sends to one entry: all changes that the entry has not acknowledged. */
export interface CellSummary {
    cell: string;
    aggregator: string;
    stamp: SummaryStamp;
    changes: AgentChange[];
}
