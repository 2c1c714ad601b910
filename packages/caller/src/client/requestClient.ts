import { setTimeout as pause } from "node:timers/promises";
import { nanoid } from "nanoid";
import { Agent, request as send } from "undici";
import { failure, type Failure, type Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { NOT_SENT_CODES } from "@tanagerdeck/runtime/http/notSentCodes";
import { checkResponse, type EntryResponse } from "./responseCheck.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const RETRY_DELAY_MS = 200;
/** Wait for an entry's reply after the deadline, which may still carry the outcome. */
const DEADLINE_GRACE_MS = 1_000;
const TICKET_STATUS = 428;
/** Reasons for which an entry refuses a request before it looks at the id. */
const REASONS_BEFORE_ID_CHECK = new Set<Failure["reason"]>(["no-configuration", "access-denied"]);

/** A request to submit. A missing id is generated; for a non-repeatable kind, the entry's ticket replaces it. */
export interface ClientRequest {
    kind: string;
    id?: string;
    deadlineMs: number;
    body: string;
}

/** Sends requests to entries and repeats them with the same id until the outcome is known or the deadline passes. */
export interface RequestClient {
    submit(request: ClientRequest): Promise<{ id: string; outcome: Outcome }>;
    /** Cancels a request; the verdict is `ran` if the request had already run. */
    cancel(id: string): Promise<Outcome>;
    close(): Promise<void>;
}

/** Addresses of the entries' caller listeners as `ip:port`, and the client account's bearer token. */
export interface RequestClientOptions {
    addresses: string[];
    token: string;
}

/** State of a submission across its repeated sends. */
interface SendState {
    id: string;
    /** True if the id may have been sent before; a refusal then does not rule out that the earlier send ran. */
    mayHaveBeenSent: boolean;
    deadlineAt: number;
    addressIndex: number;
}

/** Creates a client with its own connection pool; `close` ends the connections. */
export function createRequestClient(options: RequestClientOptions): RequestClient {
    const dispatcher = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });

    async function call(
        method: "POST" | "DELETE",
        path: string,
        addressIndex: number,
        body?: object,
        timeoutMs = 5_000,
    ) {
        const address = options.addresses[addressIndex % options.addresses.length];
        const response = await send(`http://${address}${path}`, {
            method,
            dispatcher,
            headers: { authorization: `Bearer ${options.token}` },
            body: body && JSON.stringify(body),
            signal: AbortSignal.timeout(timeoutMs),
        });
        const bytes = Buffer.from(await response.body.arrayBuffer());
        return { status: response.statusCode, headers: response.headers, bytes };
    }

    /** Sends the request once, and again if a ticket is required; undefined if it must be repeated. */
    async function sendOnce(request: ClientRequest, attempt: SendState): Promise<Outcome | undefined> {
        const remainingMs = Math.ceil(attempt.deadlineAt - performance.now());
        const { kind, body } = request;
        const message = {
            kind,
            body,
            id: attempt.id,
            firstSend: !attempt.mayHaveBeenSent,
            deadlineMs: remainingMs,
        };
        let response: EntryResponse;
        try {
            const timeoutMs = remainingMs + DEADLINE_GRACE_MS;
            response = await call("POST", "/v1/requests", attempt.addressIndex, message, timeoutMs);
        } catch (error) {
            attempt.addressIndex++;
            attempt.mayHaveBeenSent ||= !NOT_SENT_CODES.has((error as { code?: string }).code ?? "");
            return undefined;
        }
        if (response.status === TICKET_STATUS) {
            attempt.id = (JSON.parse(response.bytes.toString("utf8")) as { ticket: string }).ticket;
            attempt.mayHaveBeenSent = false;
            return sendOnce(request, attempt);
        }
        const outcome = checkResponse(attempt.id, response);
        const isBeforeIdCheck = outcome?.kind === "failure" && REASONS_BEFORE_ID_CHECK.has(outcome.reason);
        if (outcome && isBeforeIdCheck && attempt.mayHaveBeenSent) {
            return { ...outcome, verdict: "may-have-run" } as Failure;
        }
        attempt.mayHaveBeenSent = true;
        attempt.addressIndex++;
        return outcome;
    }

    return {
        async submit(request) {
            const deadlineAt = performance.now() + request.deadlineMs;
            const hasCallerId = request.id !== undefined;
            const attempt: SendState = {
                id: request.id ?? nanoid(),
                mayHaveBeenSent: hasCallerId,
                deadlineAt,
                addressIndex: 0,
            };
            while (performance.now() < deadlineAt) {
                const outcome = await sendOnce(request, attempt);
                if (outcome) {
                    return { id: attempt.id, outcome };
                }
                await pause(Math.min(RETRY_DELAY_MS, Math.max(0, deadlineAt - performance.now())));
            }
            const verdict = attempt.mayHaveBeenSent ? "may-have-run" : "not-run";
            const outcome = failure(verdict, "deadline-exceeded", "No entry answered before the deadline.");
            return { id: attempt.id, outcome };
        },
        async cancel(id) {
            try {
                const response = await call("DELETE", `/v1/requests/${encodeURIComponent(id)}`, 0);
                const reply = JSON.parse(response.bytes.toString("utf8")) as Partial<Failure>;
                const { verdict = "may-have-run", reason = "cancelled", detail = "" } = reply;
                return failure(verdict, reason, detail);
            } catch (error) {
                return failure("may-have-run", "unreachable", `The entry did not answer: ${String(error)}.`);
            }
        },
        close: () => dispatcher.destroy(),
    };
}
