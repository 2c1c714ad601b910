import type { Command } from "./commandTypes.ts";
import { entryOptions } from "./entryOptions.ts";
import { runOperatorCall } from "./operatorCalls.ts";

/** Drains a backend server: it finishes its work and takes no new work. */
export const drainCommand: Command = {
    usage: "drain <agent>",
    description: "Let a backend server finish its work and take no new work",
    options: entryOptions,
    run: ([agent = ""], options, io) =>
        runOperatorCall<{ agent: string }>(
            options,
            io,
            { method: "POST", path: `/v1/drain/${encodeURIComponent(agent)}` },
            reply => `${reply.agent} refuses new work.`,
        ),
};
