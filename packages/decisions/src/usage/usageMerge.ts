import type { UsageCounter } from "../fleet/reportTypes.ts";

/** Cumulative usage; both numbers only increase within one incarnation. */
export interface UsageAmount {
    milliseconds: number;
    count: number;
}

/** Usage by client account and kind. */
export type AccountUsage = Record<string, Record<string, UsageAmount>>;

/** Usage that one incarnation reported; `seenAt` is the wall-clock time of its last report in milliseconds. */
export interface IncarnationUsage {
    seenAt: number;
    accounts: AccountUsage;
}

/** Cumulative usage by agent and incarnation. */
export type UsageTable = Record<string, Record<string, IncarnationUsage>>;

/** A stored usage record. `ended` is the sum of the incarnations that are no longer kept separately in `live`. */
export interface UsageRecord {
    live: UsageTable;
    ended: AccountUsage;
}

/** Usage of one client account and kind, summed over all agents and incarnations. */
export interface UsageTotal extends UsageAmount {
    clientAccount: string;
    kind: string;
}

/** Builds the table of one report. Of several counters for one account and kind, the highest values count. */
export function usageTableOfReport(
    agent: string,
    incarnation: string,
    counters: UsageCounter[],
    seenAt: number,
): UsageTable {
    let accounts: AccountUsage = {};
    for (const { clientAccount, kind, milliseconds, count } of counters) {
        accounts = mergeAccounts(accounts, { [clientAccount]: { [kind]: { milliseconds, count } } }, highest);
    }
    return { [agent]: { [incarnation]: { seenAt, accounts } } };
}

/**
 * Merges two tables by the highest value of each counter. A late, repeated or out-of-order report therefore never
 * lowers a counter, and tables can be merged in any order.
 */
export function mergeUsage(a: UsageTable, b: UsageTable): UsageTable {
    return mergeRecords(a, b, (agentA, agentB) =>
        mergeRecords(agentA, agentB, (usageA, usageB) => ({
            seenAt: Math.max(usageA.seenAt, usageB.seenAt),
            accounts: mergeAccounts(usageA.accounts, usageB.accounts, highest),
        })),
    );
}

/** Returns the incarnations whose last report was at `after` or later. */
export function recentUsage(table: UsageTable, after: number): UsageTable {
    return splitUsage(table, after).recent;
}

/**
 * Moves the incarnations whose last report was earlier than `before` into the sum `ended`, which keeps the record
 * small while VMs are replaced. Such an incarnation must never be merged into the record again, since it would then
 * count twice.
 */
export function foldEnded(record: UsageRecord, before: number): UsageRecord {
    const { recent, old } = splitUsage(record.live, before);
    const ended = old.reduce((total, { accounts }) => mergeAccounts(total, accounts, sum), record.ended);
    return { live: recent, ended };
}

/** Computes the totals of a record by client account and kind, sorted by both. */
export function usageTotals(record: UsageRecord): UsageTotal[] {
    const { ended } = foldEnded(record, Number.POSITIVE_INFINITY);
    const totals: UsageTotal[] = [];
    for (const clientAccount of Object.keys(ended).sort()) {
        const kinds = ended[clientAccount] ?? {};
        for (const kind of Object.keys(kinds).sort()) {
            totals.push({ clientAccount, kind, ...kinds[kind]! });
        }
    }
    return totals;
}

/** Joins several records. An incarnation may be in several `live` tables, but in only one `ended` sum. */
export function joinRecords(records: UsageRecord[]): UsageRecord {
    return records.reduce(
        (joined, { live, ended }) => ({
            live: mergeUsage(joined.live, live),
            ended: mergeAccounts(joined.ended, ended, sum),
        }),
        { live: {}, ended: {} },
    );
}

type MergeAmounts = (a: UsageAmount, b: UsageAmount) => UsageAmount;

const highest: MergeAmounts = (a, b) => ({
    milliseconds: Math.max(a.milliseconds, b.milliseconds),
    count: Math.max(a.count, b.count),
});

const sum: MergeAmounts = (a, b) => ({
    milliseconds: a.milliseconds + b.milliseconds,
    count: a.count + b.count,
});

function mergeAccounts(a: AccountUsage, b: AccountUsage, merge: MergeAmounts): AccountUsage {
    return mergeRecords(a, b, (kindsA, kindsB) => mergeRecords(kindsA, kindsB, merge));
}

function splitUsage(table: UsageTable, at: number): { recent: UsageTable; old: IncarnationUsage[] } {
    const recent: UsageTable = {};
    const old: IncarnationUsage[] = [];
    for (const [agent, incarnations] of Object.entries(table)) {
        for (const [incarnation, usage] of Object.entries(incarnations)) {
            if (usage.seenAt < at) {
                old.push(usage);
                continue;
            }
            recent[agent] = { ...recent[agent], [incarnation]: usage };
        }
    }
    return { recent, old };
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
