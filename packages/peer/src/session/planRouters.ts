import type { SyncReply, SyncRequest } from "@tanagerdeck/decisions/worker/workerReport";
import type { Item, StoreCall, StoreReply } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { authorizedProcedure, passThrough, router } from "../link/trpcBase.ts";

/** The reply to a forwarded store call, or the reason for its failure. */
export type RelayReply =
    | { kind: "reply"; reply: StoreReply }
    | { kind: "failed"; verdict: "not-run" | "may-have-run"; detail: string };

/** Operations that every process offers to the others. */
export interface RelayHandlers {
    /** Sends a store call from this process. */
    relay(call: StoreCall): Promise<RelayReply>;
}

/** Operations that an agent offers to the leader. */
export interface AgentPlanHandlers extends RelayHandlers {
    sync(request: SyncRequest): Promise<SyncReply>;
}

/** Operations that an entry offers to other entries. */
export interface EntryPlanHandlers extends RelayHandlers {
    /** Announces an item that was just written, ahead of the store's own notification. */
    learn(item: Item): Promise<void>;
    /** Announces that a job may be stored although its submission could not be confirmed. */
    doubt(id: string): Promise<void>;
}

/** Maps an agent's operations to trpc procedures. */
export function createAgentPlanRouter(handlers: AgentPlanHandlers) {
    return router({
        relay: authorizedProcedure
            .input(passThrough<StoreCall>)
            .mutation(({ input }) => handlers.relay(input)),
        sync: authorizedProcedure
            .input(passThrough<SyncRequest>)
            .mutation(({ input }) => handlers.sync(input)),
    });
}

/** Maps an entry's operations to trpc procedures. */
export function createEntryPlanRouter(handlers: EntryPlanHandlers) {
    return router({
        relay: authorizedProcedure
            .input(passThrough<StoreCall>)
            .mutation(({ input }) => handlers.relay(input)),
        learn: authorizedProcedure.input(passThrough<Item>).mutation(({ input }) => handlers.learn(input)),
        doubt: authorizedProcedure.input(passThrough<string>).mutation(({ input }) => handlers.doubt(input)),
    });
}

/** Type of the agent's router, for clients. */
export type AgentPlanRouter = ReturnType<typeof createAgentPlanRouter>;

/** Type of the entry's router, for clients. */
export type EntryPlanRouter = ReturnType<typeof createEntryPlanRouter>;
