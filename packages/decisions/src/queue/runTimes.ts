import type { RunningGang, RunTimes, WaitingJob } from "./queueTypes.ts";

/** Number of latest runs kept for each kind. */
const MAX_RECORDED_RUNS = 32;

/** With fewer recorded runs, the conservative run time is the limit of the kind. */
const MIN_RUNS_FOR_QUANTILE = 5;

/** Quantile of the recorded runs that is taken as the conservative run time. */
const CONSERVATIVE_QUANTILE = 0.9;

/** Returns the run times with a finished run added. */
export function recordRun(runTimes: RunTimes, kind: string, milliseconds: number): RunTimes {
    const runs = [...(runTimes[kind] ?? []), milliseconds].slice(-MAX_RECORDED_RUNS);
    return { ...runTimes, [kind]: runs };
}

/** Median of the recorded runs, or the limit if there are none. Declared run times are not used. */
export function expectedRunMs(
    runTimes: RunTimes,
    { kind, limitMs }: Pick<WaitingJob, "kind" | "limitMs">,
): number {
    return Math.min(limitMs, quantile(runTimes[kind] ?? [], 0.5) ?? limitMs);
}

/** A run time that about one run in ten of the kind exceeds; the limit while few runs are recorded. */
export function conservativeRunMs(
    runTimes: RunTimes,
    { kind, limitMs }: Pick<WaitingJob, "kind" | "limitMs">,
): number {
    const runs = runTimes[kind] ?? [];
    return runs.length < MIN_RUNS_FOR_QUANTILE
        ? limitMs
        : Math.min(limitMs, quantile(runs, CONSERVATIVE_QUANTILE) ?? limitMs);
}

/** Expected end of a running gang: the median of the recorded runs longer than its elapsed time, or its limit. */
export function expectedEndMs(runTimes: RunTimes, gang: RunningGang, nowMs: number): number {
    const elapsed = nowMs - gang.startedAtMs;
    const longer = (runTimes[gang.kind] ?? []).filter(run => run > elapsed);
    return gang.startedAtMs + Math.min(gang.limitMs, quantile(longer, 0.5) ?? gang.limitMs);
}

function quantile(values: number[], fraction: number): number | undefined {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))];
}
