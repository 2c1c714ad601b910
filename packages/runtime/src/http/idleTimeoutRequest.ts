import type { Dispatcher } from "undici";
import type { TimerStop } from "../clock/clock.ts";
import { startReplyTimer } from "./replyTimer.ts";

/** Time limits of a request whose reply may be large. */
export interface ProgressLimits {
    /** Time until the reply begins. */
    firstByteMs: number;
    /** Time between two parts of the reply. */
    idleMs: number;
    /** Ends the request whatever its progress. */
    signal?: AbortSignal | undefined;
    /** Called when the reply begins, with 0, and for each part of it, with the bytes received so far. */
    onProgress?: (receivedBytes: number) => void;
}

/** Status and text of a reply. */
export interface TextReply {
    status: number;
    text: string;
}

/**
 * Sends a request and reads its whole reply. Rejects when the reply makes no progress for the time of `limits`; a large
 * reply on a slow link may take longer in total.
 */
export async function requestWithIdleTimeout(
    dispatcher: Dispatcher,
    options: Dispatcher.RequestOptions,
    { firstByteMs, idleMs, signal, onProgress }: ProgressLimits,
): Promise<TextReply> {
    const idleAbort = new AbortController();
    let stopTimer = startTimer(idleAbort, firstByteMs);
    const restartTimer = () => {
        stopTimer();
        stopTimer = startTimer(idleAbort, idleMs);
    };
    try {
        const { statusCode, body } = await dispatcher.request({
            ...options,
            signal: signal ? AbortSignal.any([idleAbort.signal, signal]) : idleAbort.signal,
        });
        const chunks: Uint8Array[] = [];
        let receivedBytes = 0;
        restartTimer();
        onProgress?.(receivedBytes);
        for await (const chunk of body as AsyncIterable<Uint8Array>) {
            restartTimer();
            chunks.push(chunk);
            receivedBytes += chunk.length;
            onProgress?.(receivedBytes);
        }
        return { status: statusCode, text: Buffer.concat(chunks).toString("utf8") };
    } finally {
        stopTimer();
    }
}

function startTimer(idleAbort: AbortController, delayMs: number): TimerStop {
    const reason = new Error(`The connection was silent for ${Math.round(delayMs)} ms`);
    return startReplyTimer(delayMs, () => idleAbort.abort(reason));
}
