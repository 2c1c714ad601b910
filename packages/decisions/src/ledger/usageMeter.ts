import type { UsageCounter } from "../fleet/reportTypes.ts";

/** What a worker has reported about one task. */
export interface TaskMeter {
    clientAccount: string;
    kind: string;
    /** Highest cumulative value reported, in accelerator-milliseconds. */
    reported: number;
    /** Use before the gang was confirmed whole; undefined until then. */
    uncounted: number | undefined;
    openedAt: number;
}

/** Use by task, kept for late reports, and the totals of tasks that are no longer kept. */
export interface UsageMeter {
    tasks: ReadonlyMap<string, TaskMeter>;
    totals: ReadonlyMap<string, UsageCounter>;
}

/** A meter without use. */
export function createUsageMeter(): UsageMeter {
    return { tasks: new Map(), totals: new Map() };
}

/** Starts to count a task. */
export function openTask(
    meter: UsageMeter,
    task: string,
    entry: Pick<TaskMeter, "clientAccount" | "kind" | "openedAt">,
): UsageMeter {
    const tasks = new Map(meter.tasks);
    tasks.set(task, { ...entry, reported: 0, uncounted: undefined });
    return { ...meter, tasks };
}

/** Counts a task's use beyond `uncounted` accelerator-milliseconds from now on. */
export function confirmTask(meter: UsageMeter, task: string, uncounted: number): UsageMeter {
    return updateTask(meter, task, known => ({ ...known, uncounted: known.uncounted ?? uncounted }));
}

/** Takes the highest value, because reports come late, repeatedly and out of order. */
export function reportUse(meter: UsageMeter, task: string, acceleratorMs: number): UsageMeter {
    return updateTask(meter, task, known => ({
        ...known,
        reported: Math.max(known.reported, acceleratorMs),
    }));
}

/** Moves a task's use to the totals; later reports about it are ignored. */
export function closeTask(meter: UsageMeter, task: string): UsageMeter {
    const known = meter.tasks.get(task);
    if (!known) {
        return meter;
    }
    const tasks = new Map(meter.tasks);
    tasks.delete(task);
    return { tasks, totals: addUse(meter.totals, known) };
}

/** Cumulative use by client account and kind. */
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
