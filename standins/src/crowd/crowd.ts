import { connect, type Socket } from "node:net";
import { splitAddress } from "@tanagerdeck/runtime/http/listener";

/** One connection of a crowd. */
export interface CrowdMember {
    /** Position in the crowd, from 0. */
    index: number;
    /** Whether answers are read and discarded; a member that does not read leaves them with the server. */
    read(): void;
    /**
     * Writes the same bytes `times` times and waits whenever the server does not read. Returns whether all of them were
     * written before the connection closed and the time of the crowd was over.
     */
    write(data: Buffer, times?: number): Promise<boolean>;
}

/** What each connection of a crowd does. It stays open afterwards. */
export type CrowdKind = (member: CrowdMember) => Promise<void>;

/** Size and place of a crowd. */
export interface CrowdOptions {
    /** `ip:port` of the server. */
    address: string;
    connections: number;
    kind: CrowdKind;
    /** Source address of all connections; the system's choice if absent. */
    localAddress?: string;
    /** Time in milliseconds after which nothing more is written. */
    playMs: number;
}

/** Connections that play a `CrowdKind`. */
export interface Crowd {
    /**
     * Resolves when each connection is open and has written everything, or has closed, or when the time of the crowd is
     * over.
     */
    played: Promise<void>;
    /** Number of connections that the server has not closed. */
    openConnections(): number;
    /** Closes all connections. */
    stop(): void;
}

interface CrowdState {
    isOver: boolean;
    /** Called when the time is over, so that members stop waiting for the server to read. */
    waiting: Set<() => void>;
}

/** Opens the connections of a crowd. */
export function startCrowd({ address, connections, kind, localAddress, playMs }: CrowdOptions): Crowd {
    const { host, port } = splitAddress(address);
    const state: CrowdState = { isOver: false, waiting: new Set() };
    const sockets: Socket[] = [];
    const plays: Promise<void>[] = [];
    for (let index = 0; index < connections; index++) {
        const socket = connect({ host, port, noDelay: true, ...(localAddress ? { localAddress } : {}) });
        // A server under test may refuse or reset connections, or end.
        socket.on("error", () => undefined);
        sockets.push(socket);
        const member = createMember(socket, index, state);
        plays.push(connected(socket).then(() => kind(member)));
    }
    let endPlay = (): void => undefined;
    const over = new Promise<void>(resolve => {
        endPlay = () => {
            clearTimeout(timer);
            state.isOver = true;
            for (const settle of state.waiting) {
                settle();
            }
            resolve();
        };
    });
    const timer = setTimeout(endPlay, playMs);
    void Promise.all(plays).then(endPlay);
    return {
        played: over,
        openConnections: () => sockets.filter(socket => !socket.destroyed && !socket.connecting).length,
        stop() {
            endPlay();
            for (const socket of sockets) {
                socket.destroy();
            }
        },
    };
}

/** Resolves when a socket is connected, or closed without having been. */
function connected(socket: Socket): Promise<void> {
    return new Promise(resolve => {
        socket.once("connect", resolve);
        socket.once("close", resolve);
    });
}

function createMember(socket: Socket, index: number, state: CrowdState): CrowdMember {
    function drained(): Promise<void> {
        return new Promise(resolve => {
            const settle = () => {
                state.waiting.delete(settle);
                socket.off("drain", settle);
                socket.off("close", settle);
                resolve();
            };
            state.waiting.add(settle);
            socket.once("drain", settle);
            socket.once("close", settle);
        });
    }

    return {
        index,
        read: () => void socket.resume(),
        async write(data, times = 1) {
            for (let count = 0; count < times; count++) {
                if (socket.destroyed || !socket.writable || state.isOver) {
                    return false;
                }
                if (!socket.write(data)) {
                    await drained();
                }
            }
            return !socket.destroyed;
        },
    };
}
