import { failure } from "../verdict/verdictTypes.ts";
import type { RequestLedger, LedgerRecord } from "./requestLedgerTypes.ts";

/** Time for which the body of a delivered answer is kept, since the reply that carried it can be lost. */
export const DELIVERY_GRACE_MS = 30_000;

/** Removes finished records that have expired. */
export function sweepLedger(ledger: RequestLedger): void {
    for (const record of ledger.records.values()) {
        if (record.state === "done" && record.expiresAt <= ledger.now) {
            forget(ledger, record);
        }
    }
}

/**
 * Frees memory when the ledger is at its limits: releases the bodies of delivered answers, oldest first, and removes
 * up to a tenth of the records, those that expire first. Unfinished records and undelivered answers are kept.
 */
export function evictRecords(ledger: RequestLedger): void {
    const { bytes, records } = ledger.limits;
    for (const record of ledger.records.values()) {
        if (ledger.retainedBytes <= bytes) {
            break;
        }
        releaseBody(ledger, record);
    }
    if (ledger.records.size < records) {
        return;
    }
    const finished = [...ledger.records.values()].filter(isForgettable);
    finished.sort((a, b) => a.expiresAt - b.expiresAt);
    for (const record of finished.slice(0, Math.ceil(records / 10))) {
        forget(ledger, record);
        if (!record.repeatable) {
            ledger.closedUpTo = Math.max(ledger.closedUpTo, record.expiresAt);
        }
    }
}

function isForgettable(record: LedgerRecord): boolean {
    const delivered = record.deliveredAt !== undefined;
    return record.state === "done" && (delivered || record.outcome?.kind === "failure");
}

function releaseBody(ledger: RequestLedger, record: LedgerRecord): void {
    const { deliveredAt, outcome } = record;
    if (outcome?.kind !== "answer" || deliveredAt === undefined) {
        return;
    }
    if (deliveredAt + DELIVERY_GRACE_MS > ledger.now) {
        return;
    }
    ledger.retainedBytes -= bodyBytes(record);
    record.outcome = failure("ran", "answer-released", "The request ran; its answer was delivered before.");
}

function forget(ledger: RequestLedger, record: LedgerRecord): void {
    ledger.retainedBytes -= bodyBytes(record);
    ledger.records.delete(record.key);
}

/** Size of the answer body that a record retains, in bytes. */
export function bodyBytes(record: LedgerRecord): number {
    return record.outcome?.kind === "answer" ? record.outcome.answer.length : 0;
}
