import { sameBoot, type Boot } from "../job/progressTypes.ts";
import { runKey, type StartOrder, type StopOrder } from "../worker/workerReport.ts";
import {
    isClosed,
    openPlacements,
    type JobEntry,
    type OpenPlacement,
    type PlanBook,
    type WorkerEntry,
} from "./planBook.ts";
import { nameOfTask } from "./planReport.ts";

/** What an agent has to do. */
export interface WorkerOrders {
    starts: StartOrder[];
    stops: StopOrder[];
    recorded: { boot: Boot; number: number } | undefined;
}

/** The orders that are not settled yet, and the ends that are recorded; `open` holds the worker's placements. */
export function ordersOf(
    book: PlanBook,
    worker: WorkerEntry,
    open: Iterable<OpenPlacement> = openPlacements(book, worker.name),
): WorkerOrders {
    const starts: StartOrder[] = [];
    const stops: StopOrder[] = [];
    const boot = worker.description?.boot;
    const listed = new Set<string>();
    for (const row of [...(worker.report?.running ?? []), ...(worker.report?.ended ?? [])]) {
        listed.add(runKey(row));
    }
    for (const { entry, group, progress, placement } of open) {
        const run = nameOfTask(entry, group, placement.index, progress.run);
        if (progress.phase !== "placed" || isClosed(entry)) {
            stops.push({ ...run, boot: placement.boot });
            continue;
        }
        const isRecorded = entry.recordedVersion >= (entry.runs.get(group.key)?.version ?? 0);
        if (!isRecorded || !boot || !sameBoot(boot, placement.boot) || listed.has(runKey(run))) {
            continue;
        }
        starts.push({ ...run, boot: placement.boot, spec: entry.job.spec, saved: progress.saved });
    }
    if (boot) {
        for (const stray of worker.strays) {
            stops.push({ ...stray, boot });
        }
    }
    return { starts, stops, recorded: boot && { boot, number: recordedEnds(book, worker) } };
}

/** The number up to which all listed ends are recorded. */
function recordedEnds(book: PlanBook, worker: WorkerEntry): number {
    let number = 0;
    for (const [end, { job, version }] of [...worker.ends].sort(([left], [right]) => left - right)) {
        const entry: JobEntry | undefined = job === undefined ? undefined : book.jobs.get(job);
        if (entry && entry.recordedVersion < version) {
            break;
        }
        number = end;
    }
    return number;
}
