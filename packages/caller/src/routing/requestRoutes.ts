import { z } from "zod";
import { failure, type Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { readBody, sendJson } from "@tanagerdeck/runtime/http/listener";
import { parseJson, type Routes } from "@tanagerdeck/runtime/http/routes";
import type { StartSpan } from "@tanagerdeck/runtime/trace/traceTypes";
import type { CallerContext } from "../listener/callerListener.ts";
import { sendFailure, sendOutcome } from "../listener/outcomeResponse.ts";
import type { CallerRequest, RoutingReply } from "./routingState.ts";

/** Largest body of a call; the limit of a kind is usually smaller. */
const BODY_LIMIT_BYTES = 4 * 1024 * 1024;
const MAX_DEADLINE_MS = 24 * 3_600_000;
const TICKET_STATUS = 428;
const TOO_LARGE = failure("not-run", "too-large", `The call is longer than ${BODY_LIMIT_BYTES} bytes.`);

const requestSchema = z.strictObject({
    kind: z.string().min(1),
    id: z.string().min(1).max(200).optional(),
    firstSend: z.boolean().default(false),
    deadlineMs: z.number().int().positive().max(MAX_DEADLINE_MS),
    body: z.string(),
});

/** Dependencies of the request routes. */
export interface RequestRouteOptions {
    submit: (request: CallerRequest) => Promise<RoutingReply>;
    cancel: (id: string, clientAccount: string) => Promise<Outcome>;
    /** Starts the span of a call, as a child of the caller's trace context if there is one. */
    startRootSpan: StartSpan;
}

/** Creates the HTTP routes that submit and cancel requests to runners. */
export function createRequestRoutes(options: RequestRouteOptions): Routes<CallerContext> {
    return {
        async "POST /v1/requests"({ context, request, response }) {
            const text = await readBody(request, BODY_LIMIT_BYTES);
            if (text === undefined) {
                response.setHeader("connection", "close");
                sendFailure(response, TOO_LARGE);
                return;
            }
            const parsed = requestSchema.safeParse(parseJson(text));
            if (!parsed.success) {
                sendFailure(response, failure("not-run", "invalid", z.prettifyError(parsed.error)));
                return;
            }
            const { clientAccount } = context;
            const incoming = request.headers.traceparent;
            const parent = typeof incoming === "string" ? incoming : undefined;
            const span = options.startRootSpan("POST /v1/requests", parent);
            const { traceparent } = span;
            const reply = await options.submit({
                ...parsed.data,
                id: parsed.data.id,
                clientAccount,
                traceparent,
            });
            if (reply.kind === "outcome") {
                const { outcome } = reply;
                span.set({ verdict: outcome.verdict });
                span.end(outcome.kind === "failure" ? outcome.reason : undefined);
                response.setHeader("x-request-id", encodeURIComponent(reply.id));
                sendOutcome(response, reply.outcome);
                return;
            }
            span.end("ticket-required");
            const required = failure(
                "not-run",
                "ticket-required",
                "Send the request with this ticket as its id.",
            );
            const body = { ...required, ticket: reply.ticket };
            sendJson(response, TICKET_STATUS, body, { "x-verdict": required.verdict });
        },
        async "DELETE /v1/requests"({ context, segments, response }) {
            const [id] = segments;
            if (segments.length !== 1 || !id) {
                sendFailure(
                    response,
                    failure("not-run", "invalid", "The path must end with one request id."),
                );
                return;
            }
            const outcome = await options.cancel(id, context.clientAccount);
            const { verdict } = outcome;
            const detail = outcome.kind === "failure" ? outcome.detail : "The request had run.";
            const reason = outcome.kind === "failure" ? outcome.reason : undefined;
            sendJson(response, 200, { verdict, reason, detail }, { "x-verdict": verdict });
        },
    };
}
