import { expect } from "chai";
import fc from "fast-check";
import { bucketForAgent, flushingEntry, USAGE_BUCKETS } from "./usageBuckets.ts";
import { foldEnded, mergeUsage, usageTableOfReport, usageTotals, type UsageTable } from "./usageMerge.ts";

const name = fc.constantFrom("a", "b", "c");
const counter = fc.record({
    clientAccount: name,
    kind: name,
    milliseconds: fc.nat(1_000),
    count: fc.nat(50),
});
const report = fc.record({ agent: name, incarnation: name, counters: fc.array(counter, { maxLength: 4 }) });
const reports = fc.array(report, { maxLength: 12 });
type ReportCase = { agent: string; incarnation: string; counters: Parameters<typeof usageTableOfReport>[2] };

function mergeReports(cases: ReportCase[]): UsageTable {
    return cases
        .map(({ agent, incarnation, counters }) => usageTableOfReport(agent, incarnation, counters, 0))
        .reduce(mergeUsage, {});
}

describe("usage", () => {
    describe("merging counters", () => {
        it("gives the same result for reports in any order, late or repeated", () => {
            fc.assert(
                fc.property(reports, fc.array(fc.nat(), { maxLength: 12 }), (reported, picks) => {
                    const repeated = [
                        ...reported,
                        ...picks.flatMap(pick => reported[pick % reported.length] ?? []),
                    ];
                    expect(mergeReports(repeated.reverse())).to.deep.equal(mergeReports(reported));
                }),
            );
        });

        it("gives the same result however entries group the tables that they merge", () => {
            fc.assert(
                fc.property(reports, reports, reports, (a, b, c) => {
                    const left = mergeUsage(mergeUsage(mergeReports(a), mergeReports(b)), mergeReports(c));
                    const right = mergeUsage(mergeReports(a), mergeUsage(mergeReports(c), mergeReports(b)));
                    expect(left).to.deep.equal(right);
                    expect(mergeUsage(left, left)).to.deep.equal(left);
                }),
            );
        });

        it("counts the last value of each incarnation once in the totals", () => {
            const growing = fc.array(fc.nat(100), { minLength: 1, maxLength: 6 });
            fc.assert(
                fc.property(growing, growing, (first, second) => {
                    const reported = [...cumulative("one", first), ...cumulative("two", second)];
                    const [total] = usageTotals({ live: mergeReports(reported.reverse()), ended: {} });
                    const expected = [...first, ...second].reduce((sum, step) => sum + step, 0);
                    expect(total?.milliseconds).to.equal(expected);
                }),
            );
        });
    });

    describe("summing up ended incarnations", () => {
        it("keeps the totals and drops the incarnations", () => {
            fc.assert(
                fc.property(reports, reported => {
                    const record = { live: mergeReports(reported), ended: {} };
                    const folded = foldEnded(record, 1);
                    expect(folded.live).to.deep.equal({});
                    expect(usageTotals(folded)).to.deep.equal(usageTotals(record));
                }),
            );
        });
    });

    describe("buckets", () => {
        const hash = (text: string) => [...text].reduce((sum, c) => (sum * 31 + c.charCodeAt(0)) >>> 0, 7);

        it("assigns each agent to one of 64 records", () => {
            expect(bucketForAgent("agent-1", hash)).to.be.within(0, USAGE_BUCKETS - 1);
        });

        it("moves only the buckets of an entry that disappears", () => {
            for (let bucket = 0; bucket < USAGE_BUCKETS; bucket++) {
                const before = flushingEntry(bucket, ["e1", "e2", "e3"], hash);
                if (before !== "e3") {
                    expect(flushingEntry(bucket, ["e2", "e1"], hash)).to.equal(before);
                }
            }
        });
    });
});

function cumulative(incarnation: string, steps: number[]): ReportCase[] {
    let milliseconds = 0;
    return steps.map(step => {
        milliseconds += step;
        return {
            agent: "a",
            incarnation,
            counters: [{ clientAccount: "x", kind: "k", milliseconds, count: 1 }],
        };
    });
}
