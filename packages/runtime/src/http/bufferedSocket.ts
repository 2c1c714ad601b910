import { Socket, type SocketConstructorOpts } from "node:net";

/** Reads into a buffer that its caller chooses for each read; `callback` returns false to stop reading until `resume`. */
export interface ReadTarget {
    buffer: () => Buffer;
    callback: (bytes: number, buffer: Uint8Array) => boolean;
}

/** The native handle of a socket, which Node's types do not show. */
interface HandleOwner {
    _handle: unknown;
}

/**
 * Moves an accepted connection, of which nothing was read, to a socket that reads into shared buffers. A socket reads
 * into a new block of 64 KB otherwise, and hundreds of senders make more of these than garbage collections free in time.
 * Node offers `onread` only for sockets that connect, so this uses the `handle` option, with which Node itself creates
 * accepted sockets.
 */
export function moveToReadTarget(accepted: Socket, onread: ReadTarget): Socket {
    const owner = accepted as unknown as HandleOwner;
    const options = { handle: owner._handle, onread, allowHalfOpen: true };
    owner._handle = undefined;
    const socket = new Socket(options as unknown as SocketConstructorOpts);
    // Without its handle the accepted socket has nothing to close; its server counts it as closed.
    accepted.destroy();
    return socket;
}
