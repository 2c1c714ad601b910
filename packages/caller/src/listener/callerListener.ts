import type { IncomingMessage, ServerResponse } from "node:http";
import { nanoid } from "nanoid";
import { z } from "zod";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import {
    failure,
    type Failure,
    type Outcome,
    type Verdict,
} from "@tanagerdeck/decisions/verdict/verdictTypes";
import { bearerToken, matchesDigest } from "@tanagerdeck/runtime/access/token";
import { readBody, sendJson, startListener, type Listener } from "@tanagerdeck/runtime/http/listener";
import type { CallerRequest } from "../routing/routingTask.ts";

const BODY_LIMIT_BYTES = 4 * 1024 * 1024;
const MAX_DEADLINE_MS = 24 * 3_600_000;

const requestSchema = z.strictObject({
    kind: z.string().min(1),
    id: z.string().min(1).max(200).optional(),
    deadlineMs: z.number().int().positive().max(MAX_DEADLINE_MS),
    body: z.string(),
});

const STATUS_BY_VERDICT: Record<Verdict, number> = { "not-run": 503, ran: 502, "may-have-run": 504 };

/** Dependencies of the caller listener. */
export interface CallerListenerOptions {
    address: string;
    configuration: () => Promise<Configuration | undefined>;
    submit: (request: CallerRequest) => Promise<Outcome>;
}

/** Serves callers over HTTP. */
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
    if (request.method !== "POST" || request.url !== "/v1/requests") {
        sendFailure(response, 404, failure("not-run", "not-found", "There is no such resource."));
        return;
    }
    const configuration = await options.configuration();
    if (!configuration) {
        sendFailure(response, 503, failure("not-run", "no-configuration", "No configuration is known yet."));
        return;
    }
    const clientAccount = authenticate(configuration, bearerToken(request));
    if (!clientAccount) {
        sendFailure(response, 401, failure("not-run", "access-denied", "The bearer token is not known."));
        return;
    }
    const text = await readBody(request, BODY_LIMIT_BYTES);
    const parsed = requestSchema.safeParse(parseJson(text));
    if (!parsed.success) {
        sendFailure(response, 400, failure("not-run", "invalid", z.prettifyError(parsed.error)));
        return;
    }
    const { id, ...rest } = parsed.data;
    const outcome = await options.submit({ ...rest, clientAccount, id: id ?? nanoid() });
    sendOutcome(response, outcome);
}

function authenticate(configuration: Configuration, token: string | undefined): string | undefined {
    if (token === undefined) {
        return undefined;
    }
    for (const account of configuration.document.clientAccounts) {
        for (const digest of account.tokenDigests) {
            if (matchesDigest(token, digest)) {
                return account.name;
            }
        }
    }
    return undefined;
}

function parseJson(text: string | undefined): unknown {
    try {
        return JSON.parse(text ?? "");
    } catch {
        return undefined;
    }
}

function sendOutcome(response: ServerResponse, outcome: Outcome): void {
    if (outcome.kind === "failure") {
        sendFailure(response, STATUS_BY_VERDICT[outcome.verdict], outcome);
        return;
    }
    const { body, digest } = outcome.answer;
    const bytes = Buffer.from(body, "utf8");
    response.writeHead(200, {
        "content-type": "application/json",
        "content-length": String(bytes.length),
        "content-digest": `sha-256=:${digest}:`,
        "x-verdict": outcome.verdict,
    });
    response.end(bytes);
}

function sendFailure(response: ServerResponse, status: number, problem: Failure): void {
    sendJson(response, status, problem, { "x-verdict": problem.verdict });
}
