import type { UsageSummary } from "@tanagerdeck/store/usage/usageTask";
import type { Command } from "./commandTypes.ts";
import { entryOptions } from "./entryOptions.ts";
import { runOperatorCall } from "./operatorCalls.ts";

/** Shows the recorded usage by client account and kind. */
export const usageCommand: Command = {
    usage: "usage",
    description: "Show accelerator or slot seconds and counts by client account and kind",
    options: entryOptions,
    run: (_args, options, io) =>
        runOperatorCall<UsageSummary>(options, io, { method: "GET", path: "/v1/usage" }, describeUsage),
};

function describeUsage({ totals, complete }: UsageSummary): string {
    const lines = totals.map(
        ({ clientAccount, kind, milliseconds, count }) =>
            `${clientAccount} ${kind} ${(milliseconds / 1_000).toFixed(3)} s ${count}`,
    );
    return [...lines, ...(complete ? [] : ["The platform could not be read; the totals are partial."])].join(
        "\n",
    );
}
