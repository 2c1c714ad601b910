import type { LedgerReference, SendAttempt } from "@tanagerdeck/decisions/request/requestLedgerTypes";
import type { Request, Progress } from "@tanagerdeck/decisions/request/requestTypes";
import { gangProcedures, type GangHandlers } from "../gang/gangHandlers.ts";
import { authorizedProcedure, passThrough, router } from "./trpcBase.ts";

/** A request with the entry's configuration revision. */
export interface Submission {
    request: Request;
    send: SendAttempt;
    configurationRevision: number;
}

/** What an agent beside a runner does for entries; independent of the transport. */
export interface RequestHandlers {
    submit(submission: Submission): Promise<Progress>;
    result(reference: LedgerReference): Promise<Progress>;
    settle(reference: LedgerReference): Promise<Progress>;
    cancel(reference: LedgerReference): Promise<Progress>;
}

/** Operations of every agent. */
export interface AgentHandlers {
    requests: RequestHandlers;
    gangs: GangHandlers;
    drain(): Promise<{ draining: true }>;
}

/** Maps the agent's operations to trpc procedures. */
export function createAgentRouter(handlers: AgentHandlers) {
    return router({
        ...gangProcedures(handlers.gangs),
        submit: authorizedProcedure.input(passThrough<Submission>).mutation(({ input, ctx }) =>
            handlers.requests.submit({
                ...input,
                request: { ...input.request, traceparent: ctx.traceparent },
            }),
        ),
        result: authorizedProcedure
            .input(passThrough<LedgerReference>)
            .mutation(({ input }) => handlers.requests.result(input)),
        settle: authorizedProcedure
            .input(passThrough<LedgerReference>)
            .mutation(({ input }) => handlers.requests.settle(input)),
        cancel: authorizedProcedure
            .input(passThrough<LedgerReference>)
            .mutation(({ input }) => handlers.requests.cancel(input)),
        drain: authorizedProcedure.mutation(() => handlers.drain()),
    });
}

/** Type of the agent's router, for clients. */
export type AgentRouter = ReturnType<typeof createAgentRouter>;
