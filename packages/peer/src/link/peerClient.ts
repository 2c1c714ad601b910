import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { Agent } from "undici";
import type { AgentRouter } from "./agentRouter.ts";
import type { EntryRouter } from "./entryRouter.ts";
import { createPooledFetch, createIdleTimeoutFetch, type CallOptions, type LinkFetch } from "./linkFetch.ts";

/** Connections to one address; large answers then do not block small ones. */
const CONNECTIONS_PER_ADDRESS = 16;
/** A connection that is not open after this time counts as not sent. */
const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;
/**
 * A long poll of 1,500 ms plus 900 ms for the way; a connection silent for longer is given up.
 * The remaining 100 ms to the stated 2,500 ms are for late timers of a busy process.
 */
export const POLL_IDLE_TIMEOUT_MS = 2_400;
/** A call on a new connection is answered at once or, for cancel, at the end of the poll window. */
const UNPOOLED_IDLE_TIMEOUT_MS = 2_500;

/** Context of a call: the trace context that is sent as `traceparent`. */
export interface CallTrace {
    traceparent?: string | undefined;
}

/** Clients of the other processes, by `ip:port`. Owns the connection pool. */
export interface PeerClients {
    agent(address: string): TRPCClient<AgentRouter>;
    /** A client whose calls fail when their connection is silent, however long they take in all. */
    pollingAgent(address: string): TRPCClient<AgentRouter>;
    /** A client that opens a connection for each call, for use when an open connection may be silent. */
    unpooledAgent(address: string): TRPCClient<AgentRouter>;
    entry(address: string): TRPCClient<EntryRouter>;
    /** Drops the clients whose address is not listed. */
    retain(addresses: Set<string>): void;
    close(): Promise<void>;
}

/** Builds clients that show the peers' token; `silentMs` is the time after which a polled connection is given up. */
export function createPeerClients(token: string, idleTimeoutMs: number = POLL_IDLE_TIMEOUT_MS): PeerClients {
    const dispatcher = new Agent({
        connections: CONNECTIONS_PER_ADDRESS,
        connect: { timeout: CONNECT_TIMEOUT_MS },
        keepAliveTimeout: KEEP_ALIVE_MS,
    });
    // Without pipelining undici sends one request on a connection and closes it.
    const unpooledDispatcher = new Agent({ pipelining: 0, connect: { timeout: CONNECT_TIMEOUT_MS } });
    const pooled = createPooledFetch(dispatcher);
    const polling = createIdleTimeoutFetch(dispatcher, idleTimeoutMs);
    const unpooled = createIdleTimeoutFetch(unpooledDispatcher, UNPOOLED_IDLE_TIMEOUT_MS);
    const agents = new Map<string, TRPCClient<AgentRouter>>();
    const entries = new Map<string, TRPCClient<EntryRouter>>();

    function link(address: string, linkFetch: LinkFetch) {
        return httpLink({
            url: `http://${address}`,
            headers: ({ op }) => {
                const { traceparent } = op.context as CallTrace;
                return { authorization: `Bearer ${token}`, ...(traceparent ? { traceparent } : {}) };
            },
            fetch: (url, options) => linkFetch(String(url), options as CallOptions),
        });
    }

    return {
        agent(address) {
            let client = agents.get(address);
            if (!client) {
                client = createTRPCClient<AgentRouter>({ links: [link(address, pooled)] });
                agents.set(address, client);
            }
            return client;
        },
        pollingAgent: address => createTRPCClient<AgentRouter>({ links: [link(address, polling)] }),
        unpooledAgent: address => createTRPCClient<AgentRouter>({ links: [link(address, unpooled)] }),
        entry(address) {
            let client = entries.get(address);
            if (!client) {
                client = createTRPCClient<EntryRouter>({ links: [link(address, pooled)] });
                entries.set(address, client);
            }
            return client;
        },
        retain(addresses) {
            for (const clients of [agents, entries]) {
                for (const address of clients.keys()) {
                    if (!addresses.has(address)) {
                        clients.delete(address);
                    }
                }
            }
        },
        async close() {
            await dispatcher.destroy();
            await unpooledDispatcher.destroy();
        },
    };
}
