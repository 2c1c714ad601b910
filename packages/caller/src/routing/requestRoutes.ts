import { nanoid } from "nanoid";
import { z } from "zod";
import { failure, type Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { readBody } from "@tanagerdeck/runtime/http/listener";
import { parseJson, type Routes } from "@tanagerdeck/runtime/http/routes";
import { startSilentSpan, type StartSpan } from "@tanagerdeck/runtime/trace/traceTypes";
import type { CallerContext } from "../listener/callerListener.ts";
import { sendFailure, sendOutcome } from "../listener/outcomeResponse.ts";
import type { CallerRequest } from "./routingTask.ts";

const BODY_LIMIT_BYTES = 4 * 1024 * 1024;
const MAX_DEADLINE_MS = 24 * 3_600_000;

const requestSchema = z.strictObject({
    kind: z.string().min(1),
    id: z.string().min(1).max(200).optional(),
    deadlineMs: z.number().int().positive().max(MAX_DEADLINE_MS),
    body: z.string(),
});

/** Routes of requests that a runner answers. */
export function createRequestRoutes(
    submit: (request: CallerRequest) => Promise<Outcome>,
    startRoot: StartSpan = startSilentSpan,
): Routes<CallerContext> {
    return {
        async "POST /v1/requests"({ context, request, response }) {
            const text = await readBody(request, BODY_LIMIT_BYTES);
            const parsed = requestSchema.safeParse(parseJson(text));
            if (!parsed.success) {
                sendFailure(response, 400, failure("not-run", "invalid", z.prettifyError(parsed.error)));
                return;
            }
            const { id, ...rest } = parsed.data;
            const { clientAccount } = context;
            const incoming = request.headers.traceparent;
            const span = startRoot("POST /v1/requests", typeof incoming === "string" ? incoming : undefined);
            const { traceparent } = span;
            const outcome = await submit({ ...rest, clientAccount, id: id ?? nanoid(), traceparent });
            sendOutcome(response, outcome);
            span.set({ verdict: outcome.verdict });
            span.end(outcome.kind === "failure" ? outcome.reason : undefined);
        },
    };
}
