import {
    createServer as createHttpServer,
    type IncomingMessage,
    type RequestListener,
    type Server as HttpServer,
    type ServerResponse,
} from "node:http";
import { createServer as createNetServer, type AddressInfo, type Server as NetServer } from "node:net";
import { createInternalIntake, type Intake } from "../intake/intake.ts";
import { createBodyBuffer } from "./bodyBuffer.ts";
import { answerError, refuseLongHead } from "./connectionErrors.ts";
import { IntakeStream, PARSED_HEAD_BYTES } from "./intakeStream.ts";
import { readReceived } from "./replyTimer.ts";

/** Handle of an HTTP listener, which owns its sockets. */
export interface Listener {
    /** The `ip:port` that the listener is bound to. */
    address: string;
    /** Lets each connection end with its next answer; new connections are still accepted. */
    retire(): void;
    /** Stops accepting connections and resolves once the requests that were read have their answers. */
    close(): Promise<void>;
}

/** An HTTP server with its open connections. */
interface ListenerState {
    acceptor: NetServer;
    streams: Set<IntakeStream>;
    isRetiring: boolean;
    isClosing: boolean;
}

/** Longest time for which a closing listener accepts connections that wait, as new ones may come all the time. */
const ACCEPT_LIMIT_MS = 200;
/** Time that a closing listener gives clients to send the rest of a request, or the first one of a connection. */
const INCOMPLETE_REQUEST_LIMIT_MS = 1_000;
/** Time without progress after which a closing listener no longer waits for a client to read its answers. */
const UNREAD_ANSWER_LIMIT_MS = 2_000;
/** How much earlier clients are told that an idle connection ends, so that no request is on its way then. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
/**
 * Starts an HTTP listener on `ip:port`; port 0 selects a free port. Rejects if the address is in use. `intake` limits
 * what its connections may hold; listeners can share one.
 */
export function startListener(
    address: string,
    handle: RequestListener,
    intake: Intake = createInternalIntake(),
): Promise<Listener> {
    const { host, port } = splitAddress(address);
    const server = createRequestServer((request, response) => trackRequest(state, request, response), handle);
    const acceptor = createNetServer({ pauseOnConnect: true, noDelay: true }, socket => {
        const stream = new IntakeStream(socket, intake, refuseLongHead);
        if (stream.destroyed) {
            return;
        }
        state.streams.add(stream);
        stream.once("close", () => state.streams.delete(stream));
        server.keepAliveTimeout = Math.max(1, intake.limits.idleTimeoutMs - KEEP_ALIVE_MARGIN_MS);
        server.emit("connection", stream);
    });
    const state: ListenerState = { acceptor, streams: new Set(), isRetiring: false, isClosing: false };
    return new Promise((resolve, reject) => {
        acceptor.once("error", reject);
        acceptor.listen(port, host, () => {
            acceptor.off("error", reject);
            const bound = acceptor.address() as AddressInfo;
            resolve({
                address: `${bound.address}:${bound.port}`,
                retire: () => retire(state),
                close: () => closeListener(state),
            });
        });
    });
}

/** Splits `ip:port` into its two parts. */
export function splitAddress(address: string): { host: string; port: number } {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

/** Whether a text has the form `ip:port` with a port that a connection can go to. */
export function isAddress(text: string): boolean {
    const { host, port } = splitAddress(text);
    return !/[\s/?#@\\]/.test(host) && port > 0 && URL.canParse(`http://${text}`);
}

/**
 * Reads the body of a request; undefined if it is longer than `limitBytes`. Rejects if the client disconnects.
 * A longer body is read to its end as well, since the connection could carry no other request otherwise.
 */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<string | undefined> {
    const stream = request.socket as unknown as IntakeStream;
    const { buffers } = stream.intake;
    const body = createBodyBuffer({
        limitBytes,
        take: buffers.take,
        give: stream.intake.giveBuffer,
        onCapacity: differenceBytes => stream.chargeBody(differenceBytes),
    });
    try {
        await collect(request, chunk => {
            stream.noteCollected(request, chunk.length);
            body.add(chunk);
        });
        return body.text();
    } finally {
        body.release();
    }
}

/** Passes all bytes of a request's body on; rejects if the client disconnects. */
function collect(request: IncomingMessage, add: (chunk: Buffer) => void): Promise<void> {
    return new Promise((resolve, reject) => {
        const fail = () => reject(new Error("The client disconnected."));
        if (request.destroyed) {
            fail();
            return;
        }
        request.on("data", add);
        request.once("end", resolve);
        request.once("error", fail);
        request.once("close", fail);
    });
}

/** Sends a response with a JSON body and ends it. */
export function sendJson(
    response: ServerResponse,
    status: number,
    value: unknown,
    headers: Record<string, string> = {},
): void {
    const body = Buffer.from(JSON.stringify(value), "utf8");
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": String(body.length),
        ...headers,
    });
    response.end(body);
}

/** Creates the server that parses requests; it is given its connections and does not listen itself. */
function createRequestServer(
    track: (request: IncomingMessage, response: ServerResponse) => void,
    handle: RequestListener,
): HttpServer {
    // Node would answer a request without a host itself, and it would not be counted among the unanswered ones.
    const options = { requireHostHeader: false, maxHeaderSize: PARSED_HEAD_BYTES };
    const server = createHttpServer(options, (request, response) => {
        track(request, response);
        if (request.httpVersion === "1.1" && request.headers.host === undefined) {
            response.writeHead(400, { connection: "close" }).end();
            return;
        }
        handle(request, response);
    });
    // Headers beyond the default of 2,000 would be dropped; their bytes are limited instead.
    server.maxHeadersCount = 0;
    server.on("checkExpectation", (request: IncomingMessage, response: ServerResponse) => {
        track(request, response);
        response.writeHead(417).end();
    });
    server.on("clientError", (error: NodeJS.ErrnoException, stream) =>
        answerError(stream as unknown as IntakeStream, error),
    );
    return server;
}

function trackRequest(state: ListenerState, request: IncomingMessage, response: ServerResponse): void {
    const stream = request.socket as unknown as IntakeStream;
    const earlier = stream.openRequests.at(-1);
    stream.begin(request, response);
    if (state.isRetiring) {
        // A request behind this one would be lost if its answer ended the connection.
        response.shouldKeepAlive &&= stream.hasPendingBehind;
        if (earlier) {
            // The client has not waited for the answer to its earlier request, which must not end the connection.
            earlier.response.shouldKeepAlive = earlier.isKept;
        }
    }
    response.once("close", () => {
        if (state.isClosing && stream.isIdle) {
            stream.destroySoon();
        }
    });
}

function retire(state: ListenerState): void {
    state.isRetiring = true;
    for (const { openRequests, hasPendingBehind } of state.streams) {
        const latest = openRequests.at(-1);
        if (latest && !hasPendingBehind) {
            latest.response.shouldKeepAlive = false;
        }
    }
}

/**
 * Closes a listener. Answers that are still to come end their connections, which would otherwise stay open, and delay
 * the stop, until the keep-alive timeout. Idle connections are closed after a look at what they have received.
 */
async function closeListener(state: ListenerState): Promise<void> {
    const { acceptor, streams } = state;
    retire(state);
    await acceptWaiting(state);
    await readReceived();
    acceptor.close();
    state.isClosing = true;
    for (const stream of streams) {
        if (stream.isIdle) {
            stream.destroy();
        }
    }
    const timer = setInterval(() => void endRequests(state), INCOMPLETE_REQUEST_LIMIT_MS);
    while (streams.size > 0) {
        const [stream] = streams;
        await new Promise(resolve => stream?.once("close", resolve));
    }
    clearInterval(timer);
}

/** Accepts the connections that wait at the listening socket: the event loop accepts one each time it reads. */
async function acceptWaiting({ acceptor }: ListenerState): Promise<void> {
    const endsAt = performance.now() + ACCEPT_LIMIT_MS;
    let hasAccepted = true;
    const noteAccepted = () => {
        hasAccepted = true;
    };
    acceptor.on("connection", noteAccepted);
    while (hasAccepted && performance.now() < endsAt) {
        hasAccepted = false;
        await readReceived();
    }
    acceptor.off("connection", noteAccepted);
}

/**
 * Closes the connections without a whole request in flight, and those whose clients do not read. From the others no more
 * requests are read, as a client that always sends the next one would delay the stop until the process is killed.
 */
async function endRequests({ streams }: ListenerState): Promise<void> {
    await readReceived();
    for (const stream of streams) {
        const isWhole = stream.openRequests.some(({ request }) => request.complete);
        if (!isWhole || stream.unreadForMs() > UNREAD_ANSWER_LIMIT_MS) {
            stream.destroy();
        } else {
            stream.stopReading();
            stream.openRequests.at(-1)!.response.shouldKeepAlive = false;
        }
    }
}
