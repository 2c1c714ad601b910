import type { UsageCounter } from "../fleet/reportTypes.ts";

/** Cumulative use; both numbers only grow within one incarnation. */
export interface UsageAmount {
    milliseconds: number;
    count: number;
}

/** Use by client account and kind. */
export type AccountUsage = Record<string, Record<string, UsageAmount>>;

/** Use reported by one incarnation; `seenAt` is the wall-clock time in milliseconds of its last report. */
export interface IncarnationUsage {
    seenAt: number;
    accounts: AccountUsage;
}

/** Cumulative use by agent and incarnation. */
export type UsageTable = Record<string, Record<string, IncarnationUsage>>;

/** One usage record of the platform. `ended` sums the incarnations that are no longer kept one by one. */
export interface UsageRecord {
    live: UsageTable;
    ended: AccountUsage;
}

/** Use of one client account and kind, summed over all agents and incarnations. */
export interface UsageTotal extends UsageAmount {
    clientAccount: string;
    kind: string;
}

/** The table of one report. Repeated counters of one account and kind count as one, with the highest value. */
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
 * Takes the highest value of each counter. Late, repeated and out-of-order reports therefore change nothing that a
 * newer one has told, and tables can be merged in any order.
 */
export function mergeUsage(a: UsageTable, b: UsageTable): UsageTable {
    return mergeRecords(a, b, (agentA, agentB) =>
        mergeRecords(agentA, agentB, (usageA, usageB) => ({
            seenAt: Math.max(usageA.seenAt, usageB.seenAt),
            accounts: mergeAccounts(usageA.accounts, usageB.accounts, highest),
        })),
    );
}

/** The incarnations that reported at `after` or later. */
export function recentUsage(table: UsageTable, after: number): UsageTable {
    return splitUsage(table, after).recent;
}

/**
 * Sums the incarnations that did not report since `before` into `ended`, which keeps the record small while VMs are
 * replaced. No process may merge such an incarnation into the record again, or it would count twice.
 */
export function foldEnded(record: UsageRecord, before: number): UsageRecord {
    const { recent, old } = splitUsage(record.live, before);
    const ended = old.reduce((total, { accounts }) => mergeAccounts(total, accounts, sum), record.ended);
    return { live: recent, ended };
}

/** Sums a record by client account and kind, ordered by both. */
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

/** One record with the content of several; `live` parts may overlap, `ended` parts must not. */
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
