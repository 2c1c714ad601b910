import type { Plan } from "@tanagerdeck/operator/document/planDocument";
import type { Command } from "./commandTypes.ts";
import { entryOptions, readText } from "./entryOptions.ts";
import { runOperatorCall } from "./operatorCalls.ts";

/** Shows what applying a configuration document would change. */
export const planCommand: Command = {
    usage: "plan <document>",
    description: "Show what applying a document would change",
    options: entryOptions,
    async run([path = ""], options, io) {
        const text = readText(path, io);
        if (text.isLeft()) {
            return text.extract();
        }
        const call = { method: "POST", path: "/v1/plan", body: { text: text.extract() } } as const;
        return runOperatorCall<Plan>(options, io, call, describePlan);
    },
};

function describePlan({ currentRevision, changes, movedBindings }: Plan): string {
    const lines = changes.map(({ path, change, before, after }) => {
        const values = change === "changed" ? `: ${JSON.stringify(before)} -> ${JSON.stringify(after)}` : "";
        return `${change} ${path}${values}`;
    });
    const movedLines = movedBindings.map(binding => `binds ${binding}`);
    const summary = `The current revision is ${currentRevision}. Apply with --expected-revision ${currentRevision}.`;
    return [summary, ...lines, ...movedLines].join("\n");
}
