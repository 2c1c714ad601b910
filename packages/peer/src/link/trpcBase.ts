import { initTRPC, TRPCError } from "@trpc/server";
import { withSpan, type StartSpan } from "@tanagerdeck/runtime/trace/traceTypes";

/** Context of one call between processes. */
export interface CallContext {
    authorized: boolean;
    /** Trace context of the caller; in a procedure, that of the procedure's own span. */
    traceparent: string | undefined;
    startSpan: StartSpan;
}

const trpc = initTRPC.context<CallContext>().create();

/** Builds a router from procedures. */
export const router = trpc.router;

/** A procedure that needs the peers' token; it runs in a span of its own if the caller sent a trace context. */
export const authorizedProcedure = trpc.procedure.use(({ ctx, path, next }) => {
    if (!ctx.authorized) {
        throw new TRPCError({ code: "UNAUTHORIZED", message: "The peer token is missing or wrong." });
    }
    if (ctx.traceparent === undefined) {
        return next();
    }
    return withSpan(ctx.startSpan, `serve ${path}`, ctx.traceparent, span =>
        next({ ctx: { ...ctx, traceparent: span.traceparent } }),
    );
});

/**
 * Input parser for messages between processes of the same build.
 * The sender is authenticated by the peer token, so only the type is attached.
 */
export function passThrough<T>(value: unknown): T {
    return value as T;
}
