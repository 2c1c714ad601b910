import type { Outcome } from "../verdict/verdictTypes.ts";
import type { Priority } from "../document/documentTypes.ts";

/** A request as an entry sends it to an agent. */
export interface Request {
    id: string;
    clientAccount: string;
    kind: string;
    priority: Priority;
    repeatable: boolean;
    /** Milliseconds left until the caller's deadline when the request was sent. */
    remainingMs: number;
    body: string;
    /** W3C trace context of the span that sends the request; undefined if the trace is not recorded. */
    traceparent?: string | undefined;
}

/** An agent's reply to a long poll; by `id` the entry detects a reply that belongs to another request. */
export type Progress = { kind: "pending" } | { kind: "done"; id: string; outcome: Outcome };

/**
 * Id of a request that runs at most once. It names the only agent incarnation that may run the request.
 * `expiresAt` is milliseconds on the agent's ledger clock: the wall clock at its start plus monotonic time,
 * so a wall clock that is set back does not reopen an expired ticket.
 */
export interface Ticket {
    agent: string;
    incarnation: string;
    random: string;
    expiresAt: number;
}

const TICKET_SEPARATOR = "~";

/** Formats a ticket as a request id. */
export function formatTicket(ticket: Ticket): string {
    return [ticket.agent, ticket.incarnation, ticket.random, String(ticket.expiresAt)].join(TICKET_SEPARATOR);
}

/** Reads a ticket from a request id; undefined if the id is not a ticket. */
export function parseTicket(id: string): Ticket | undefined {
    const parts = id.split(TICKET_SEPARATOR);
    const [agent, incarnation, random, expiry] = parts;
    const expiresAt = Number(expiry);
    if (parts.length !== 4 || !agent || !incarnation || !random || !Number.isSafeInteger(expiresAt)) {
        return undefined;
    }
    return { agent, incarnation, random, expiresAt };
}
