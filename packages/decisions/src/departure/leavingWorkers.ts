import { groupProgress } from "../job/progressChange.ts";
import { isCancelledOrEnded, type ClusterState, type JobEntry } from "../plan/clusterState.ts";

/** Time for which a group is not moved again: a move costs a stop and a restart, and estimates stay as rough as before. */
export const MOVE_INTERVAL_MS = 5_000;

/** Time until each draining worker leaves at the earliest, by name; without those that do not say when. */
export function leavingWorkers({ workers }: ClusterState, now: number): ReadonlyMap<string, number> {
    const leaving = new Map<string, number>();
    for (const { name, description, lastReportAt } of workers.values()) {
        if (description?.condition === "draining" && description.remainingMs !== undefined) {
            // The agent states the time from its report on, so the leader counts down from the report's arrival.
            leaving.set(name, Math.max(0, description.remainingMs - (now - lastReportAt)));
        }
    }
    return leaving;
}

/**
 * Time until the first of the group's workers leaves; undefined if none does, or if the group may not be moved. A group
 * that is being stopped for a move counts as leaving until the stop is confirmed, also if its worker is gone before.
 */
export function groupLeavesInMs(
    leaving: ReadonlyMap<string, number>,
    entry: JobEntry,
    key: string,
    now: number,
): number | undefined {
    const { phase, run, placements } = groupProgress(entry.progress, key);
    const move = entry.moves.get(key);
    const wasJustMoved = move !== undefined && now - move.at < MOVE_INTERVAL_MS;
    const isBeingMoved = wasJustMoved && phase === "closing" && move.run === run;
    const mayBeMoved = phase === "placed" ? !wasJustMoved : isBeingMoved;
    if (!mayBeMoved || isCancelledOrEnded(entry)) {
        return undefined;
    }
    let leavesInMs = isBeingMoved ? 0 : Infinity;
    for (const { worker } of placements) {
        leavesInMs = Math.min(leavesInMs, leaving.get(worker) ?? Infinity);
    }
    return leavesInMs === Infinity ? undefined : leavesInMs;
}

/** Notes that the group's present run is closed for a move. */
export function noteMove(entry: JobEntry, key: string, now: number): void {
    entry.moves.set(key, { at: now, run: groupProgress(entry.progress, key).run });
}
