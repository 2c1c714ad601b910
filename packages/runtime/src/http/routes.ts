import type { IncomingMessage, ServerResponse } from "node:http";
import { sendJson } from "./listener.ts";

/** One HTTP call. `segments` are the decoded parts of the path after the route's fixed prefix. */
export interface RouteCall<C> {
    context: C;
    segments: string[];
    request: IncomingMessage;
    response: ServerResponse;
}

/** Handles the calls of one route; it must end the response. */
export type Route<C> = (call: RouteCall<C>) => Promise<void>;

/** Routes by method and path prefix, such as `"POST /v1/requests"`. */
export type Routes<C> = Record<string, Route<C>>;

/** Finds the route with the longest matching prefix and the path's remaining segments; undefined if there is none. */
export function findRoute<C>(
    routes: Routes<C>,
    request: IncomingMessage,
): { route: Route<C>; segments: string[] } | undefined {
    const path = (request.url ?? "").split("?")[0] ?? "";
    const parts = path.split("/");
    for (let length = parts.length; length > 1; length--) {
        const route = routes[`${request.method} ${parts.slice(0, length).join("/")}`];
        if (route) {
            const segments = decodeSegments(parts.slice(length));
            return segments && { route, segments };
        }
    }
    return undefined;
}

/** Decodes path segments; undefined if one is malformed, since an uncaught exception would end the process. */
function decodeSegments(parts: string[]): string[] | undefined {
    try {
        return parts.map(decodeURIComponent);
    } catch {
        return undefined;
    }
}

/** Parses JSON; undefined if the text is missing or not JSON. */
export function parseJson(text: string | undefined): unknown {
    try {
        return JSON.parse(text ?? "");
    } catch {
        return undefined;
    }
}

/** Sends a response with status 200 and a JSON body. */
export function sendOk(response: ServerResponse, value: unknown): void {
    sendJson(response, 200, value);
}
