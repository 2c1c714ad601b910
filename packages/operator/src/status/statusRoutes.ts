import { Right } from "purify-ts/Either";
import type { AgentState, ServerKind } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { Registration } from "@tanagerdeck/decisions/fleet/entryPresence";
import type { AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import type { Routes } from "@tanagerdeck/runtime/http/routes";
import { sendResult } from "../listener/operatorHttp.ts";

/** State of one agent in the status reply. */
export interface AgentStatus {
    name: string;
    state: AgentState;
    server: ServerKind;
    availabilityZone: string;
    address: string;
    configurationRevision: number;
}

/** An entry's view of its environment. `refusal` says why the entry takes no new work; undefined if it does. */
export interface EntryStatus {
    entry: string;
    environment: string;
    configuration: {
        revision: number;
        digest: string | undefined;
        confirmedAgoMs: number | undefined;
        platformReachable: boolean;
        refusal: string | undefined;
    };
    entries: Registration[];
    agents: AgentStatus[];
    /** Number of calls to the platform since the entry's start, by operation; an open watch counts as one call. */
    platformCalls: Record<string, number>;
}

/** Creates the route that returns the state of an entry. */
export function createStatusRoutes(status: () => Promise<EntryStatus>): Routes<undefined> {
    return {
        async "GET /v1/status"({ response }) {
            sendResult(response, Right(await status()));
        },
    };
}

/** Lists the status of each agent, ordered by name. */
export function agentStatuses(agents: AgentView[]): AgentStatus[] {
    const statuses = agents.map(({ report, state }) => {
        const { name, server, availabilityZone, address, configurationRevision } = report;
        return { name, state, server, availabilityZone, address, configurationRevision };
    });
    return statuses.sort((a, b) => (a.name < b.name ? -1 : 1));
}
