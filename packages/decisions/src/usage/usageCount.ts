import type { UsageCounter } from "../fleet/reportTypes.ts";

/** Adds a finished run to the cumulative counters of its client account and kind. */
export function countRunUsage(
    counters: Map<string, UsageCounter>,
    run: { clientAccount: string; kind: string },
    milliseconds: number,
): void {
    const { clientAccount, kind } = run;
    const key = `${clientAccount}/${kind}`;
    const before = counters.get(key) ?? { clientAccount, kind, milliseconds: 0, count: 0 };
    counters.set(key, {
        ...before,
        milliseconds: before.milliseconds + milliseconds,
        count: before.count + 1,
    });
}
