import { type Dispatcher, fetch as undiciFetch } from "undici";

/** The fetch function that a trpc link uses. */
export type LinkFetch = (url: URL | string | Request, options?: RequestInit) => Promise<Response>;

/** Bodies up to this size need no extra time. */
const SMALL_BODY_BYTES = 64 * 1024;
/** A quarter of the link between regions, which all traffic shares. */
const SLOW_LINK_BYTES_PER_MS = 625;

/**
 * A fetch that fails when no byte of the response arrives for `silentMs`.
 * A large answer on a slow link may take longer in all; a large request body extends the first wait.
 */
export function createWatchedFetch(dispatcher: Dispatcher, silentMs: number): LinkFetch {
    return async (url, options) => {
        const silence = new AbortController();
        const outer = options?.signal;
        const signal = outer ? AbortSignal.any([silence.signal, outer]) : silence.signal;
        let timer = startTimer(silence, silentMs + extraMs(options?.body));
        try {
            const response = await undiciFetch(url as string, { ...(options as object), signal, dispatcher });
            const chunks: Uint8Array[] = [];
            for await (const chunk of response.body ?? []) {
                clearTimeout(timer);
                timer = startTimer(silence, silentMs);
                chunks.push(chunk as Uint8Array);
            }
            const { status, statusText } = response;
            const headers = [...response.headers];
            return new Response(Buffer.concat(chunks), { status, statusText, headers });
        } finally {
            clearTimeout(timer);
        }
    };
}

function startTimer(silence: AbortController, delayMs: number): NodeJS.Timeout {
    const reason = new Error(`The connection was silent for ${Math.round(delayMs)} ms`);
    return setTimeout(() => silence.abort(reason), delayMs);
}

function extraMs(body: unknown): number {
    const bytes = typeof body === "string" ? body.length : 0;
    return Math.max(0, bytes - SMALL_BODY_BYTES) / SLOW_LINK_BYTES_PER_MS;
}
