import type { ServerResponse } from "node:http";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { bearerToken, matchesDigest, tokenDigest } from "@tanagerdeck/runtime/access/token";
import { sendJson, startListener, type Listener } from "@tanagerdeck/runtime/http/listener";
import { findRoute, type Routes } from "@tanagerdeck/runtime/http/routes";

/** Dependencies of the operator listener. */
export interface OperatorListenerOptions {
    address: string;
    token: string;
    routes: Routes<undefined>;
}

/** Starts the HTTP listener for operators; every call needs the operator token. */
export function startOperatorListener(options: OperatorListenerOptions): Promise<Listener> {
    const digest = tokenDigest(options.token);
    return startListener(options.address, (request, response) => {
        if (!matchesDigest(bearerToken(request) ?? "", digest)) {
            sendFailure(response, 401, failure("not-run", "access-denied", "The operator token is wrong."));
            return;
        }
        const found = findRoute(options.routes, request);
        if (!found) {
            sendFailure(response, 404, failure("not-run", "not-found", "There is no such resource."));
            return;
        }
        const call = { context: undefined, segments: found.segments, request, response };
        found.route(call).catch(() => request.socket.destroy());
    });
}

function sendFailure(response: ServerResponse, status: number, problem: Failure): void {
    sendJson(response, status, problem, { "x-verdict": problem.verdict });
}
