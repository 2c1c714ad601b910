import { STATUS_CODES } from "node:http";
import type { IntakeStream } from "./intakeStream.ts";

/** Answers a connection whose bytes the parser refused, and closes it. */
export function answerError(stream: IntakeStream, error: NodeJS.ErrnoException): void {
    if (!stream.writable || error.code === "ECONNRESET") {
        stream.destroy();
        return;
    }
    refuse(stream, statusOf(error.code));
}

/** Answers a connection with a head that is longer than the limit, and closes it. */
export function refuseLongHead(stream: IntakeStream): void {
    stream.intake.noteClosed("head-size");
    refuse(stream, 431);
}

/**
 * Sends an error answer after the answers to the whole requests before it: it would otherwise be taken for the answer
 * to one of them, which may have been carried out.
 */
function refuse(stream: IntakeStream, status: number): void {
    stream.stopReading();
    const whole = stream.openRequests.find(({ request }) => request.complete);
    if (whole) {
        whole.response.once("close", () => refuse(stream, status));
        return;
    }
    const hasBegun = stream.openRequests.some(({ response }) => response.headersSent);
    if (!stream.writable || hasBegun) {
        stream.destroy();
        return;
    }
    stream.endWith(
        `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
    );
}

function statusOf(code: string | undefined): number {
    if (code === "HPE_HEADER_OVERFLOW") {
        return 431;
    }
    return code === "HPE_CHUNK_EXTENSIONS_OVERFLOW" ? 413 : 400;
}
