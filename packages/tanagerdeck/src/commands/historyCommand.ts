import type { HistoryRecord } from "@tanagerdeck/store/configuration/acceptedConfiguration";
import type { Command } from "./commandTypes.ts";
import { entryOptions } from "./entryOptions.ts";
import { runOperatorCall } from "./operatorCalls.ts";

/** Lists the accepted revisions of the configuration. */
export const historyCommand: Command = {
    usage: "history",
    description: "List the accepted revisions, oldest first",
    options: entryOptions,
    run: (_args, options, io) =>
        runOperatorCall<{ revisions: HistoryRecord[] }>(
            options,
            io,
            { method: "GET", path: "/v1/configuration/history" },
            ({ revisions }) => revisions.map(describeRevision).join("\n"),
        ),
};

function describeRevision({ revision, acceptedAt, cause, digest, changeId }: HistoryRecord): string {
    return `${revision} ${new Date(acceptedAt).toISOString()} ${cause} ${digest} ${changeId}`;
}
