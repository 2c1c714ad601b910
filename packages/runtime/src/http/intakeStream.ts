import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { isIdle } from "../intake/closingChoice.ts";
import type { Intake, IntakeConnection } from "../intake/intake.ts";
import { openState, type ConnectionState } from "../intake/intakeTypes.ts";
import { moveToReadTarget } from "./bufferedSocket.ts";
import { createHeadScanner } from "./headScanner.ts";
import {
    excessFraming,
    hasNextHead,
    partAfterHead,
    sliceLength,
    type ChunkedPart,
    type MessagePart,
} from "./messagePart.ts";

/** A request that was read, at least its header, and has no whole answer yet. */
export interface OpenRequest {
    request: IncomingMessage;
    response: ServerResponse;
    /** Whether the client lets the connection stay open after the answer. */
    isKept: boolean;
    headBytes: number;
}

/** Bytes of one read, and so the most that a connection keeps while it is not read any further. */
const READ_BYTES = 4_096;
/** Bytes of one read while a body of known length is received. */
const BODY_READ_BYTES = 64 * 1024;
/**
 * Buffers that all connections of the process read into. What a read returns is parsed at once, which copies bodies, and
 * the rest is copied.
 */
const readBuffer = Buffer.allocUnsafeSlow(READ_BYTES);
const bodyReadBuffer = Buffer.allocUnsafeSlow(BODY_READ_BYTES);
/** Bytes that a connection may pass in one turn of the event loop, so that others get their turn. */
const TURN_BYTES = 1_024;
/**
 * Bytes of an unread body above which Node pauses the stream. In chunks of one byte each is a buffer of its own, so the
 * usual 16 KB could take 3 MB.
 */
const UNREAD_BODY_BYTES = 256;
/** Largest write, so that the progress of a client that reads a long answer slowly can be seen. */
const WRITE_BYTES = 64 * 1024;
/**
 * What the parser accepts of a head or of trailers. It is fixed for each connection, so it lies far above the limit in
 * force, which then applies at once when it is raised. Manifests with a higher limit are served up to this one.
 */
export const PARSED_HEAD_BYTES = 256 * 1024;
/** Time for which input is dropped after an error answer; closing at once could reset the connection before it arrives. */
const LINGER_MS = 500;

/** Called when a head is longer than the limit. */
type LongHeadHandler = (stream: IntakeStream) => void;

/**
 * The stream between an accepted socket and Node's HTTP parser. It passes bytes on only while the limits of its intake
 * allow, so that TCP holds the client back otherwise. A slice ends where a head ends: the parser then produces one
 * request at a time, and the bytes of the next head are known.
 */
export class IntakeStream extends Duplex implements IntakeConnection {
    readonly state: ConnectionState;
    /** Open requests in the order in which they were read. */
    readonly openRequests: OpenRequest[] = [];
    hasCarriedRequest = false;
    readonly remoteAddress: string | undefined;
    readonly #socket: Socket;
    readonly #intake: Intake;
    readonly #onLongHead: LongHeadHandler;
    readonly #scanner = createHeadScanner();
    #part: MessagePart = { kind: "head" };
    /** Bytes that were taken from the socket and not passed on. */
    #rest: Buffer | undefined;
    #latest: IncomingMessage | undefined;
    #latestHeadBytes = 0;
    /** Bytes of the latest request's body that were collected. */
    #collectedBytes = 0;
    #isScheduled = false;
    /** Whether the socket reads on. */
    #isReading = true;
    #isEnded = false;
    #isStopped = false;

    /** `accepted` must not have been read yet. */
    constructor(accepted: Socket, intake: Intake, onLongHead: LongHeadHandler) {
        super({ readableHighWaterMark: UNREAD_BODY_BYTES, writableHighWaterMark: 16 * 1024 });
        const { remoteAddress } = accepted;
        const socket = moveToReadTarget(accepted, {
            buffer: () => (this.#readsLargeBody() ? bodyReadBuffer : readBuffer),
            callback: (bytes, buffer) => this.#receive(buffer as Buffer, bytes),
        });
        this.#socket = socket;
        this.remoteAddress = remoteAddress;
        this.#intake = intake;
        this.#onLongHead = onLongHead;
        this.state = openState(remoteAddress ?? "", intake.clock.now());
        socket.on("end", () => {
            this.#isEnded = true;
            this.#pump();
        });
        socket.on("error", error => this.destroy(error));
        socket.on("close", () => this.destroy());
        this.on("resume", () => this.#schedule());
        intake.admit(this);
    }

    /** Whether bytes were received that the parser has not seen. */
    get hasPending(): boolean {
        return this.#pendingBytes() > 0;
    }

    /** Whether bytes were received that lie behind the latest request; unknown, and so false, behind a chunked body. */
    get hasPendingBehind(): boolean {
        const part = this.#part.kind === "head" ? partAfterHead(this.#latest) : this.#part;
        return (
            part.kind !== "chunked" && this.#pendingBytes() > (part.kind === "body" ? part.remainingBytes : 0)
        );
    }

    /** Whether the connection has carried a request and has neither another one nor a part of one. */
    get isIdle(): boolean {
        this.refresh();
        return this.hasCarriedRequest && isIdle(this.state);
    }

    /** Takes over a request whose head was parsed. */
    begin(request: IncomingMessage, response: ServerResponse): OpenRequest {
        const headBytes = this.#latestHeadBytes;
        const opened = { request, response, isKept: response.shouldKeepAlive, headBytes };
        this.#latest = request;
        this.hasCarriedRequest = true;
        this.openRequests.push(opened);
        this.state.requests++;
        this.state.requestHeadBytes += headBytes;
        response.once("close", () => this.#finish(opened));
        return opened;
    }

    /** Changes the capacity of the buffers that collect bodies of this connection. */
    chargeBody(differenceBytes: number): void {
        this.state.bodyBytes += differenceBytes;
        this.#intake.update(this.state);
    }

    get intake(): Intake {
        return this.#intake;
    }

    /** Counts bytes of a body that were collected. */
    noteCollected(request: IncomingMessage, bytes: number): void {
        if (request === this.#latest) {
            this.#collectedBytes += bytes;
        }
    }

    /** Time for which the client has not read an answer that is ready; 0 if it has read all. */
    unreadForMs(): number {
        return this.writableLength > 0 ? this.#intake.clock.now() - this.state.sentAtMs : 0;
    }

    /** Stops reading requests; what is received from now on is dropped. */
    stopReading(): void {
        this.#isStopped = true;
        this.#rest = undefined;
        this.#schedule();
    }

    /** Sends an answer that ends the connection, and closes it once the client had time to read it. */
    endWith(text: string): void {
        this.stopReading();
        this.end(text);
        const stopTimer = this.#intake.clock.startTimer(LINGER_MS, () => this.destroy());
        this.once("close", stopTimer);
    }

    /** Closes the connection after what was written; called by Node after the last answer. */
    destroySoon(): void {
        this.end();
        if (this.writableFinished) {
            this.destroy();
        } else {
            this.once("finish", () => this.destroy());
        }
    }

    refresh(): void {
        const { state } = this;
        let queuedBytes = 0;
        let wholeRequests = 0;
        for (const { request, response } of this.openRequests) {
            queuedBytes += response.socket ? 0 : response.writableLength;
            wholeRequests += request.complete ? 1 : 0;
        }
        state.unsentBytes = this.writableLength;
        state.queuedBytes = queuedBytes;
        state.wholeRequests = wholeRequests;
        state.pendingBytes = this.#pendingBytes();
        state.isInBody = this.#latest !== undefined && !this.#latest.complete;
        state.unreadBodyBytes = this.#part.kind === "chunked" ? (this.#latest?.readableLength ?? 0) : 0;
    }

    close(): void {
        this.destroy();
    }

    readAgain(): void {
        this.#schedule();
    }

    takeTurn(): void {
        this.#isScheduled = false;
        this.#pump();
    }

    override _read(): void {
        if (this.hasPending || this.#isEnded) {
            this.#schedule();
        } else {
            this.#readOn();
        }
    }

    override _write(chunk: Buffer, _encoding: BufferEncoding, done: (error?: Error) => void): void {
        this.#noteUnsent();
        this.#writePart(chunk, 0, done);
    }

    override _writev(chunks: { chunk: Buffer }[], done: (error?: Error) => void): void {
        this.#noteUnsent();
        if (chunks.reduce((sum, { chunk }) => sum + chunk.length, 0) > WRITE_BYTES) {
            this.#writePart(Buffer.concat(chunks.map(({ chunk }) => chunk)), 0, done);
            return;
        }
        this.#socket.cork();
        for (const [index, { chunk }] of chunks.entries()) {
            if (index < chunks.length - 1) {
                this.#socket.write(chunk);
            } else {
                this.#writePart(chunk, 0, done);
            }
        }
        this.#socket.uncork();
    }

    override _final(done: (error?: Error) => void): void {
        this.#socket.end(() => done());
    }

    override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
        this.#isStopped = true;
        this.#rest = undefined;
        this.#intake.release(this.state);
        this.#socket.destroy();
        done(error);
    }

    #writePart(chunk: Buffer, start: number, done: (error?: Error) => void): void {
        const end = start + WRITE_BYTES;
        const part = start === 0 && chunk.length <= WRITE_BYTES ? chunk : chunk.subarray(start, end);
        this.#socket.write(part, error => {
            this.state.sentAtMs = this.#intake.clock.now();
            if (error || end >= chunk.length) {
                done(error ?? undefined);
            } else {
                this.#writePart(chunk, end, done);
            }
        });
    }

    #noteUnsent(): void {
        if (this.state.unsentBytes === 0) {
            this.state.sentAtMs = this.#intake.clock.now();
        }
    }

    #finish(opened: OpenRequest): void {
        const { state } = this;
        this.openRequests.splice(this.openRequests.indexOf(opened), 1);
        state.requests--;
        state.requestHeadBytes -= opened.headBytes;
        state.idleSinceMs = this.#intake.clock.now();
        this.#update();
        this.#schedule();
    }

    #schedule(): void {
        if (!this.#isScheduled && !this.destroyed) {
            this.#isScheduled = true;
            this.#intake.schedule(this);
        }
    }

    #pendingBytes(): number {
        return this.#rest?.length ?? 0;
    }

    /** Passes bytes on until the turn's share is used, a limit holds the connection or nothing is left. */
    #pump(): void {
        if (this.#isScheduled || this.destroyed) {
            return;
        }
        if (this.#isStopped) {
            this.#readOn();
            return;
        }
        const isTurnUsed = this.#passTurn();
        if (this.#isStopped || this.destroyed) {
            return;
        }
        if (!this.hasPending) {
            this.#readOn();
        } else if (isTurnUsed) {
            this.#schedule();
        }
        this.#update();
    }

    /** Passes one whole request or `TURN_BYTES` on at most; false if it stopped before, as a limit holds the connection. */
    #passTurn(): boolean {
        let passedBytes = 0;
        while (passedBytes < TURN_BYTES) {
            const slice = this.#mayPush() ? this.#takeSlice() : undefined;
            if (!slice) {
                return false;
            }
            passedBytes += slice.length;
            this.#pass(slice);
            if (
                this.#latest?.complete &&
                this.#part.kind === "head" &&
                this.state.headSinceMs === undefined
            ) {
                return true;
            }
        }
        return true;
    }

    /** Asks the socket for more; once it has ended and all is passed on, so has this stream. */
    #readOn(): void {
        if (this.#isEnded) {
            // eslint-disable-next-line no-restricted-syntax -- null is the end of a stream in Node's interface.
            this.push(null);
        } else if (!this.#isReading) {
            this.#isReading = true;
            this.#socket.resume();
        }
    }

    #readsLargeBody(): boolean {
        return this.#part.kind === "body" && this.#part.remainingBytes > READ_BYTES;
    }

    /** Takes over what the socket has read; false if it must not read on. */
    #receive(buffer: Buffer, bytes: number): boolean {
        if (this.#isStopped) {
            return true;
        }
        this.#rest = buffer.subarray(0, bytes);
        this.#pump();
        // Pumping may have passed everything on.
        const rest = this.#rest as Buffer | undefined;
        if (rest === undefined) {
            return true;
        }
        this.#rest = Buffer.from(rest);
        this.#isReading = false;
        return false;
    }

    #mayPush(): boolean {
        if (this.#isStopped || this.destroyed || this.readableFlowing !== true || this.readableLength > 0) {
            return false;
        }
        if (!this.hasPending) {
            return false;
        }
        if (!this.#intake.mayPass(this.state)) {
            this.#intake.waitForRoom(this);
            return false;
        }
        return true;
    }

    #takeSlice(): Buffer | undefined {
        const rest = this.#rest;
        if (!rest) {
            return undefined;
        }
        const end = sliceLength(this.#part, rest, this.#scanner);
        this.#rest = end < rest.length ? rest.subarray(end) : undefined;
        return end < rest.length ? rest.subarray(0, end) : rest;
    }

    #pass(slice: Buffer): void {
        const { state } = this;
        state.receivedAtMs = this.#intake.clock.now();
        if (this.#part.kind === "head" && !this.#countHead(slice)) {
            return;
        }
        const before = this.#latest;
        this.push(slice);
        if (this.#latest !== before) {
            this.#beginBody();
        } else if (this.#part.kind === "body") {
            this.#part.remainingBytes -= slice.length;
        } else if (this.#part.kind === "chunked") {
            this.#countFraming(this.#part, slice);
        }
        if (this.#part.kind !== "head" && this.#latest?.complete) {
            if (this.#part.kind === "chunked" && hasNextHead(slice)) {
                // The number of its bytes is not known and not counted.
                state.headSinceMs = state.receivedAtMs;
            }
            this.#part = { kind: "head" };
            state.headBytes = 0;
            this.#scanner.reset();
        }
        this.refresh();
    }

    /** Counts the bytes of a head; false if it is longer than the limit. */
    #countHead(slice: Buffer): boolean {
        const { state } = this;
        if (state.headSinceMs === undefined) {
            state.headSinceMs = state.receivedAtMs;
            state.requestSinceMs = state.receivedAtMs;
        }
        state.headBytes += slice.length;
        this.#latestHeadBytes = state.headBytes;
        if (state.headBytes <= this.#intake.limits.headerBytes) {
            return true;
        }
        this.#onLongHead(this);
        return false;
    }

    #beginBody(): void {
        const { state } = this;
        state.headBytes = 0;
        state.headSinceMs = undefined;
        this.#collectedBytes = 0;
        this.#scanner.reset();
        this.#part = partAfterHead(this.#latest);
    }

    /**
     * Counts chunk extensions and trailers, which are bytes of the head. If nobody collects the body, its bytes are
     * dropped and cannot be told from them; then they are charged up to what the parser keeps, but not refused.
     */
    #countFraming(part: ChunkedPart, slice: Buffer): void {
        const { state } = this;
        part.passedBytes += slice.length;
        const bodyBytes = this.#collectedBytes + (this.#latest?.readableLength ?? 0);
        const { charged, refused } = excessFraming(part, bodyBytes);
        state.headBytes = Math.min(charged, PARSED_HEAD_BYTES);
        if (this.#collectedBytes > 0 && refused > this.#intake.limits.headerBytes) {
            this.#onLongHead(this);
        }
    }

    #update(): void {
        this.refresh();
        this.#intake.update(this.state);
    }
}
