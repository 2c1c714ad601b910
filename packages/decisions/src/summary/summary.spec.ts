import { expect } from "chai";
import fc from "fast-check";
import type { Report, ServingState } from "../fleet/reportTypes.ts";
import {
    acknowledge,
    type Cell,
    MAX_CELL_AGENTS,
    markSilent,
    mergeReport,
    createCell,
    SILENT_AFTER_MS,
    takeSummaries,
} from "./cellSummary.ts";
import type { CellSummary } from "./summaryTypes.ts";
import { applySummary, currentChange, type SummaryView } from "./summaryView.ts";

const ENTRY = "entry-1";

function reportOf(
    name: string,
    sequence: number,
    state: ServingState = "serving",
    incarnation = "i9",
): Report {
    const place = { address: "", availabilityZone: "arima", server: "worker" as const };
    return { name, incarnation, sequence, ...place, state, configurationRevision: 1, gangs: [], usage: [] };
}

const event = fc.record({
    kind: fc.constantFrom(
        "report",
        "report",
        "report",
        "late",
        "restart",
        "summary",
        "acknowledge",
        "replace",
    ),
    agent: fc.constantFrom("a", "b", "c"),
    state: fc.constantFrom<ServingState>("serving", "draining"),
});
type Event = typeof event extends fc.Arbitrary<infer Value> ? Value : never;

interface History {
    summaries: CellSummary[];
    /** Newest report of each agent that was merged before the last summary, by agent name. */
    newest: Record<string, Report>;
}

/** Simulates the agents and aggregating agents of one cell; each live agent sends its reports in order. */
function runCell(events: Event[]): History {
    const sent: Record<string, Report> = {};
    const summaries: CellSummary[] = [];
    let cell: Cell = createCell("cell", "a", 1);
    let nowMs = 0;
    let incarnations = 0;
    const summarize = () => {
        const taken = takeSummaries(markSilent(cell, nowMs), [ENTRY]);
        cell = taken.cell;
        summaries.push(taken.summaries[ENTRY]!);
    };
    for (const { kind, agent, state } of events) {
        nowMs += 500;
        const last = sent[agent];
        if (kind === "report") {
            sent[agent] = reportOf(agent, (last?.sequence ?? 0) + 1, state, last?.incarnation);
            cell = mergeReport(cell, sent[agent], nowMs).cell;
        } else if (kind === "late" && last) {
            cell = mergeReport(cell, { ...last, sequence: last.sequence - 1, state: "left" }, nowMs).cell;
        } else if (kind === "restart" && last && incarnations < 3) {
            nowMs += SILENT_AFTER_MS;
            incarnations += 1;
            sent[agent] = reportOf(agent, 1, state, `i${9 - incarnations}`);
            cell = mergeReport(cell, sent[agent], nowMs).cell;
            cell = mergeReport(cell, { ...last, sequence: last.sequence + 1 }, nowMs + SILENT_AFTER_MS).cell;
        } else if (kind === "summary") {
            summarize();
        } else if (kind === "acknowledge") {
            cell = acknowledge(cell, ENTRY, cell.sequence);
        } else if (kind === "replace") {
            summarize();
            cell = createCell("cell", agent, cell.term + 1);
            for (const report of Object.values(sent)) {
                sent[report.name] = { ...report, sequence: report.sequence + 1 };
                cell = mergeReport(cell, sent[report.name]!, nowMs).cell;
            }
        }
    }
    summarize();
    return { summaries, newest: sent };
}

describe("cell summaries", () => {
    describe("at an entry", () => {
        it("give the newest state of each agent, whatever their order and repetition", () => {
            const property = fc.property(
                fc.array(event, { maxLength: 40 }),
                fc.infiniteStream(fc.nat()),
                (events, picks) => {
                    const { summaries, newest } = runCell(events);
                    const inOrder = summaries.reduce<SummaryView>(applySummary, {});
                    const shuffled = [...summaries, ...summaries]
                        .map(summary => ({ summary, key: picks.next().value as number }))
                        .sort((left, right) => left.key - right.key)
                        .reduce<SummaryView>((view, { summary }) => applySummary(view, summary), {});
                    expect(shuffled).to.deep.equal(inOrder);
                    for (const [name, { incarnation, state }] of Object.entries(newest)) {
                        const { report } = currentChange(shuffled, name)!;
                        expect(report).to.include({ incarnation, state });
                    }
                },
            );
            fc.assert(property, { numRuns: 500, seed: 20261204 });
        });
    });

    describe("at the aggregating agent", () => {
        it("repeat a change until the entry acknowledges it, and then omit it", () => {
            let { cell } = mergeReport(createCell("cell", "a", 1), reportOf("a", 1), 0);
            cell = takeSummaries(cell, [ENTRY]).cell;
            const repeated = takeSummaries(cell, [ENTRY]);
            expect(repeated.summaries[ENTRY]!.changes.length).to.equal(1);
            cell = acknowledge(repeated.cell, ENTRY, repeated.cell.sequence);
            cell = mergeReport(cell, reportOf("a", 2), 1_000).cell;
            expect(takeSummaries(cell, [ENTRY]).summaries[ENTRY]!.changes).to.deep.equal([]);
        });

        it("mark an agent without recent reports as not reporting", () => {
            const { cell } = mergeReport(createCell("cell", "a", 1), reportOf("a", 1), 0);
            const { summaries } = takeSummaries(markSilent(cell, SILENT_AFTER_MS), [ENTRY]);
            expect(summaries[ENTRY]!.changes[0]!.reporting).to.equal(false);
        });

        it("ignore a second agent with the same name and agents beyond the size of a cell", () => {
            let { cell } = mergeReport(createCell("cell", "a", 1), reportOf("a", 1), 0);
            expect(mergeReport(cell, reportOf("a", 1, "serving", "i1"), 1_000).result).to.equal(
                "name-in-use",
            );
            for (let agent = 1; agent < MAX_CELL_AGENTS; agent++) {
                cell = mergeReport(cell, reportOf(`agent-${agent}`, 1), 0).cell;
            }
            expect(mergeReport(cell, reportOf("one-more", 1), 0).result).to.equal("cell-full");
        });
    });
});
