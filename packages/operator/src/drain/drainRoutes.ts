import type { Routes } from "@tanagerdeck/runtime/http/routes";
import { sendResult } from "../listener/operatorHttp.ts";
import { drainAgent, type DrainOperations } from "./drainAgent.ts";

/** Creates the route that drains a backend server. */
export function createDrainRoutes(operations: DrainOperations): Routes<undefined> {
    return {
        async "POST /v1/drain"({ segments, request, response }) {
            request.resume();
            const [agent = ""] = segments;
            sendResult(response, await drainAgent(operations, agent));
        },
    };
}
