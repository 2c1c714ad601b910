import type { IncomingMessage } from "node:http";
import type { HeadScanner } from "./headScanner.ts";

/** Bytes that are passed to the parser at once while more requests may be behind them. */
const SLICE_BYTES = 1_024;
/** Framing of each body byte that is not charged: chunks of one byte with a size of several digits. */
const FRAMING_FACTOR = 12;
/** Framing of each body byte that is not refused: chunks of one byte with an extension, which the parser drops. */
const EXTENSION_FACTOR = 256;
const MESSAGE_END = Buffer.from("\r\n\r\n", "latin1");

/** What the next bytes of a connection belong to. */
export type MessagePart = { kind: "head" } | { kind: "body"; remainingBytes: number } | ChunkedPart;

/** A body in chunks, with the bytes of it that were passed on, framing included. */
export interface ChunkedPart {
    kind: "chunked";
    passedBytes: number;
}

/** What follows the head of a request; the next head if the request has no body, or there was none yet. */
export function partAfterHead(request: IncomingMessage | undefined): MessagePart {
    if (!request || request.complete) {
        return { kind: "head" };
    }
    if (request.headers["transfer-encoding"] !== undefined) {
        return { kind: "chunked", passedBytes: 0 };
    }
    return { kind: "body", remainingBytes: Number(request.headers["content-length"] ?? 0) };
}

/** Number of the received bytes that the parser may be given at once. */
export function sliceLength(part: MessagePart, received: Buffer, scanner: HeadScanner): number {
    const length = Math.min(received.length, SLICE_BYTES);
    if (part.kind === "head") {
        return scanner.headLength(received.subarray(0, length));
    }
    return part.kind === "body" ? Math.min(received.length, part.remainingBytes) : length;
}

/**
 * Bytes of chunk sizes, chunk extensions and trailers beyond those that a body of `bodyBytes` may have: `charged` counts
 * as bytes of a head that the parser may keep, `refused` must not exceed the limit of heads.
 */
export function excessFraming(
    { passedBytes }: ChunkedPart,
    bodyBytes: number,
): { charged: number; refused: number } {
    return {
        charged: Math.max(0, passedBytes - bodyBytes * (1 + FRAMING_FACTOR)),
        refused: Math.max(0, passedBytes - bodyBytes * (1 + EXTENSION_FACTOR)),
    };
}

/** Whether a slice with the end of a body in chunks has bytes of the next head as well. */
export function hasNextHead(slice: Buffer): boolean {
    return slice.length >= MESSAGE_END.length && !slice.subarray(-MESSAGE_END.length).equals(MESSAGE_END);
}
