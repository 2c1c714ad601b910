import type { IncomingMessage, ServerResponse } from "node:http";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import { failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { bearerToken, matchesDigest } from "@tanagerdeck/runtime/access/token";
import { startListener, type Listener } from "@tanagerdeck/runtime/http/listener";
import { findRoute, type Routes } from "@tanagerdeck/runtime/http/routes";
import { sendFailure } from "./outcomeResponse.ts";

/** The authenticated caller of one call. */
export interface CallerContext {
    clientAccount: string;
    configuration: Configuration;
}

/** Dependencies of the caller listener. */
export interface CallerListenerOptions {
    address: string;
    configuration: () => Promise<Configuration | undefined>;
    routes: Routes<CallerContext>;
}

/** Serves callers over HTTP: authenticates each call and passes it to its route. */
export function startCallerListener(options: CallerListenerOptions): Promise<Listener> {
    return startListener(options.address, (request, response) => {
        serve(options, request, response).catch(() => request.socket.destroy());
    });
}

async function serve(
    options: CallerListenerOptions,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const found = findRoute(options.routes, request);
    if (!found) {
        sendFailure(response, failure("not-run", "not-found", "There is no such resource."));
        return;
    }
    const configuration = await options.configuration();
    if (!configuration) {
        sendFailure(response, failure("not-run", "no-configuration", "No configuration is known yet."));
        return;
    }
    const clientAccount = authenticate(configuration, bearerToken(request));
    if (!clientAccount) {
        sendFailure(response, failure("not-run", "access-denied", "The bearer token is not known."));
        return;
    }
    const context = { clientAccount, configuration };
    await found.route({ context, segments: found.segments, request, response });
}

/** The client account of a token; all digests are compared, so that the time tells nothing. */
function authenticate(configuration: Configuration, token: string | undefined): string | undefined {
    if (token === undefined) {
        return undefined;
    }
    let found: string | undefined;
    for (const account of configuration.document.clientAccounts) {
        for (const digest of account.tokenDigests) {
            if (matchesDigest(token, digest)) {
                found = account.name;
            }
        }
    }
    return found;
}
