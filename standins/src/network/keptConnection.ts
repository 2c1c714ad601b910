import { connect, type Socket } from "node:net";
import { splitAddress } from "@tanagerdeck/runtime/http/listener";

/** A complete HTTP answer. */
export interface Answer {
    status: number;
    body: string;
    /** Whether the server closes the connection after this answer. */
    isLast: boolean;
}

/** Outcome of a request on a kept connection: its answer, or how the connection ended without one. */
export type Exchange =
    | { kind: "answered"; answer: Answer }
    /**
     * `partial` says whether a part of the answer arrived, and `isAfterLast` whether an earlier answer had announced the
     * end of the connection.
     */
    | { kind: "closed"; partial: boolean; isAfterLast: boolean; error: string | undefined }
    | { kind: "silent" };

/** A connection that its client keeps open between requests. It writes raw HTTP, so that nothing is ever retried. */
export interface KeptConnection {
    /** Whether the connection can carry another request. */
    isOpen(): boolean;
    /** Sends a request, or the first part of one, and waits for its answer for at most `limitMs`. */
    exchange(text: string, limitMs: number): Promise<Exchange>;
    /** Sends the next part of a request. */
    write(text: string): void;
    close(): void;
}

interface WaitingExchange {
    settle(outcome: Exchange): void;
}

/** Opens a connection to `ip:port`; rejects if it is refused. */
export function openKeptConnection(address: string): Promise<KeptConnection> {
    const { host, port } = splitAddress(address);
    const socket = connect({ host, port, noDelay: true });
    return new Promise((resolve, reject) => {
        socket.once("error", reject);
        socket.once("connect", () => {
            socket.off("error", reject);
            resolve(keepConnection(socket));
        });
    });
}

function keepConnection(socket: Socket): KeptConnection {
    const waiting: WaitingExchange[] = [];
    let received = Buffer.alloc(0);
    let error: string | undefined;
    let isOpen = true;
    let hasLastAnswer = false;

    function closeWaiting(): void {
        isOpen = false;
        for (const [index, { settle }] of waiting.splice(0).entries()) {
            const partial = index === 0 && received.length > 0;
            settle({ kind: "closed", partial, isAfterLast: hasLastAnswer, error });
        }
    }

    socket.on("data", chunk => {
        received = Buffer.concat([received, chunk]);
        for (let found = takeAnswer(received); found; found = takeAnswer(received)) {
            received = Buffer.from(found.rest);
            hasLastAnswer ||= found.answer.isLast;
            isOpen &&= !hasLastAnswer;
            waiting.shift()?.settle({ kind: "answered", answer: found.answer });
        }
    });
    socket.on("error", ({ code, message }: NodeJS.ErrnoException) => {
        error = code ?? message;
    });
    socket.on("end", closeWaiting);
    socket.on("close", closeWaiting);

    return {
        isOpen: () => isOpen,
        exchange(text, limitMs) {
            return new Promise(resolve => {
                const timer = setTimeout(() => resolve({ kind: "silent" }), limitMs);
                const settle = (outcome: Exchange): void => {
                    clearTimeout(timer);
                    resolve(outcome);
                };
                if (socket.destroyed) {
                    settle({ kind: "closed", partial: false, isAfterLast: hasLastAnswer, error });
                    return;
                }
                waiting.push({ settle });
                socket.write(text);
            });
        },
        write: text => void socket.write(text),
        close: () => void socket.destroy(),
    };
}

/** Takes the first complete answer from the received bytes. Every answer of an entry has a `content-length`. */
function takeAnswer(received: Buffer): { answer: Answer; rest: Buffer } | undefined {
    const headerEnd = received.indexOf("\r\n\r\n");
    if (headerEnd < 0) {
        return undefined;
    }
    const header = received.toString("latin1", 0, headerEnd);
    const length = Number(/\r\ncontent-length: *(\d+)/i.exec(header)?.[1] ?? 0);
    const bodyStart = headerEnd + 4;
    if (received.length < bodyStart + length) {
        return undefined;
    }
    const answer = {
        status: Number(header.split(" ")[1]),
        body: received.toString("utf8", bodyStart, bodyStart + length),
        isLast: /\r\nconnection: *close/i.test(header),
    };
    return { answer, rest: received.subarray(bodyStart + length) };
}
