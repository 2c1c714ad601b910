import { checkDocument } from "@tanagerdeck/operator/document/checkDocument";
import type { Command, CommandResult } from "./commandTypes.ts";
import { readText } from "./entryOptions.ts";

/** Checks a configuration document locally, without calling an entry. */
export const checkCommand: Command = {
    usage: "check <document>",
    description: "Check a document and that its guarantees fit its racks",
    options: [],
    async run([path = ""], _options, io) {
        return readText(path, io)
            .chain<CommandResult, CommandResult>(text =>
                checkDocument(text).map(({ digest, bindings }) => ({
                    kind: "done",
                    value: { digest, guarantees: bindings.length },
                    text: `The document is valid. Its digest is ${digest}.`,
                })),
            )
            .extract();
    },
};
