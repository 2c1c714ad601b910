import { Either, Left } from "purify-ts/Either";
import { traceJob, type TracedLine } from "@tanagerdeck/operator/jobTrace/jobTrace";
import { failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Command, CommandResult } from "./commandTypes.ts";
import { readText } from "./entryOptions.ts";

/** Prints all log lines about one job from the log files of several processes, in order of time. */
export const traceCommand: Command = {
    usage: "trace <id> <...files>",
    description: "Print a job's lines from log files, in order of time",
    options: [],
    async run([id = "", ...paths], _options, io) {
        return Either.sequence(paths.map(path => readText(path, io)))
            .chain<CommandResult, CommandResult>(texts => {
                const lines = traceJob(id, texts.join("\n"));
                if (lines.length === 0) {
                    return Left(failure("not-run", "not-found", `No line names the job ${id}.`));
                }
                const text = lines.map(formatLine).join("\n");
                return Either.of({ kind: "done", value: { id, lines }, text });
            })
            .extract();
    },
};

function formatLine({ time, process, sentence, fields }: TracedLine): string {
    const formattedFields = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`);
    return [time, process, sentence, ...formattedFields].join(" ");
}
