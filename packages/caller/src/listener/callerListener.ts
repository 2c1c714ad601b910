import type { IncomingMessage, ServerResponse } from "node:http";
import { Left, Right, type Either } from "purify-ts/Either";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { bearerToken, digestMatcher } from "@tanagerdeck/runtime/access/token";
import { startListener, type Listener } from "@tanagerdeck/runtime/http/listener";
import { findRoute, type Routes } from "@tanagerdeck/runtime/http/routes";
import type { Metrics } from "@tanagerdeck/runtime/metrics/metricsTypes";
import { sendFailure } from "./outcomeResponse.ts";

/** Authenticated client account of a call, and the configuration that the call uses. */
export interface CallerContext {
    clientAccount: string;
    configuration: Configuration;
}

/** Dependencies of the caller listener. */
export interface CallerListenerOptions {
    address: string;
    /** Last known configuration, confirmed or not; undefined if there is none. */
    configuration: () => Promise<Configuration | undefined>;
    /** Returns the configuration for new work, or the reason why new work is refused. */
    admit: () => Promise<Either<Failure, Configuration>>;
    routes: Routes<CallerContext>;
    metrics: Metrics;
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
    const match = findRoute(options.routes, request);
    if (!match) {
        refuse(options, response, failure("not-run", "not-found", "There is no such resource."));
        return;
    }
    const admitted = request.method === "POST" ? await options.admit() : await currentConfiguration(options);
    if (admitted.isLeft()) {
        refuse(options, response, admitted.extract());
        return;
    }
    const configuration = admitted.unsafeCoerce();
    const clientAccount = authenticate(configuration, bearerToken(request));
    if (!clientAccount) {
        refuse(options, response, failure("not-run", "access-denied", "The bearer token is not known."));
        return;
    }
    const context = { clientAccount, configuration };
    await match.route({ context, segments: match.segments, request, response });
}

/** Returns the last known configuration, confirmed or not, which status calls and cancellations may use. */
async function currentConfiguration(options: CallerListenerOptions): Promise<Either<Failure, Configuration>> {
    const configuration = await options.configuration();
    const unknown = failure("not-run", "no-configuration", "No configuration is known yet.");
    return configuration ? Right(configuration) : Left(unknown);
}

function refuse(options: CallerListenerOptions, response: ServerResponse, problem: Failure): void {
    options.metrics.refused(problem.reason);
    sendFailure(response, problem);
}

/** Returns the client account of a token. Compares all digests, so that the response time reveals no match. */
function authenticate(configuration: Configuration, token: string | undefined): string | undefined {
    if (token === undefined) {
        return undefined;
    }
    const matches = digestMatcher(token);
    let found: string | undefined;
    for (const account of configuration.document.clientAccounts) {
        for (const digest of account.tokenDigests) {
            if (matches(digest)) {
                found = account.name;
            }
        }
    }
    return found;
}
