import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { Either, Left, Right } from "purify-ts/Either";
import { Agent } from "undici";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { SyncReply, SyncRequest } from "@tanagerdeck/decisions/worker/workerReport";
import {
    REPLY_LIMIT_MS,
    type Item,
    type SendStoreCall,
    type StoreCall,
    type StoreReply,
} from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { peerCall } from "../link/peerCall.ts";
import {
    createIdleTimeoutFetch,
    createPooledFetch,
    type CallOptions,
    type LinkFetch,
} from "../link/linkFetch.ts";
import type { AgentPlanRouter, EntryPlanRouter, RelayReply } from "./planRouters.ts";

const CONNECT_TIMEOUT_MS = 500;
const KEEP_ALIVE_MS = 20_000;
const CONNECTIONS_PER_AGENT = 4;
/** As many as straight to the store: while the store turns this process away, all its calls go through an entry. */
const CONNECTIONS_PER_ENTRY = 24;
/** Added to the timeout of a store call for the round trip to the forwarding process. */
const RELAY_ALLOWANCE_MS = 200;
/** Time without a byte from an entry after which a call to it fails: the longest timeout of a store call, with its relay. */
const ENTRY_IDLE_TIMEOUT_MS = 2_200;
const NOTIFY_TIMEOUT_MS = 1_000;

/** Clients for calls to other processes of the system, by `ip:port`. Owns the connection pools. */
export interface PlanClients {
    sync(address: string, request: SyncRequest, timeoutMs: number): Promise<Either<Failure, SyncReply>>;
    learn(address: string, item: Item): Promise<Either<Failure, void>>;
    doubt(address: string, id: string): Promise<Either<Failure, void>>;
    /** Sends a store call through another process. */
    relay(address: string): SendStoreCall;
    close(): Promise<void>;
}

/** Creates the clients; `token` authenticates the processes to each other. */
export function createPlanClients(token: string): PlanClients {
    const agentDispatcher = createDispatcher(CONNECTIONS_PER_AGENT);
    const entryDispatcher = createDispatcher(CONNECTIONS_PER_ENTRY);
    const agentFetch = createPooledFetch(agentDispatcher);
    const entryFetch = createIdleTimeoutFetch(entryDispatcher, ENTRY_IDLE_TIMEOUT_MS);
    const agents = new Map<string, TRPCClient<AgentPlanRouter>>();
    const entries = new Map<string, TRPCClient<EntryPlanRouter>>();

    function createLink(address: string, send: LinkFetch) {
        return httpLink({
            url: `http://${address}`,
            headers: { authorization: `Bearer ${token}` },
            fetch: (url, options) => send(String(url), options as CallOptions),
        });
    }

    function agentClient(address: string): TRPCClient<AgentPlanRouter> {
        const client =
            agents.get(address) ??
            createTRPCClient<AgentPlanRouter>({ links: [createLink(address, agentFetch)] });
        agents.set(address, client);
        return client;
    }

    function entryClient(address: string): TRPCClient<EntryPlanRouter> {
        const client =
            entries.get(address) ??
            createTRPCClient<EntryPlanRouter>({ links: [createLink(address, entryFetch)] });
        entries.set(address, client);
        return client;
    }

    return {
        sync: (address, request, timeoutMs) =>
            peerCall(timeoutMs, signal => agentClient(address).sync.mutate(request, { signal })),
        learn: (address, item) =>
            peerCall(NOTIFY_TIMEOUT_MS, signal => entryClient(address).learn.mutate(item, { signal })),
        doubt: (address, id) =>
            peerCall(NOTIFY_TIMEOUT_MS, signal => entryClient(address).doubt.mutate(id, { signal })),
        relay: address => async call => {
            const sent = await peerCall(relayTimeoutMs(call), signal =>
                entryClient(address).relay.mutate(call, { signal }),
            );
            return sent.chain(readRelayReply);
        },
        async close() {
            await Promise.all([agentDispatcher.destroy(), entryDispatcher.destroy()]);
        },
    };
}

function createDispatcher(connections: number): Agent {
    return new Agent({
        connections,
        connect: { timeout: CONNECT_TIMEOUT_MS },
        keepAliveTimeout: KEEP_ALIVE_MS,
    });
}

/** The store's reply that a relay has passed on; a relay of another release may reply in another form. */
function readRelayReply(reply: RelayReply | undefined): Either<Failure, StoreReply> {
    if (reply?.kind === "failed") {
        const verdict = reply.verdict === "not-run" ? "not-run" : "may-have-run";
        return Left(failure(verdict, "platform-unavailable", String(reply.detail)));
    }
    const stored = reply?.reply as Partial<StoreReply> | undefined;
    return typeof stored?.status === "number" && typeof stored.body === "string"
        ? Right({ status: stored.status, body: stored.body })
        : Left(failure("may-have-run", "platform-unavailable", "The relay's reply has another form."));
}

/** Time limit of a relayed call. Only reads and watches have replies that may take longer than their timeout. */
function relayTimeoutMs({ effect, timeoutMs }: StoreCall): number {
    return effect === "read" || effect === "watch" ? REPLY_LIMIT_MS : timeoutMs + RELAY_ALLOWANCE_MS;
}
