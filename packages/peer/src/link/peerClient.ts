import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { Agent, type Dispatcher } from "undici";
import type { AgentRouter } from "./agentRouter.ts";
import type { EntryRouter } from "./entryRouter.ts";

/** Connections to one address; large answers then do not block small ones. */
const CONNECTIONS_PER_ADDRESS = 16;
/** A connection that is not open after this time counts as not sent. */
const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;

/** Context of a call: the trace context that is sent as `traceparent`. */
export interface CallTrace {
    traceparent?: string | undefined;
}

/** Clients of the other processes, by `ip:port`. Owns the connection pool. */
export interface PeerClients {
    agent(address: string): TRPCClient<AgentRouter>;
    entry(address: string): TRPCClient<EntryRouter>;
    /** Drops the clients whose address is not listed. */
    retain(addresses: Set<string>): void;
    close(): Promise<void>;
}

/** Builds clients that show the peers' token. */
export function createPeerClients(token: string): PeerClients {
    const dispatcher = new Agent({
        connections: CONNECTIONS_PER_ADDRESS,
        connect: { timeout: CONNECT_TIMEOUT_MS },
        keepAliveTimeout: KEEP_ALIVE_MS,
    });
    const agents = new Map<string, TRPCClient<AgentRouter>>();
    const entries = new Map<string, TRPCClient<EntryRouter>>();

    function link(address: string) {
        return httpLink({
            url: `http://${address}`,
            headers: ({ op }) => {
                const { traceparent } = op.context as CallTrace;
                return { authorization: `Bearer ${token}`, ...(traceparent ? { traceparent } : {}) };
            },
            fetch: (url, options) => send(dispatcher, String(url), options as CallOptions),
        });
    }

    return {
        agent(address) {
            let client = agents.get(address);
            if (!client) {
                client = createTRPCClient<AgentRouter>({ links: [link(address)] });
                agents.set(address, client);
            }
            return client;
        },
        entry(address) {
            let client = entries.get(address);
            if (!client) {
                client = createTRPCClient<EntryRouter>({ links: [link(address)] });
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
        close: () => dispatcher.destroy(),
    };
}

/** What trpc's link passes to its transport. */
interface CallOptions {
    method: "GET" | "POST";
    headers: Record<string, string>;
    body?: string;
    signal?: AbortSignal;
}

/** Sends one call. undici's `fetch` would cost several megabytes and more processor time for each call. */
async function send(dispatcher: Agent, url: string, options: CallOptions): Promise<Response> {
    const { origin, pathname, search } = new URL(url);
    const request: Dispatcher.RequestOptions = { origin, path: pathname + search, ...options };
    const { statusCode, body } = await dispatcher.request(request);
    return { status: statusCode, ok: statusCode < 400, json: () => body.json() } as Response;
}
