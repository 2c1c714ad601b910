/** A task failure or stall that the worker may have caused. */
export interface WorkerFault {
    /** Time on the leader's clock. */
    at: number;
    /** Job and group that failed, so that repeated failures of one group count once. */
    failedGroup: string;
    /** Whether nothing progressed on the worker, which counts as much as failures of several groups. */
    isStall: boolean;
}

/** Time for which a fault ranks the worker behind others in placement. */
const RECENT_FAULT_MS = 10_000;
/** Time for which a fault counts towards quarantine; it must exceed the longest quarantine. */
const FAULT_WINDOW_MS = 30_000;
/** Groups that must fail without a success in between; a few percent of tasks fail through their own fault. */
const QUARANTINE_THRESHOLD = 2;
/** Length of the first quarantine; it doubles with each further failure. */
const FIRST_QUARANTINE_MS = 1_000;
const MAX_QUARANTINE_MS = 8_000;
/** Longest quarantine while the service has much free capacity, as a task may be bound to just this worker. */
const MAX_IDLE_QUARANTINE_MS = 2_000;
/** If a larger fraction of the workers fails, the tasks are more likely at fault than the workers. */
const MAX_QUARANTINED_FRACTION = 1 / 3;

/** Faults that are kept of a worker; more of them change nothing, and a job of many tasks may cause thousands. */
const MAX_FAULTS = 64;

/** Adds a fault and drops the faults that are older than the window. */
export function withFault(faults: WorkerFault[], fault: WorkerFault): WorkerFault[] {
    const recent = faults.filter(({ at }) => fault.at - at < FAULT_WINDOW_MS);
    return [...recent.slice(1 - MAX_FAULTS), fault];
}

/** Number of recent faults; placement prefers workers with fewer. */
export function countRecentFaults(faults: WorkerFault[], now: number): number {
    return faults.filter(({ at }) => now - at < RECENT_FAULT_MS).length;
}

/** What decides on the quarantine of a worker besides its faults. */
export interface WorkerLoad {
    hasTasks: boolean;
    /** Whether little of the service's capacity is in use. */
    isServiceIdle: boolean;
}

/**
 * Whether a worker is quarantined. It gets no tasks until the quarantine has ended, and then one group at a time until
 * a task succeeds. In an idle service the other workers are preferred anyway, so the quarantine is short there and holds
 * back no second group.
 */
export function isQuarantined(
    faults: WorkerFault[],
    { hasTasks, isServiceIdle }: WorkerLoad,
    now: number,
): boolean {
    const last = faults.at(-1);
    const failures = countFailures(faults, now);
    if (!last || failures < QUARANTINE_THRESHOLD) {
        return false;
    }
    const lengthMs = FIRST_QUARANTINE_MS * 2 ** (failures - QUARANTINE_THRESHOLD);
    if (isServiceIdle) {
        return now - last.at < Math.min(MAX_IDLE_QUARANTINE_MS, lengthMs);
    }
    return hasTasks || now - last.at < Math.min(MAX_QUARANTINE_MS, lengthMs);
}

/** Whether few enough workers would be quarantined; otherwise the tasks are more likely at fault. */
export function isQuarantineAllowed(quarantined: number, workers: number): boolean {
    return quarantined <= Math.max(1, Math.floor(workers * MAX_QUARANTINED_FRACTION));
}

/** Number of groups that failed since the last success within the window; a stall counts twice. */
function countFailures(faults: WorkerFault[], now: number): number {
    const failedGroups = new Set<string>();
    let stalls = 0;
    for (const { at, failedGroup, isStall } of faults) {
        if (now - at < FAULT_WINDOW_MS) {
            failedGroups.add(failedGroup);
            stalls += isStall ? 1 : 0;
        }
    }
    return failedGroups.size + stalls;
}
