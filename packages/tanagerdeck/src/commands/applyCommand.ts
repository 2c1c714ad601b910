import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { ConfigurationChange } from "@tanagerdeck/operator/document/applyDocument";
import type { Command, CommandResult } from "./commandTypes.ts";
import { entryOptions, readEntryTarget, readText, integerOption, type EntryTarget } from "./entryOptions.ts";
import { callOperator } from "./operatorCalls.ts";

/** Options shared by the commands that change the configuration. */
export const changeOptions = [
    {
        flags: "--expected-revision <revision>",
        description: "Revision that the document replaces; 0 if there is none",
    },
    { flags: "--change-id <id>", description: "Repeat an earlier change whose outcome is unknown" },
];

/** Sends a configuration document to an entry, which accepts it if the expected revision is the current one. */
export const applyCommand: Command = {
    usage: "apply <document>",
    description: "Apply a document if the expected revision is still the current one",
    options: [...entryOptions, ...changeOptions],
    async run([path = ""], options, io) {
        const text = readText(path, io);
        const target = readEntryTarget(options, io, "TANAGERDECK_OPERATOR_TOKEN");
        const revision = integerOption(options, "expectedRevision", 0);
        for (const input of [text, target, revision]) {
            if (input.isLeft()) {
                return input.extract();
            }
        }
        const changeId = options.changeId === undefined ? io.newId() : String(options.changeId);
        return sendChange(target.unsafeCoerce(), {
            text: text.unsafeCoerce(),
            expectedRevision: revision.unsafeCoerce(),
            changeId,
        });
    },
};

/** Sends a change to an entry. If its outcome is unknown, the failure names the change id for a repeat. */
export async function sendChange(target: EntryTarget, change: ConfigurationChange): Promise<CommandResult> {
    const { changeId } = change;
    const result = await callOperator<{ revision: number; digest: string }>(
        target,
        "POST",
        "/v1/configuration",
        change,
    );
    return result.caseOf<CommandResult>({
        Right: ({ revision, digest }) => ({
            kind: "done",
            value: { revision, digest, changeId },
            text: `Revision ${revision} is accepted. Its digest is ${digest}.`,
        }),
        Left: problem => withChangeId(problem, changeId),
    });
}

function withChangeId(problem: Failure, changeId: string): Failure {
    if (problem.verdict !== "may-have-run") {
        return problem;
    }
    return { ...problem, detail: `${problem.detail} Ask again with --change-id ${changeId}.` };
}
