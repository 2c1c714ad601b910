import type { Report } from "../fleet/reportTypes.ts";

/**
 * Position of a change in the order of a cell's summaries. An entry raises the term when it chooses another
 * aggregating agent for the cell; the sequence counts the summaries of one term.
 */
export interface SummaryStamp {
    term: number;
    sequence: number;
}

/** A change of one agent: its newest report and whether it still reports. */
export interface AgentChange {
    report: Report;
    stamp: SummaryStamp;
    /** False once the agent has not reported to the aggregating agent within the time limit. */
    reporting: boolean;
}

/** Message of a cell's aggregating agent to one entry, with all changes that the entry has not acknowledged. */
export interface CellSummary {
    cell: string;
    aggregator: string;
    stamp: SummaryStamp;
    changes: AgentChange[];
}
