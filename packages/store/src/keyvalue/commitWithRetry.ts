import type { Either } from "purify-ts/Either";
import { Left } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { CommitReply, KeyValueStore, Transaction } from "./keyValueTypes.ts";

/** Pauses between repeats of an unclear transaction: the first and the longest, in milliseconds. */
const FIRST_RETRY_DELAY_MS = 40;
const MAX_RETRY_DELAY_MS = 320;

/** Dependencies and limit of a settled commit. */
export interface CommitRetryOptions {
    clock: Clock;
    /** Time of `clock` after which no further repeat is sent. */
    giveUpAt: number;
}

/**
 * Commits a transaction and repeats it until its fate is known. Every put needs a value of its own that no other
 * writer uses, and an expected revision: an earlier copy that was executed late then makes the repeat conflict
 * with an item that holds this value.
 * A failure with `may-have-run` says that the fate is still unknown.
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

/** A conflict with an item that holds the transaction's own value means that an earlier copy was applied. */
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
