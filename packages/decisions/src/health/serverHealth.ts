import type { Report } from "../fleet/reportTypes.ts";

/** Outcomes that are judged together. */
const OUTCOME_WINDOW = 6;
const QUARANTINE_FAILURES = 5;
const INITIAL_PROBE_INTERVAL_MS = 10_000;
const MAX_PROBE_INTERVAL_MS = 160_000;
/** A server whose expected time is over this many times the median is slow. */
const SLOW_FACTOR = 3;
/** A call that timed out counts against its server for this time. */
const TIMEOUT_PENALTY_MS = 10_000;
/** Larger part of servers that may be in quarantine; beyond it the work is at fault, not the servers. */
const MAX_QUARANTINED_SHARE = 0.5;

/** End of one piece of work on a backend server. */
export type WorkOutcome = "succeeded" | "failed";

/** Position of a report among all reports of an agent. */
export type ReportPosition = Pick<Report, "incarnation" | "sequence">;

/** What an entry has learned about one backend server from its calls. Times are milliseconds. */
export interface ServerHealth {
    /** Newest last. */
    outcomes: WorkOutcome[];
    quarantine: { probeAt: number; intervalMs: number } | undefined;
    /** The newest report when a connection was refused; the server gets no work until a newer one. */
    refusedAt: ReportPosition | undefined;
    timeouts: number[];
}

/** Health of a server about which nothing is known. */
export function createHealth(): ServerHealth {
    return { outcomes: [], quarantine: undefined, refusedAt: undefined, timeouts: [] };
}

/** Adds the end of one piece of work. A success ends a quarantine; a failed probe doubles its interval. */
export function recordOutcome(health: ServerHealth, outcome: WorkOutcome, now: number): void {
    health.outcomes = [...health.outcomes, outcome].slice(-OUTCOME_WINDOW);
    if (outcome === "succeeded") {
        if (health.quarantine) {
            health.quarantine = undefined;
            health.outcomes = [outcome];
        }
        return;
    }
    if (health.quarantine) {
        const intervalMs = Math.min(MAX_PROBE_INTERVAL_MS, health.quarantine.intervalMs * 2);
        health.quarantine = { intervalMs, probeAt: now + intervalMs };
        return;
    }
    const failed = health.outcomes.filter(recorded => recorded === "failed").length;
    if (failed >= QUARANTINE_FAILURES) {
        health.quarantine = {
            intervalMs: INITIAL_PROBE_INTERVAL_MS,
            probeAt: now + INITIAL_PROBE_INTERVAL_MS,
        };
    }
}

/** Takes the due probe of a server in quarantine; the next one is due after the same interval. */
export function takeProbe(health: ServerHealth, now: number): void {
    if (health.quarantine) {
        health.quarantine = { ...health.quarantine, probeAt: now + health.quarantine.intervalMs };
    }
}

/** True if a server in quarantine should get one piece of work as a probe. */
export function isProbeDue(health: ServerHealth, now: number): boolean {
    return health.quarantine !== undefined && now >= health.quarantine.probeAt;
}

/** A refused connection excludes the server until it reports again. */
export function recordConnectionRefused(health: ServerHealth, report: ReportPosition): void {
    health.refusedAt = { incarnation: report.incarnation, sequence: report.sequence };
}

/** A call that timed out only weights the server down: it can be slow, or one connection can be silent. */
export function recordTimeout(health: ServerHealth, now: number): void {
    health.timeouts = [...health.timeouts.filter(at => now - at < TIMEOUT_PENALTY_MS), now];
}

/** True if the server has refused a connection since this report. */
export function hasRefusedSince(health: ServerHealth, report: ReportPosition): boolean {
    const { refusedAt } = health;
    return refusedAt?.incarnation === report.incarnation && report.sequence <= refusedAt.sequence;
}

/** Names of the servers in quarantine; none if they are more than half, since the work is then at fault. */
export function quarantinedServers(servers: Iterable<[string, ServerHealth]>, total: number): Set<string> {
    const names = new Set<string>();
    for (const [name, health] of servers) {
        if (health.quarantine) {
            names.add(name);
        }
    }
    return names.size > total * MAX_QUARANTINED_SHARE ? new Set() : names;
}

/** Factor by which a server's cost counts: 1, or more if it is slow or calls to it timed out. */
export function costFactor(
    health: ServerHealth | undefined,
    typicalMs: number,
    medianMs: number,
    now: number,
): number {
    const slowFactor = medianMs > 0 && typicalMs > SLOW_FACTOR * medianMs ? typicalMs / medianMs : 1;
    const timeouts = health?.timeouts.filter(at => now - at < TIMEOUT_PENALTY_MS).length ?? 0;
    return slowFactor * 2 ** Math.min(timeouts, 6);
}

/** The median of the typical run times; 0 if none is known. */
export function medianMs(values: number[]): number {
    const known = values.filter(value => value > 0).sort((a, b) => a - b);
    return known[Math.floor((known.length - 1) / 2)] ?? 0;
}
