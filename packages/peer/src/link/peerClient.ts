import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { Agent } from "undici";
import type { AgentRouter } from "./agentRouter.ts";
import type { EntryRouter } from "./entryRouter.ts";
import { createPooledFetch, createIdleTimeoutFetch, type CallOptions, type LinkFetch } from "./linkFetch.ts";

/** Pool size for one address; several connections keep large responses from blocking small ones. */
const CONNECTIONS_PER_ADDRESS = 16;
/** A call whose connection is not open after this time fails as not sent. */
const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;
/**
 * Idle timeout of a polling call: 1,500 ms for the long poll and 900 ms for the network. A broken connection must be
 * detected within 2,500 ms; the remaining 100 ms allow for late timers of a busy process.
 */
export const POLL_IDLE_TIMEOUT_MS = 2_400;
/** Idle timeout of a call on a new connection. Most are answered at once, a cancel at the end of the long poll. */
const UNPOOLED_IDLE_TIMEOUT_MS = 2_500;

/** Context of a trpc call: the trace context that is sent in the `traceparent` header. */
export interface CallTrace {
    traceparent?: string | undefined;
}

/** Provides clients of other processes by `ip:port` and owns their connections. */
export interface PeerClients {
    /** A client without an idle timeout. */
    agent(address: string): TRPCClient<AgentRouter>;
    /** A client whose calls fail when no data arrives for the idle timeout; their total time is not limited. */
    pollingAgent(address: string): TRPCClient<AgentRouter>;
    /** A client that opens a new connection for each call, for use when pooled connections may be broken. */
    unpooledAgent(address: string): TRPCClient<AgentRouter>;
    entry(address: string): TRPCClient<EntryRouter>;
    /** Removes the cached clients of all other addresses. */
    retain(addresses: Set<string>): void;
    close(): Promise<void>;
}

/** Builds clients that send the peer token; `idleTimeoutMs` is the idle timeout of polling clients. */
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
