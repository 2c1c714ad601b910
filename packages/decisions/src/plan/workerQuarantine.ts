/** A failure that may be the worker's fault. */
export interface WorkerFault {
    /** Time on the leader's clock. */
    at: number;
    /** Job and group that failed, so that repeated failures of one group count once. */
    failedGroup: string;
    /** Whether nothing progressed on the worker, which several failures of tasks are needed to show. */
    isStall: boolean;
}

/** For how long a failure makes a worker the last choice. */
const RECENT_FAULT_MS = 10_000;
/** For how long failures count towards quarantine; longer than the longest quarantine. */
const FAULT_WINDOW_MS = 30_000;
/** Groups that have to fail in a row, as a few tasks in a hundred fail by their own fault. */
const QUARANTINE_THRESHOLD = 2;
/** The quarantine doubles with each further failure. */
const FIRST_QUARANTINE_MS = 1_000;
const MAX_QUARANTINE_MS = 8_000;
/** If more of the workers fail, the tasks are more likely at fault than the workers. */
const MAX_QUARANTINED_FRACTION = 1 / 3;

/** Adds a fault to a worker's recent ones and drops those that no longer count. */
export function withFault(faults: WorkerFault[], fault: WorkerFault): WorkerFault[] {
    return [...faults.filter(({ at }) => fault.at - at < FAULT_WINDOW_MS), fault];
}

/** How little a worker is trusted; 0 is full trust. */
export function countRecentFaults(faults: WorkerFault[], now: number): number {
    return faults.filter(({ at }) => now - at < RECENT_FAULT_MS).length;
}

/**
 * Whether a worker fails what it is given. It takes nothing until the quarantine ends, and then one group at a time
 * until a task is done there.
 */
export function isQuarantined(faults: WorkerFault[], hasTasks: boolean, now: number): boolean {
    const last = faults.at(-1);
    const failures = countFailures(faults, now);
    if (!last || failures < QUARANTINE_THRESHOLD) {
        return false;
    }
    const lengthMs = FIRST_QUARANTINE_MS * 2 ** (failures - QUARANTINE_THRESHOLD);
    return hasTasks || now - last.at < Math.min(MAX_QUARANTINE_MS, lengthMs);
}

/** Whether so many workers are quarantined that their tasks are more likely at fault. */
export function isQuarantineAllowed(quarantined: number, workers: number): boolean {
    return quarantined <= Math.max(1, Math.floor(workers * MAX_QUARANTINED_FRACTION));
}

/** Groups that failed since the last success; a stall counts twice. */
function countFailures(faults: WorkerFault[], now: number): number {
    const sources = new Set<string>();
    let stalls = 0;
    for (const { at, failedGroup: source, isStall } of faults) {
        if (now - at < FAULT_WINDOW_MS) {
            sources.add(source);
            stalls += isStall ? 1 : 0;
        }
    }
    return sources.size + stalls;
}
