import type { Report } from "../fleet/reportTypes.ts";

/** Number of recent outcomes that decide about a quarantine. */
const OUTCOME_WINDOW = 6;
const QUARANTINE_FAILURES = 5;
const INITIAL_PROBE_INTERVAL_MS = 10_000;
const MAX_PROBE_INTERVAL_MS = 160_000;
/** A server is slow if its typical run time is more than this many times the median. */
const SLOW_FACTOR = 3;
/** Time for which a timed-out call raises the cost of its server. */
const TIMEOUT_PENALTY_MS = 10_000;
/** Largest share of the servers that may be in quarantine; if more fail, the work and not the servers is at fault. */
const MAX_QUARANTINED_SHARE = 0.5;

/** Result of one request or task on a backend server. */
export type WorkOutcome = "succeeded" | "failed";

/** Identifies a report and its position in the sequence of an agent's reports. */
export type ReportPosition = Pick<Report, "incarnation" | "sequence">;

/** Health of one backend server, derived from an entry's calls to it. Times are milliseconds. */
export interface ServerHealth {
    /** The most recent outcomes, newest last. */
    outcomes: WorkOutcome[];
    quarantine: { probeAt: number; intervalMs: number } | undefined;
    /** The server's newest report when it refused a connection; it gets no work until it sends a newer report. */
    refusedAt: ReportPosition | undefined;
    timeouts: number[];
}

/** Returns the initial health of a server without any recorded calls. */
export function createHealth(): ServerHealth {
    return { outcomes: [], quarantine: undefined, refusedAt: undefined, timeouts: [] };
}

/** Records an outcome. A success ends a quarantine; a failure during a quarantine doubles the probe interval. */
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

/** Marks the due probe of a server in quarantine as sent; the next one is due after the same interval. */
export function takeProbe(health: ServerHealth, now: number): void {
    if (health.quarantine) {
        health.quarantine = { ...health.quarantine, probeAt: now + health.quarantine.intervalMs };
    }
}

/** Returns true if a server in quarantine should get one request or task as a probe. */
export function isProbeDue(health: ServerHealth, now: number): boolean {
    return health.quarantine !== undefined && now >= health.quarantine.probeAt;
}

/** Records a refused connection, which excludes the server until it sends a report newer than `report`. */
export function recordConnectionRefused(health: ServerHealth, report: ReportPosition): void {
    health.refusedAt = { incarnation: report.incarnation, sequence: report.sequence };
}

/**
 * Records a timed-out call. It only raises the server's cost and does not exclude the server: the server can be
 * slow, or a single connection can be broken.
 */
export function recordTimeout(health: ServerHealth, now: number): void {
    health.timeouts = [...health.timeouts.filter(at => now - at < TIMEOUT_PENALTY_MS), now];
}

/** Returns true if the server has refused a connection since it sent this report. */
export function hasRefusedSince(health: ServerHealth, report: ReportPosition): boolean {
    const { refusedAt } = health;
    return refusedAt?.incarnation === report.incarnation && report.sequence <= refusedAt.sequence;
}

/**
 * Names of the servers in quarantine. The result is empty if they are more than half of `total`, since the work and
 * not the servers is then at fault.
 */
export function quarantinedServers(servers: Iterable<[string, ServerHealth]>, total: number): Set<string> {
    const names = new Set<string>();
    for (const [name, health] of servers) {
        if (health.quarantine) {
            names.add(name);
        }
    }
    return names.size > total * MAX_QUARANTINED_SHARE ? new Set() : names;
}

/** Factor by which a server's expected cost is multiplied: 1, or more if it is slow or calls to it timed out. */
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

/** Median of the typical run times that are above 0; 0 if there is none. */
export function medianMs(values: number[]): number {
    const known = values.filter(value => value > 0).sort((a, b) => a - b);
    return known[Math.floor((known.length - 1) / 2)] ?? 0;
}
