import { createHash } from "node:crypto";
import { Left, Right, type Either } from "purify-ts/Either";
import type { UsageCounter } from "@tanagerdeck/decisions/fleet/reportTypes";
import { bucketOf, flusherOf } from "@tanagerdeck/decisions/usage/usageBuckets";
import {
    mergeUsage,
    tableOfReport,
    usageTotals,
    type UsageTable,
    type UsageTotal,
} from "@tanagerdeck/decisions/usage/usageMerge";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import {
    startTask,
    type Handlers,
    type Reply,
    type Task,
    type TaskContext,
} from "@tanagerdeck/runtime/task/task";
import { jitteredInterval } from "../store/reconnectDelay.ts";
import type { Store } from "../store/storeTypes.ts";

const FLUSH_INTERVAL_MS = 60_000;
/**
 * An entry flushes another's bucket after this many intervals: an agent may have died after it reported to this
 * entry only. The record is written only if it lacks something.
 */
const FLUSHES_LEFT_TO_OTHERS = 1;
const WRITE_ATTEMPTS = 3;

/** Use of the environment. `complete` is false if the platform could not be read. */
export interface UsageSummary {
    totals: UsageTotal[];
    complete: boolean;
}

/** Messages of the usage task. */
export type UsageMessage =
    | { kind: "report"; agent: string; incarnation: string; counters: UsageCounter[] }
    | { kind: "entries"; names: string[] }
    | { kind: "flush" }
    | { kind: "flushed"; bucket: number; result: Either<Failure, UsageTable> }
    | { kind: "summarize"; reply: Reply<UsageSummary> }
    | { kind: "listed"; result: Either<Failure, UsageTable>; reply: Reply<UsageSummary> };

/** Dependencies of the usage task. */
export interface UsageOptions {
    environment: string;
    entry: string;
    store: Store;
    clock: Clock;
    log: Log;
    random: () => number;
}

interface State {
    /** Counters of each bucket, from reports and from the platform. */
    known: Map<number, UsageTable>;
    /** Buckets with counters that this entry has not seen on the platform, and the flushes left to another entry. */
    unflushed: Map<number, number>;
    entries: string[];
    options: UsageOptions;
}

/** Starts the task that merges the agents' usage counters and flushes them to the platform. */
export function startUsageTask(options: UsageOptions): Task<UsageMessage> {
    const task = startTask<State, UsageMessage>({
        name: "usage",
        state: { known: new Map(), unflushed: new Map(), entries: [options.entry], options },
        handlers,
        clock: options.clock,
        report: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
    task.send({ kind: "flush" });
    return task;
}

const handlers: Handlers<State, UsageMessage> = {
    report(state, { agent, incarnation, counters }) {
        if (counters.length > 0) {
            const bucket = bucketOf(agent, textHash);
            merge(state, bucket, tableOfReport(agent, incarnation, counters));
            state.unflushed.set(bucket, state.unflushed.get(bucket) ?? 0);
        }
    },
    entries(state, message) {
        state.entries = [state.options.entry, ...message.names];
    },
    flush(state, _message, context) {
        for (const [bucket, left] of state.unflushed) {
            const own = flusherOf(bucket, state.entries, textHash) === state.options.entry;
            if (own || left >= FLUSHES_LEFT_TO_OTHERS) {
                flush(state, bucket, context);
                continue;
            }
            state.unflushed.set(bucket, left + 1);
        }
        context.after(jitteredInterval(FLUSH_INTERVAL_MS, state.options.random), { kind: "flush" });
    },
    flushed(state, { bucket, result }) {
        result.ifLeft(problem => {
            state.unflushed.set(bucket, 0);
            state.options.log.warn("A usage record was not written.", { bucket, detail: problem.detail });
        });
        result.ifRight(stored => merge(state, bucket, stored));
    },
    summarize(state, { reply }, context) {
        context.start(
            () => listUsage(state.options),
            result => ({ kind: "listed", result, reply }),
        );
    },
    listed(state, { result, reply }) {
        const local = [...state.known.values()].reduce(mergeUsage, {});
        const stored = result.orDefault({});
        reply({ totals: usageTotals(mergeUsage(local, stored)), complete: result.isRight() });
    },
};

function merge(state: State, bucket: number, table: UsageTable): void {
    state.known.set(bucket, mergeUsage(state.known.get(bucket) ?? {}, table));
}

function flush(state: State, bucket: number, context: TaskContext<UsageMessage>): void {
    const table = state.known.get(bucket) ?? {};
    state.unflushed.delete(bucket);
    context.start(
        () => writeBucket(state.options, bucket, table),
        result => ({ kind: "flushed", bucket, result }),
    );
}

/** Merges a table into its record by compare-and-swap. A lost reply is harmless: the merge is idempotent. */
async function writeBucket(
    { store, environment }: UsageOptions,
    bucket: number,
    table: UsageTable,
): Promise<Either<Failure, UsageTable>> {
    const key = `${usagePrefix(environment)}${String(bucket).padStart(2, "0")}`;
    for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
        const read = await store.get(key);
        if (read.isLeft()) {
            return read;
        }
        const stored = read.unsafeCoerce();
        const merged = mergeUsage(stored ? (JSON.parse(stored.value) as UsageTable) : {}, table);
        const value = JSON.stringify(merged);
        if (value === stored?.value) {
            return Right(merged);
        }
        const written = await store.write([{ key, value, expectedVersion: stored?.version ?? 0 }]);
        if (written.isLeft()) {
            return written;
        }
        if (written.extract() === "written") {
            return Right(merged);
        }
    }
    return Left(failure("not-run", "conflict", "Other entries kept changing the record."));
}

async function listUsage({ store, environment }: UsageOptions): Promise<Either<Failure, UsageTable>> {
    const listed = await store.list(usagePrefix(environment));
    return listed.map(values =>
        values.map(({ value }) => JSON.parse(value) as UsageTable).reduce(mergeUsage, {}),
    );
}

function usagePrefix(environment: string): string {
    return `${environment}/usage/`;
}

function textHash(text: string): number {
    return createHash("sha256").update(text).digest().readUInt32BE(0);
}
