import type { Dispatcher } from "undici";

/** What trpc's link passes to its transport. */
export interface CallOptions {
    method?: "GET" | "POST";
    headers?: Record<string, string>;
    body?: string;
    signal?: AbortSignal;
}

/** The transport of a trpc link. */
export type LinkFetch = (url: string, options: CallOptions) => Promise<Response>;

/** Bodies up to this size need no extra time. */
const SMALL_BODY_BYTES = 64 * 1024;
/** A quarter of the link between regions, which all traffic shares. */
const SLOW_LINK_BYTES_PER_MS = 625;

/** Sends each call over the dispatcher. undici's `fetch` would cost several megabytes and more processor time. */
export function createPooledFetch(dispatcher: Dispatcher): LinkFetch {
    return async (url, options) => {
        const { statusCode, body } = await dispatcher.request(requestOptions(url, options));
        return jsonResponse(statusCode, () => body.json());
    };
}

/**
 * A transport that fails when no byte of the response arrives for `silentMs`.
 * A large answer on a slow link may take longer in all; a large request body extends the first wait.
 */
export function createIdleTimeoutFetch(dispatcher: Dispatcher, idleTimeoutMs: number): LinkFetch {
    return async (url, options) => {
        const idleAbort = new AbortController();
        const callerSignal = options.signal;
        const signal = callerSignal ? AbortSignal.any([idleAbort.signal, callerSignal]) : idleAbort.signal;
        let timer = startTimer(idleAbort, idleTimeoutMs + uploadAllowanceMs(options.body));
        try {
            const { statusCode, body } = await dispatcher.request({
                ...requestOptions(url, options),
                signal,
            });
            const chunks: Uint8Array[] = [];
            for await (const chunk of body as AsyncIterable<Uint8Array>) {
                clearTimeout(timer);
                timer = startTimer(idleAbort, idleTimeoutMs);
                chunks.push(chunk);
            }
            const text = Buffer.concat(chunks).toString("utf8");
            return jsonResponse(statusCode, async () => JSON.parse(text) as unknown);
        } finally {
            clearTimeout(timer);
        }
    };
}

function requestOptions(url: string, options: CallOptions): Dispatcher.RequestOptions {
    const { origin, pathname, search } = new URL(url);
    return { origin, path: pathname + search, ...options, method: options.method ?? "POST" };
}

/** The part of a response that trpc's link reads. */
function jsonResponse(status: number, json: () => Promise<unknown>): Response {
    return { status, ok: status < 400, json } as Response;
}

function startTimer(idleAbort: AbortController, delayMs: number): NodeJS.Timeout {
    const reason = new Error(`The connection was silent for ${Math.round(delayMs)} ms`);
    return setTimeout(() => idleAbort.abort(reason), delayMs);
}

function uploadAllowanceMs(body: string | undefined): number {
    return Math.max(0, (body?.length ?? 0) - SMALL_BODY_BYTES) / SLOW_LINK_BYTES_PER_MS;
}
