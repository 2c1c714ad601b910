import type { LedgerReference, SendAttempt } from "@tanagerdeck/decisions/request/requestLedgerTypes";
import type { Request, Progress } from "@tanagerdeck/decisions/request/requestTypes";
import { createGangProcedures, type GangHandlers } from "../gang/gangHandlers.ts";
import { authorizedProcedure, passThrough, router } from "./trpcBase.ts";

/** A request that an entry sends to an agent, with the configuration revision that the entry holds. */
export interface Submission {
    request: Request;
    send: SendAttempt;
    configurationRevision: number;
}

/** Operations of a runner's agent for entries; independent of the transport. */
export interface RequestHandlers {
    submit(submission: Submission): Promise<Progress>;
    result(reference: LedgerReference): Promise<Progress>;
    settle(reference: LedgerReference): Promise<Progress>;
    cancel(reference: LedgerReference): Promise<Progress>;
}

/** Operations of an agent for other processes. */
export interface AgentHandlers {
    requests: RequestHandlers;
    gangs: GangHandlers;
    drain(): Promise<{ draining: true }>;
}

/** Builds the trpc router of an agent's operations. */
export function createAgentRouter(handlers: AgentHandlers) {
    return router({
        ...createGangProcedures(handlers.gangs),
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

/** Type of an agent's router; typed clients are derived from it. */
export type AgentRouter = ReturnType<typeof createAgentRouter>;
