import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/**
 * Fault that applies to one HTTP request on its way through the proxy.
 * - `cut-before`, `cut-after`: the connection is cut before the target gets the request, or when it replies.
 * - `silent-before`, `silent-after`: the request, or its reply, is not forwarded; the connection stays open.
 * - `hold`: the request is held until `release`, and then reaches the target even if its client has disconnected.
 * - `freeze`: the whole proxy freezes when the request arrives, as on a call of `freeze`.
 */
export type ProxyFault =
    "none" | "cut-before" | "cut-after" | "silent-before" | "silent-after" | "hold" | "freeze";

/** A stand-in for the network between a client and one HTTP server. */
export interface ProxyStandin {
    address: string;
    /** `ip:port` that new connections go to. */
    target: string;
    /** Chooses the fault of each HTTP request by its path, such as `/submit`. */
    faultFor: (path: string) => ProxyFault;
    /** Refuses new connections and closes the open ones. */
    refuse(): Promise<void>;
    /** Accepts connections again after `refuse`. */
    accept(): Promise<void>;
    /** Closes the open connections. */
    cut(): void;
    /** Forwards nothing more on the open connections; new ones work. */
    silence(): void;
    /** Forwards nothing until `resume`, which delivers all held data, also from clients that have disconnected. */
    freeze(): void;
    resume(): void;
    /** Forwards the requests that the fault `hold` has held. */
    release(): void;
    /** Sends the last request with this path to the target once more. */
    replay(path: string): void;
    close(): Promise<void>;
}

interface Connection {
    client: Socket;
    upstream: Socket | undefined;
    fault: ProxyFault;
    held: Buffer[];
    silenced: boolean;
    path: string;
}

interface ProxyState {
    connections: Set<Connection>;
    /** Data of the latest request by path, for `replay`. */
    latestRequests: Map<string, Buffer[]>;
    frozen: boolean;
    replaySockets: Socket[];
    server: Server;
}

/** Starts the stand-in in front of `target`. */
export async function startProxyStandin(target: string): Promise<ProxyStandin> {
    const state: ProxyState = {
        connections: new Set(),
        latestRequests: new Map(),
        frozen: false,
        replaySockets: [],
        server: createServer(client => acceptClient(proxy, state, client)),
    };
    const proxy: ProxyStandin = {
        address: "",
        target,
        faultFor: () => "none",
        async refuse() {
            proxy.cut();
            await new Promise<void>(resolve => state.server.close(() => resolve()));
        },
        accept: () => listen(state.server, Number(proxy.address.split(":")[1])),
        cut() {
            for (const connection of state.connections) {
                closeConnection(state, connection);
            }
        },
        silence() {
            for (const connection of state.connections) {
                connection.silenced = true;
            }
        },
        freeze() {
            state.frozen = true;
        },
        resume() {
            state.frozen = false;
            for (const connection of state.connections) {
                connection.fault = connection.fault === "freeze" ? "none" : connection.fault;
                connection.client.resume();
                connection.upstream?.resume();
                forwardHeld(proxy, state, connection);
            }
        },
        release() {
            for (const connection of state.connections) {
                if (connection.fault === "hold") {
                    connection.fault = "none";
                    forwardHeld(proxy, state, connection);
                }
            }
        },
        replay(path) {
            const { host, port } = splitAddress(proxy.target);
            const socket = connect(port, host);
            socket.on("error", () => undefined);
            state.replaySockets.push(socket);
            for (const chunk of state.latestRequests.get(path) ?? []) {
                socket.write(chunk);
            }
        },
        async close() {
            proxy.cut();
            for (const socket of state.replaySockets) {
                socket.destroy();
            }
            await new Promise<void>(resolve => state.server.close(() => resolve()));
        },
    };
    await listen(state.server, 0);
    proxy.address = `127.0.0.1:${(state.server.address() as AddressInfo).port}`;
    return proxy;
}

function acceptClient(proxy: ProxyStandin, state: ProxyState, client: Socket): void {
    const connection: Connection = {
        client,
        upstream: undefined,
        fault: "none",
        held: [],
        silenced: false,
        path: "",
    };
    state.connections.add(connection);
    client.on("error", () => undefined);
    client.on("close", () => handleClientClose(state, connection));
    client.on("data", chunk => handleClientData(proxy, state, connection, chunk));
}

function handleClientData(
    proxy: ProxyStandin,
    state: ProxyState,
    connection: Connection,
    chunk: Buffer,
): void {
    if (connection.silenced) {
        return;
    }
    const path = /^(?:POST|GET|DELETE) (\/[^ ?]*)/.exec(chunk.toString("latin1", 0, 200))?.[1];
    if (path !== undefined) {
        connection.path = path;
        connection.fault = proxy.faultFor(path);
        state.latestRequests.set(path, []);
    }
    if (state.frozen || connection.fault === "freeze") {
        state.frozen = true;
        connection.fault = "freeze";
    }
    if (connection.fault === "cut-before") {
        closeConnection(state, connection);
        return;
    }
    if (connection.fault === "silent-before") {
        return;
    }
    state.latestRequests.get(connection.path)?.push(chunk);
    connection.held.push(chunk);
    if (connection.fault !== "hold" && !state.frozen) {
        forwardHeld(proxy, state, connection);
    }
}

function forwardHeld(proxy: ProxyStandin, state: ProxyState, connection: Connection): void {
    if (connection.held.length === 0) {
        return;
    }
    connection.upstream ??= openUpstream(proxy, state, connection);
    for (const chunk of connection.held.splice(0)) {
        connection.upstream.write(chunk);
    }
}

function openUpstream(proxy: ProxyStandin, state: ProxyState, connection: Connection): Socket {
    const { host, port } = splitAddress(proxy.target);
    const upstream = connect(port, host);
    upstream.on("error", () => undefined);
    upstream.on("close", () => {
        // A silent connection stays open to its client even after the target has closed its side.
        if (connection.fault !== "silent-after" && !connection.silenced) {
            closeConnection(state, connection);
        }
    });
    upstream.on("data", chunk => {
        if (connection.fault === "cut-after") {
            closeConnection(state, connection);
            return;
        }
        if (connection.fault === "silent-after" || connection.silenced) {
            return;
        }
        if (state.frozen) {
            upstream.pause();
            upstream.unshift(chunk);
            return;
        }
        connection.client.write(chunk);
    });
    return upstream;
}

/** Closes a connection after its client, unless held data still has to be delivered to the target. */
function handleClientClose(state: ProxyState, connection: Connection): void {
    if (connection.held.length === 0) {
        closeConnection(state, connection);
    }
}

function closeConnection(state: ProxyState, connection: Connection): void {
    state.connections.delete(connection);
    connection.client.destroy();
    connection.upstream?.destroy();
}

function splitAddress(address: string): { host: string; port: number } {
    const [host, port] = address.split(":");
    return { host: host ?? "", port: Number(port) };
}

function listen(server: Server, port: number): Promise<void> {
    return new Promise(resolve => server.listen(port, "127.0.0.1", () => resolve()));
}
