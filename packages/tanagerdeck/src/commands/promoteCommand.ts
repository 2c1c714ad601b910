import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import { failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { documentDigest } from "@tanagerdeck/operator/document/checkDocument";
import { changeOptions, sendChange } from "./applyCommand.ts";
import type { Command, CommandResult } from "./commandTypes.ts";
import { readEntryTarget, readText, integerOption } from "./entryOptions.ts";
import { callOperator } from "./operatorCalls.ts";

/** Applies a document in the target environment if the trial environment has exactly the same bytes in force. */
export const promoteCommand: Command = {
    usage: "promote <document>",
    description: "Apply a document whose exact bytes are in force in the trial environment",
    options: [
        { flags: "--from <address>", description: "Operators' address of an entry of the trial environment" },
        {
            flags: "--from-token-file <path>",
            description: "File with the bearer token; else TANAGERDECK_TRIAL_OPERATOR_TOKEN",
        },
        { flags: "--to <address>", description: "Operators' address of an entry of the target environment" },
        {
            flags: "--to-token-file <path>",
            description: "File with the bearer token; else TANAGERDECK_OPERATOR_TOKEN",
        },
        ...changeOptions,
    ],
    async run([path = ""], options, io) {
        const text = readText(path, io);
        const from = readEntryTarget(options, io, "TANAGERDECK_TRIAL_OPERATOR_TOKEN", {
            address: "from",
            tokenFile: "fromTokenFile",
        });
        const to = readEntryTarget(options, io, "TANAGERDECK_OPERATOR_TOKEN", {
            address: "to",
            tokenFile: "toTokenFile",
        });
        const revision = integerOption(options, "expectedRevision", 0);
        for (const input of [text, from, to, revision]) {
            if (input.isLeft()) {
                return input.extract();
            }
        }
        const trial = await callOperator<Configuration>(from.unsafeCoerce(), "GET", "/v1/configuration");
        if (trial.isLeft()) {
            return { ...trial.extract(), verdict: "not-run" };
        }
        const problem = digestMismatch(documentDigest(text.unsafeCoerce()), trial.unsafeCoerce());
        if (problem) {
            return problem;
        }
        return sendChange(to.unsafeCoerce(), {
            text: text.unsafeCoerce(),
            expectedRevision: revision.unsafeCoerce(),
            changeId: options.changeId === undefined ? io.newId() : String(options.changeId),
        });
    },
};

function digestMismatch(digest: string, trial: Configuration): CommandResult | undefined {
    if (digest === trial.digest) {
        return undefined;
    }
    const detail = `The file has digest ${digest}; revision ${trial.revision} of the trial environment has ${trial.digest}.`;
    return failure("not-run", "conflict", detail);
}
