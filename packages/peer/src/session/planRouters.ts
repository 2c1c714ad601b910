import type { SyncReply, SyncRequest } from "@tanagerdeck/decisions/worker/workerReport";
import type { Item, StoreCall, StoreReply } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { authorizedProcedure, passThrough, router } from "../link/trpcBase.ts";

/** The reply to a forwarded store call, or why it could not be made. */
export type RelayReply =
    | { kind: "reply"; reply: StoreReply }
    | { kind: "failed"; verdict: "not-run" | "may-have-run"; detail: string };

/** What every process does for the others. */
export interface RelayHandlers {
    /** Sends a call to the store from here. */
    relay(call: StoreCall): Promise<RelayReply>;
}

/** What an agent does for the leader. */
export interface AgentPlanHandlers extends RelayHandlers {
    sync(request: SyncRequest): Promise<SyncReply>;
}

/** What an entry does for other entries. */
export interface EntryPlanHandlers extends RelayHandlers {
    /** Tells of an item that was just written, ahead of the store's own notification. */
    learn(item: Item): Promise<void>;
    /** Tells that the submission of a job may be stored although no entry could say so. */
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
