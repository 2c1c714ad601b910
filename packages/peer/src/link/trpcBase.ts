import { initTRPC, TRPCError } from "@trpc/server";

/** Context of one call between processes. */
export interface CallContext {
    authorized: boolean;
    traceparent: string | undefined;
}

const trpc = initTRPC.context<CallContext>().create();

/** Builds a router from procedures. */
export const router = trpc.router;

/** A procedure that needs the peers' token. */
export const authorizedProcedure = trpc.procedure.use(({ ctx, next }) => {
    if (!ctx.authorized) {
        throw new TRPCError({ code: "UNAUTHORIZED", message: "The peer token is missing or wrong." });
    }
    return next();
});

/**
 * Input parser for messages between processes of the same build.
 * The sender is authenticated by the peer token, so only the type is attached.
 */
export function passThrough<T>(value: unknown): T {
    return value as T;
}
