import type { IncomingMessage, ServerResponse } from "node:http";
import {
    callTRPCProcedure,
    getTRPCErrorFromUnknown,
    getTRPCErrorShape,
    TRPCError,
    type AnyRouter,
} from "@trpc/server";
import { bearerToken, matchesDigest, tokenDigest } from "@tanagerdeck/runtime/access/token";
import { readBody, sendJson, startListener, type Listener } from "@tanagerdeck/runtime/http/listener";
import type { Intake } from "@tanagerdeck/runtime/intake/intake";
import { startNoopSpan, type StartSpan } from "@tanagerdeck/runtime/trace/traceTypes";
import type { CallContext } from "./trpcBase.ts";

/** Largest request body of a call between processes. */
const BODY_LIMIT_BYTES = 8 * 1024 * 1024;

/**
 * Serves a router to the system's other processes. `token` is the shared peer token.
 * Every call is an unbatched mutation in trpc's HTTP format. trpc's own HTTP adapter is not used, since it builds
 * web requests and responses, for which Node loads its whole fetch implementation.
 */
export function startPeerListener(
    address: string,
    token: string,
    router: AnyRouter,
    startSpan: StartSpan = startNoopSpan,
    intake?: Intake,
): Promise<Listener> {
    const digest = tokenDigest(token);
    return startListener(
        address,
        (request, response) => {
            const context: CallContext = {
                authorized: matchesDigest(bearerToken(request) ?? "", digest),
                traceparent: singleHeader(request.headers.traceparent),
                startSpan,
            };
            serveCall(router, context, request, response).catch(() => request.socket.destroy());
        },
        intake,
    );
}

async function serveCall(
    router: AnyRouter,
    ctx: CallContext,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const path = (request.url ?? "").slice(1).split("?")[0] ?? "";
    try {
        const getRawInput = () => readInput(request);
        const call = { router, path, ctx, getRawInput, type: "mutation", signal: undefined } as const;
        const data: unknown = await callTRPCProcedure({ ...call, batchIndex: 0 });
        sendJson(response, 200, { result: { data } });
    } catch (cause) {
        const error = getTRPCErrorFromUnknown(cause);
        const config = router._def._config;
        const shape = getTRPCErrorShape({ config, ctx, error, input: undefined, path, type: "mutation" });
        sendJson(response, shape.data.httpStatus, { error: shape });
    }
}

async function readInput(request: IncomingMessage): Promise<unknown> {
    const text = await readBody(request, BODY_LIMIT_BYTES);
    if (text === undefined) {
        throw new TRPCError({ code: "PAYLOAD_TOO_LARGE", message: "The body is too large." });
    }
    try {
        return text === "" ? undefined : (JSON.parse(text) as unknown);
    } catch {
        throw new TRPCError({ code: "PARSE_ERROR", message: "The body is not JSON." });
    }
}

function singleHeader(value: string | string[] | undefined): string | undefined {
    return typeof value === "string" ? value : undefined;
}
