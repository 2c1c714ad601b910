import { Right } from "purify-ts/Either";
import type { UsageSummary } from "@tanagerdeck/store/usage/usageTask";
import type { Routes } from "@tanagerdeck/runtime/http/routes";
import { sendResult } from "../listener/operatorHttp.ts";

/** Creates the route that returns usage by client account and kind. */
export function createUsageRoutes(summarize: () => Promise<UsageSummary>): Routes<undefined> {
    return {
        async "GET /v1/usage"({ response }) {
            sendResult(response, Right(await summarize()));
        },
    };
}
