// The trpc instance, the procedure and the input parser that all routers between processes share.
import { initTRPC, TRPCError } from "@trpc/server";
import { withSpan, type StartSpan } from "@tanagerdeck/runtime/trace/traceTypes";

/** Context of one call between processes. */
export interface CallContext {
    /** Whether the caller sent the peer token. */
    authorized: boolean;
    /** Trace context of the caller or, while a procedure runs, of the procedure's own span. */
    traceparent: string | undefined;
    startSpan: StartSpan;
}

const trpc = initTRPC.context<CallContext>().create();

/** Builds a router from procedures. */
export const router = trpc.router;

/** A procedure that requires the peer token and, if the caller sent a trace context, runs in a span of its own. */
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
 * Input parser that assigns a type without validation. The peer token authenticates the sender, which runs
 * the same build.
 */
export function passThrough<T>(value: unknown): T {
    return value as T;
}
