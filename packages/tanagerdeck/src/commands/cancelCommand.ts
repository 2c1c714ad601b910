import { callEntry } from "@tanagerdeck/operator/client/operatorClient";
import type { Command, CommandResult } from "./commandTypes.ts";
import { entryOptions, readEntryTarget } from "./entryOptions.ts";

const CANCEL_TIMEOUT_MS = 20_000;

/** Cancels a request or, with `--job`, a job. */
export const cancelCommand: Command = {
    usage: "cancel <id>",
    description: "Cancel a request, or a job with --job",
    options: [...entryOptions, { flags: "--job", description: "The id is that of a job" }],
    async run([id = ""], options, io) {
        const target = readEntryTarget(options, io, "TANAGERDECK_TOKEN");
        if (target.isLeft()) {
            return target.extract();
        }
        const collection = options.job ? "jobs" : "requests";
        const result = await callEntry({
            ...target.unsafeCoerce(),
            method: "DELETE",
            path: `/v1/${collection}/${encodeURIComponent(id)}`,
            timeoutMs: CANCEL_TIMEOUT_MS,
        });
        return result.caseOf<CommandResult>({
            Left: problem => problem,
            Right: ({ body, value }) => ({ kind: "done", value: { id, answer: value ?? body }, text: body }),
        });
    },
};
