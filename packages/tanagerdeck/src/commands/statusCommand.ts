import type { EntryStatus } from "@tanagerdeck/operator/status/statusRoutes";
import type { Command } from "./commandTypes.ts";
import { entryOptions } from "./entryOptions.ts";
import { runOperatorCall } from "./operatorCalls.ts";

/** Shows the configuration, the entries and the agents as one entry sees them. */
export const statusCommand: Command = {
    usage: "status",
    description: "Show the configuration, the entries and the agents as one entry sees them",
    options: entryOptions,
    run: (_args, options, io) =>
        runOperatorCall<EntryStatus>(options, io, { method: "GET", path: "/v1/status" }, describeStatus),
};

function describeStatus({ entry, environment, configuration, entries, agents }: EntryStatus): string {
    const { revision, platformReachable, refusal } = configuration;
    return [
        `${entry} of ${environment}: revision ${revision}, platform ${platformReachable ? "reachable" : "unreachable"}`,
        refusal ? `New work is refused: ${refusal}.` : "New work is accepted.",
        ...entries.map(({ name, address }) => `entry ${name} ${address}`),
        ...agents.map(agent => {
            const { name, server, state, availabilityZone, configurationRevision } = agent;
            return `${server} ${name} ${state} ${availabilityZone} revision ${configurationRevision}`;
        }),
    ].join("\n");
}
