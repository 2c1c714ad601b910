import { readBody, sendJson, startListener, type Listener } from "@tanagerdeck/runtime/http/listener";
import { findRoute, parseJson, type Routes } from "@tanagerdeck/runtime/http/routes";

const BODY_LIMIT_BYTES = 64 * 1024;

/** Control operations by method and path; each takes the parsed body and returns the reply. */
export type ControlOperations = Record<string, (body: unknown) => unknown>;

/** Serves the control address of a stand-in program. */
export function startControlListener(address: string, operations: ControlOperations): Promise<Listener> {
    const routes: Routes<undefined> = {};
    for (const [name, operate] of Object.entries(operations)) {
        routes[name] = async ({ request, response }) => {
            sendJson(response, 200, operate(parseJson(await readBody(request, BODY_LIMIT_BYTES))) ?? {});
        };
    }
    return startListener(address, (request, response) => {
        const found = findRoute(routes, request);
        if (!found) {
            sendJson(response, 404, {});
            return;
        }
        const call = { context: undefined, segments: found.segments, request, response };
        found.route(call).catch(() => request.socket.destroy());
    });
}
