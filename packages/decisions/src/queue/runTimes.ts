import type { RunningGang, RunTimes, WaitingJob } from "./queueTypes.ts";

/** Runs of a kind that are remembered. */
const MAX_RECORDED_RUNS = 32;

/** Runs from which a cautious expectation is taken; with fewer the limit of the kind counts. */
const MIN_RUNS_FOR_QUANTILE = 5;

/** Quantile of the remembered runs that a cautious expectation covers. */
const CONSERVATIVE_QUANTILE = 0.9;

/** Adds a finished run. */
export function recordRun(runTimes: RunTimes, kind: string, milliseconds: number): RunTimes {
    const runs = [...(runTimes[kind] ?? []), milliseconds].slice(-MAX_RECORDED_RUNS);
    return { ...runTimes, [kind]: runs };
}

/** Median of the remembered runs; the limit while none is known. Declared run times are not used. */
export function expectedRunMs(
    runTimes: RunTimes,
    { kind, limitMs }: Pick<WaitingJob, "kind" | "limitMs">,
): number {
    return Math.min(limitMs, quantile(runTimes[kind] ?? [], 0.5) ?? limitMs);
}

/** A run time that few runs of the kind exceed. */
export function conservativeRunMs(
    runTimes: RunTimes,
    { kind, limitMs }: Pick<WaitingJob, "kind" | "limitMs">,
): number {
    const runs = runTimes[kind] ?? [];
    return runs.length < MIN_RUNS_FOR_QUANTILE
        ? limitMs
        : Math.min(limitMs, quantile(runs, CONSERVATIVE_QUANTILE) ?? limitMs);
}

/** Expected end of a running gang: median of the remembered runs that took longer than it has run already. */
export function expectedEndMs(runTimes: RunTimes, gang: RunningGang, nowMs: number): number {
    const elapsed = nowMs - gang.startedAtMs;
    const longer = (runTimes[gang.kind] ?? []).filter(run => run > elapsed);
    return gang.startedAtMs + Math.min(gang.limitMs, quantile(longer, 0.5) ?? gang.limitMs);
}

function quantile(values: number[], fraction: number): number | undefined {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))];
}
