import type { UsageCounter } from "../fleet/reportTypes.ts";

/** Usage that a worker has reported for one task. */
export interface TaskMeter {
    clientAccount: string;
    kind: string;
    /** Highest cumulative value reported, in accelerator-milliseconds. */
    reported: number;
    /** Usage before all parts of the gang were confirmed to compute, which is not charged; undefined until then. */
    uncounted: number | undefined;
    openedAt: number;
}

/** Usage of open tasks, which late reports can still change, and the totals of closed tasks. */
export interface UsageMeter {
    tasks: ReadonlyMap<string, TaskMeter>;
    totals: ReadonlyMap<string, UsageCounter>;
}

/** Creates a meter without tasks. */
export function createUsageMeter(): UsageMeter {
    return { tasks: new Map(), totals: new Map() };
}

/** Adds a task; its usage is charged only after `confirmTask`. */
export function openTask(
    meter: UsageMeter,
    task: string,
    entry: Pick<TaskMeter, "clientAccount" | "kind" | "openedAt">,
): UsageMeter {
    const tasks = new Map(meter.tasks);
    tasks.set(task, { ...entry, reported: 0, uncounted: undefined });
    return { ...meter, tasks };
}

/** Charges the usage of a task beyond its first `uncounted` accelerator-milliseconds; the first call decides. */
export function confirmTask(meter: UsageMeter, task: string, uncounted: number): UsageMeter {
    return updateTask(meter, task, known => ({ ...known, uncounted: known.uncounted ?? uncounted }));
}

/** Records a task's cumulative usage. The highest value counts, since reports can be late, repeated or out of order. */
export function reportUse(meter: UsageMeter, task: string, acceleratorMs: number): UsageMeter {
    return updateTask(meter, task, known => ({
        ...known,
        reported: Math.max(known.reported, acceleratorMs),
    }));
}

/** Moves the usage of a task to the totals; later reports about the task are ignored. */
export function closeTask(meter: UsageMeter, task: string): UsageMeter {
    const known = meter.tasks.get(task);
    if (!known) {
        return meter;
    }
    const tasks = new Map(meter.tasks);
    tasks.delete(task);
    return { tasks, totals: addUse(meter.totals, known) };
}

/** Cumulative usage by client account and kind. */
export function usageCounters(meter: UsageMeter): UsageCounter[] {
    let totals = meter.totals;
    for (const known of meter.tasks.values()) {
        totals = addUse(totals, known);
    }
    return [...totals.values()];
}

function updateTask(meter: UsageMeter, task: string, change: (known: TaskMeter) => TaskMeter): UsageMeter {
    const known = meter.tasks.get(task);
    if (!known) {
        return meter;
    }
    return { ...meter, tasks: new Map(meter.tasks).set(task, change(known)) };
}

function addUse(
    totals: ReadonlyMap<string, UsageCounter>,
    known: TaskMeter,
): ReadonlyMap<string, UsageCounter> {
    if (known.uncounted === undefined) {
        return totals;
    }
    const { clientAccount, kind } = known;
    const key = `${clientAccount}/${kind}`;
    const before = totals.get(key) ?? { clientAccount, kind, milliseconds: 0, count: 0 };
    const milliseconds = before.milliseconds + Math.max(0, known.reported - known.uncounted);
    return new Map(totals).set(key, { ...before, milliseconds, count: before.count + 1 });
}
