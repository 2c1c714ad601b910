// Transports of the trpc links, built on undici's dispatchers.
import type { Dispatcher } from "undici";
import { requestWithIdleTimeout } from "@tanagerdeck/runtime/http/idleTimeoutRequest";

/** Options that a trpc link passes to its transport. */
export interface CallOptions {
    method?: "GET" | "POST";
    headers?: Record<string, string>;
    body?: string;
    signal?: AbortSignal;
}

/** Transport of a trpc link: sends one HTTP request. */
export type LinkFetch = (url: string, options: CallOptions) => Promise<Response>;

/** Request bodies up to this size get no extra time for the upload. */
const SMALL_BODY_BYTES = 64 * 1024;
/** Assumed upload rate: a quarter of the bandwidth between regions, since all traffic shares that link. */
const SLOW_LINK_BYTES_PER_MS = 625;

/**
 * Builds a transport without an idle timeout. It calls the dispatcher directly, since undici's `fetch` would cost
 * several megabytes and more processor time.
 */
export function createPooledFetch(dispatcher: Dispatcher): LinkFetch {
    return async (url, options) => {
        const { statusCode, body } = await dispatcher.request(requestOptions(url, options));
        return jsonResponse(statusCode, () => body.json());
    };
}

/**
 * Builds a transport whose requests fail when no byte of the response arrives for `idleTimeoutMs`.
 * A large response on a slow link may take longer in total. The first wait is longer for a large request body.
 */
export function createIdleTimeoutFetch(dispatcher: Dispatcher, idleTimeoutMs: number): LinkFetch {
    return async (url, options) => {
        const { status, text } = await requestWithIdleTimeout(dispatcher, requestOptions(url, options), {
            firstByteMs: idleTimeoutMs + uploadAllowanceMs(options.body),
            idleMs: idleTimeoutMs,
            signal: options.signal,
        });
        return jsonResponse(status, async () => JSON.parse(text) as unknown);
    };
}

function requestOptions(url: string, options: CallOptions): Dispatcher.RequestOptions {
    const { origin, pathname, search } = new URL(url);
    return { origin, path: pathname + search, ...options, method: options.method ?? "POST" };
}

/** Builds a response with only the fields that a trpc link reads. */
function jsonResponse(status: number, json: () => Promise<unknown>): Response {
    return { status, ok: status < 400, json } as Response;
}

function uploadAllowanceMs(body: string | undefined): number {
    return Math.max(0, (body?.length ?? 0) - SMALL_BODY_BYTES) / SLOW_LINK_BYTES_PER_MS;
}
