import type { UsageCounter } from "../fleet/reportTypes.ts";

/** Cumulative use; both numbers only grow within one incarnation. */
export interface UsageAmount {
    milliseconds: number;
    count: number;
}

/** Cumulative use by agent, incarnation, client account and kind. */
export type UsageTable = Record<string, Record<string, Record<string, Record<string, UsageAmount>>>>;

/** Use of one client account and kind, summed over all agents and incarnations. */
export interface UsageTotal extends UsageAmount {
    clientAccount: string;
    kind: string;
}

/** The table of one report. Repeated counters of one account and kind count as one, with the highest value. */
export function tableOfReport(agent: string, incarnation: string, counters: UsageCounter[]): UsageTable {
    let table: UsageTable = {};
    for (const { clientAccount, kind, milliseconds, count } of counters) {
        const one = { [agent]: { [incarnation]: { [clientAccount]: { [kind]: { milliseconds, count } } } } };
        table = mergeUsage(table, one);
    }
    return table;
}

/**
 * Takes the highest value of each counter. Late, repeated and out-of-order reports therefore change nothing that a
 * newer one has told, and tables can be merged in any order.
 */
export function mergeUsage(a: UsageTable, b: UsageTable): UsageTable {
    return mergeRecords(a, b, (agentA, agentB) =>
        mergeRecords(agentA, agentB, (startA, startB) =>
            mergeRecords(startA, startB, (accountA, accountB) =>
                mergeRecords(accountA, accountB, (amountA, amountB) => ({
                    milliseconds: Math.max(amountA.milliseconds, amountB.milliseconds),
                    count: Math.max(amountA.count, amountB.count),
                })),
            ),
        ),
    );
}

/** Sums a table by client account and kind, ordered by both. */
export function usageTotals(table: UsageTable): UsageTotal[] {
    const totals = new Map<string, UsageTotal>();
    for (const incarnations of Object.values(table)) {
        for (const accounts of Object.values(incarnations)) {
            for (const [clientAccount, kinds] of Object.entries(accounts)) {
                for (const [kind, amount] of Object.entries(kinds)) {
                    const key = `${clientAccount}/${kind}`;
                    const total = totals.get(key) ?? { clientAccount, kind, milliseconds: 0, count: 0 };
                    total.milliseconds += amount.milliseconds;
                    total.count += amount.count;
                    totals.set(key, total);
                }
            }
        }
    }
    return [...totals.entries()].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, total]) => total);
}

function mergeRecords<T>(
    a: Record<string, T>,
    b: Record<string, T>,
    merge: (a: T, b: T) => T,
): Record<string, T> {
    const merged: Record<string, T> = { ...a };
    for (const [key, value] of Object.entries(b)) {
        const known = merged[key];
        merged[key] = known === undefined ? value : merge(known, value);
    }
    return merged;
}
