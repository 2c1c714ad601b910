import type { Either } from "purify-ts/Either";
import { Left } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { CommitReply, KeyValueStore, Transaction } from "./keyValueTypes.ts";

/** Delays between retries of a failed transaction double from the first one to the maximum. */
const FIRST_RETRY_DELAY_MS = 40;
const MAX_RETRY_DELAY_MS = 320;

/** Clock and time limit of `commitWithRetry`. */
export interface CommitRetryOptions {
    clock: Clock;
    /** Time of `clock` from which no further retry is sent. */
    giveUpAt: number;
}

/**
 * Commits a transaction and retries it until its outcome is known. Every put needs an expected revision and a value
 * that no other writer uses: if an earlier attempt is executed late, the retry conflicts with an item that holds
 * this value, and the commit counts as successful.
 * A failure with the verdict `may-have-run` means that the outcome is still unknown.
 */
export async function commitWithRetry(
    store: KeyValueStore,
    transaction: Transaction,
    { clock, giveUpAt }: CommitRetryOptions,
): Promise<Either<Failure, CommitReply>> {
    let mayHaveRun = false;
    let retryDelayMs = FIRST_RETRY_DELAY_MS;
    for (;;) {
        const reply = await store.commit(transaction);
        if (reply.isRight()) {
            return reply.map(result => recognizeOwnWrite(transaction, result));
        }
        const problem = reply.extract() as Failure;
        mayHaveRun ||= problem.verdict !== "not-run";
        if (clock.now() + retryDelayMs >= giveUpAt) {
            return Left(mayHaveRun ? { ...problem, verdict: "may-have-run" } : problem);
        }
        await pause(clock, retryDelayMs);
        retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
    }
}

/** Turns a conflict with the transaction's own value into `committed`, since an earlier attempt was applied. */
function recognizeOwnWrite(transaction: Transaction, reply: CommitReply): CommitReply {
    if (reply.kind !== "conflict") {
        return reply;
    }
    for (const put of transaction.puts) {
        const item = reply.items.find(candidate => candidate.key === put.key);
        if (item?.value === put.value) {
            return { kind: "committed", revision: item.revision };
        }
    }
    return reply;
}

function pause(clock: Clock, delayMs: number): Promise<void> {
    return new Promise(resolve => clock.startTimer(delayMs, resolve));
}
