import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import type { AnyRouter } from "@trpc/server";
import { bearerToken, matchesDigest, tokenDigest } from "@tanagerdeck/runtime/access/token";
import { startListener, type Listener } from "@tanagerdeck/runtime/http/listener";
import { startSilentSpan, type StartSpan } from "@tanagerdeck/runtime/trace/traceTypes";
import type { CallContext } from "./trpcBase.ts";

/** Largest body of one call between processes. */
const BODY_LIMIT_BYTES = 8 * 1024 * 1024;

/** Serves a router to the system's other processes. `token` is the shared peer token. */
export function startPeerListener(
    address: string,
    token: string,
    router: AnyRouter,
    startSpan: StartSpan = startSilentSpan,
): Promise<Listener> {
    const digest = tokenDigest(token);
    const handle = createHTTPHandler({
        router,
        maxBodySize: BODY_LIMIT_BYTES,
        createContext: ({ req }): CallContext => ({
            authorized: matchesDigest(bearerToken(req) ?? "", digest),
            traceparent: typeof req.headers.traceparent === "string" ? req.headers.traceparent : undefined,
            startSpan,
        }),
    });
    return startListener(address, handle);
}
