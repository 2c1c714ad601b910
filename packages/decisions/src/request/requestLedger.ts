import { failure, type Failure, type Outcome } from "../verdict/verdictTypes.ts";
import { bodyBytes, DELIVERY_GRACE_MS, evictRecords } from "./requestLedgerMemory.ts";
import type { RequestLedger, LedgerRecord, LedgerReference, SendAttempt } from "./requestLedgerTypes.ts";
import { parseTicket, type Request, type Ticket } from "./requestTypes.ts";

/** Longest time between the issue and the expiry of a ticket. */
export const TICKET_LIFETIME_CAP_MS = 3_600_000;
/** Time for which the result of a repeatable id is kept and returned to repeated submits. */
const REPEATABLE_RETENTION_MS = 600_000;
/** Time for which a send attempt of a repeatable id that did not run is refused. */
const REPEATABLE_TOMBSTONE_MS = 60_000;
const MAX_KEPT_ATTEMPTS = 16;

/** Result of looking up or admitting an id. */
export type LedgerDecision =
    | { kind: "new"; record: LedgerRecord }
    | { kind: "known"; record: LedgerRecord }
    | { kind: "refused"; failure: Failure };

/** Advances the ledger's clock to `now`; it never goes back. */
export function advanceLedger(ledger: RequestLedger, now: number): void {
    ledger.now = Math.max(ledger.now, now);
    ledger.closedUpTo = Math.max(ledger.closedUpTo, now);
}

/** Admits a submitted request: a new id gets a record, a known id is answered from its record. */
export function admitRequest(
    ledger: RequestLedger,
    request: Request,
    send: SendAttempt,
    bodyDigest: string,
): LedgerDecision {
    const known = ledger.records.get(ledgerKey(request));
    if (known && !mayRunAgain(known, send)) {
        return matchRecord(known, request.clientAccount, bodyDigest);
    }
    const ticket = parseTicket(request.id);
    if (!request.repeatable && !ticket) {
        return refused("not-run", "ticket-required", "The id of this kind must be a ticket.");
    }
    const problem = ticket ? ticketProblem(ledger, ticket) : incarnationProblem(ledger, send, "not-run");
    if (problem) {
        return { kind: "refused", failure: problem };
    }
    evictRecords(ledger);
    if (ledger.retainedBytes > ledger.limits.bytes || ledger.records.size >= ledger.limits.records) {
        return refused("not-run", "limit-exceeded", "The agent retains too many answers.");
    }
    const record = addRecord(ledger, request, ticket, bodyDigest);
    record.attempts = [...(known?.attempts ?? []), send.attempt].slice(-MAX_KEPT_ATTEMPTS);
    return { kind: "new", record };
}

/**
 * Looks up an id to settle or cancel it. If its submit has not arrived, the id gets a tombstone with the outcome
 * `closing`, so that a delayed submit does not run.
 */
export function closeRequest(
    ledger: RequestLedger,
    reference: LedgerReference,
    closing: Failure,
): LedgerDecision {
    const known = findRecord(ledger, reference);
    if (known) {
        recordClosedAttempt(known, reference);
        return known;
    }
    const ticket = parseTicket(reference.id);
    const problem = ticket
        ? ticketProblem(ledger, ticket)
        : incarnationProblem(ledger, reference, "may-have-run");
    if (problem) {
        return { kind: "refused", failure: problem };
    }
    const record = addRecord(ledger, { ...reference, repeatable: !ticket }, ticket, undefined);
    record.attempts = [reference.attempt];
    finishRecord(ledger, record, closing);
    return { kind: "known", record };
}

/** Looks up an id whose request was accepted. */
export function findRequest(ledger: RequestLedger, reference: LedgerReference): LedgerDecision {
    return (
        findRecord(ledger, reference) ??
        refused("may-have-run", "not-found", "The request is not known to this incarnation.")
    );
}

/** Records the outcome of a request; only the first outcome counts. */
export function finishRecord(ledger: RequestLedger, record: LedgerRecord, outcome: Outcome): void {
    if (record.state === "done") {
        return;
    }
    record.state = "done";
    record.outcome = outcome;
    if (record.repeatable) {
        const retention = outcome.verdict === "not-run" ? REPEATABLE_TOMBSTONE_MS : REPEATABLE_RETENTION_MS;
        record.expiresAt = ledger.now + retention;
    }
    record.expiresAt = Math.max(record.expiresAt, ledger.now + DELIVERY_GRACE_MS);
    ledger.retainedBytes += bodyBytes(record);
}

/** Returns the outcome of a finished record and marks it as delivered. */
export function deliverRecord(ledger: RequestLedger, record: LedgerRecord): Outcome | undefined {
    if (record.outcome) {
        record.deliveredAt ??= ledger.now;
    }
    return record.outcome;
}

/**
 * Tickets are unique across client accounts, so a ticket that another account uses finds the same record and is
 * refused as a conflict. Other ids are separate for each account.
 */
function ledgerKey(reference: { id: string; clientAccount: string }): string {
    return parseTicket(reference.id) ? reference.id : `${reference.clientAccount}/${reference.id}`;
}

function findRecord(ledger: RequestLedger, reference: LedgerReference): LedgerDecision | undefined {
    const record = ledger.records.get(ledgerKey(reference));
    if (!record) {
        return undefined;
    }
    return matchRecord(record, reference.clientAccount, undefined);
}

/** A repeatable id that did not run may run in a new send attempt, but not in a delayed copy of an earlier one. */
function mayRunAgain(record: LedgerRecord, send: SendAttempt): boolean {
    const notRun = record.outcome?.verdict === "not-run";
    return record.repeatable && notRun && !record.attempts.includes(send.attempt);
}

/** Adds a send attempt to the attempts that a known record answers, so that a delayed copy of it is refused. */
function recordClosedAttempt(known: LedgerDecision, send: SendAttempt): void {
    if (known.kind === "known" && !known.record.attempts.includes(send.attempt)) {
        known.record.attempts = [...known.record.attempts, send.attempt].slice(-MAX_KEPT_ATTEMPTS);
    }
}

function matchRecord(
    record: LedgerRecord,
    clientAccount: string,
    bodyDigest: string | undefined,
): LedgerDecision {
    const otherBody =
        bodyDigest !== undefined && record.bodyDigest !== undefined && record.bodyDigest !== bodyDigest;
    if (record.clientAccount !== clientAccount || otherBody) {
        return refused("not-run", "conflict", "The id belongs to another request.");
    }
    return { kind: "known", record };
}

function ticketProblem(ledger: RequestLedger, ticket: Ticket): Failure | undefined {
    if (ticket.incarnation !== ledger.incarnation) {
        return failure("may-have-run", "incarnation-gone", "The agent of the ticket has restarted.");
    }
    if (ticket.expiresAt <= ledger.closedUpTo) {
        return failure("may-have-run", "ticket-expired", "The ticket has expired.");
    }
    if (ticket.expiresAt > ledger.now + TICKET_LIFETIME_CAP_MS) {
        return failure("not-run", "invalid", "The ticket expires later than allowed.");
    }
    return undefined;
}

function incarnationProblem(
    ledger: RequestLedger,
    send: SendAttempt,
    verdict: Failure["verdict"],
): Failure | undefined {
    if (send.incarnation === ledger.incarnation) {
        return undefined;
    }
    return failure(verdict, "incarnation-gone", "The agent has restarted.");
}

function addRecord(
    ledger: RequestLedger,
    request: { id: string; clientAccount: string; repeatable: boolean },
    ticket: Ticket | undefined,
    bodyDigest: string | undefined,
): LedgerRecord {
    const { id, clientAccount } = request;
    const key = ledgerKey(request);
    const expiresAt = ticket?.expiresAt ?? ledger.now + REPEATABLE_RETENTION_MS;
    const record: LedgerRecord = {
        key,
        id,
        clientAccount,
        bodyDigest,
        state: "waiting",
        outcome: undefined,
        repeatable: !ticket,
        attempts: [],
        expiresAt,
        deliveredAt: undefined,
    };
    ledger.records.set(key, record);
    return record;
}

function refused(
    verdict: Failure["verdict"],
    reason: Failure["reason"],
    detail: string,
): { kind: "refused"; failure: Failure } {
    return { kind: "refused", failure: failure(verdict, reason, detail) };
}
