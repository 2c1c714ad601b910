import { createHash } from "node:crypto";
import { Left, Right, type Either } from "purify-ts/Either";
import type { UsageCounter } from "@tanagerdeck/decisions/fleet/reportTypes";
import { bucketForAgent, flushingEntry } from "@tanagerdeck/decisions/usage/usageBuckets";
import {
    foldEnded,
    joinRecords,
    mergeUsage,
    recentUsage,
    usageTableOfReport,
    usageTotals,
    type UsageRecord,
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
 * After this many intervals an entry also flushes a bucket that another entry owns, since an agent may have died
 * after it reported to this entry only. The record is written only if that changes it.
 */
const FLUSHES_LEFT_TO_OWNER = 1;
const WRITE_ATTEMPTS = 3;
const HOUR_MS = 3_600_000;
/** The counters of an incarnation are folded into the totals after this time without reports. */
const FOLD_AFTER_MS = 24 * HOUR_MS;
/**
 * An entry no longer adds an incarnation to a record after this time without reports: added after it was folded, it
 * would count twice. The 12 hours between the two limits allow for differences between the entries' wall clocks.
 */
const RECENT_WINDOW_MS = 12 * HOUR_MS;

/** Usage totals of the environment; `complete` is false if the records on the platform could not be read. */
export interface UsageSummary {
    totals: UsageTotal[];
    complete: boolean;
}

/** Messages of the usage task. */
export type UsageMessage =
    | { kind: "report"; agent: string; incarnation: string; counters: UsageCounter[] }
    | { kind: "entries"; names: string[] }
    | { kind: "flush" }
    | { kind: "flushed"; bucket: number; result: Either<Failure, "stored"> }
    | { kind: "summarize"; reply: Reply<UsageSummary> }
    | { kind: "listed"; result: Either<Failure, UsageRecord>; reply: Reply<UsageSummary> };

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
    /** Counters from recent reports, by bucket. */
    reported: Map<number, UsageTable>;
    /** Buckets with unflushed counters, and how many flushes of each were left to the entry that owns the bucket. */
    unflushed: Map<number, number>;
    entries: string[];
    options: UsageOptions;
}

/** Starts the task that merges the agents' usage counters and flushes them to records on the platform. */
export function startUsageTask(options: UsageOptions): Task<UsageMessage> {
    const task = startTask<State, UsageMessage>({
        name: "usage",
        state: { reported: new Map(), unflushed: new Map(), entries: [options.entry], options },
        handlers,
        clock: options.clock,
        reportError: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
    task.send({ kind: "flush" });
    return task;
}

const handlers: Handlers<State, UsageMessage> = {
    report(state, { agent, incarnation, counters }, context) {
        if (counters.length > 0) {
            const bucket = bucketForAgent(agent, hashText);
            const table = usageTableOfReport(agent, incarnation, counters, context.clock.wall());
            state.reported.set(bucket, mergeUsage(state.reported.get(bucket) ?? {}, table));
            state.unflushed.set(bucket, state.unflushed.get(bucket) ?? 0);
        }
    },
    entries(state, message) {
        state.entries = [state.options.entry, ...message.names];
    },
    flush(state, _message, context) {
        const recentAfter = context.clock.wall() - RECENT_WINDOW_MS;
        for (const [bucket, table] of state.reported) {
            state.reported.set(bucket, recentUsage(table, recentAfter));
        }
        for (const [bucket, skippedFlushes] of state.unflushed) {
            const isOwner = flushingEntry(bucket, state.entries, hashText) === state.options.entry;
            if (isOwner || skippedFlushes >= FLUSHES_LEFT_TO_OWNER) {
                flush(state, bucket, context);
                continue;
            }
            state.unflushed.set(bucket, skippedFlushes + 1);
        }
        context.after(jitteredInterval(FLUSH_INTERVAL_MS, state.options.random), { kind: "flush" });
    },
    flushed(state, { bucket, result }) {
        result.ifLeft(problem => {
            state.unflushed.set(bucket, 0);
            state.options.log.warn("A usage record was not written.", { bucket, detail: problem.detail });
        });
    },
    summarize(state, { reply }, context) {
        context.start(
            () => listUsage(state.options),
            result => ({ kind: "listed", result, reply }),
        );
    },
    listed(state, { result, reply }) {
        const local = [...state.reported.values()].map(live => ({ live, ended: {} }));
        const record = joinRecords([result.orDefault({ live: {}, ended: {} }), ...local]);
        reply({ totals: usageTotals(record), complete: result.isRight() });
    },
};

function flush(state: State, bucket: number, context: TaskContext<UsageMessage>): void {
    const table = state.reported.get(bucket) ?? {};
    state.unflushed.delete(bucket);
    context.start(
        () => writeBucket(state.options, bucket, table),
        result => ({ kind: "flushed", bucket, result }),
    );
}

/** Merges a table into its record by compare-and-swap. The merge is idempotent, so a lost reply does no harm. */
async function writeBucket(
    { store, environment, clock }: UsageOptions,
    bucket: number,
    table: UsageTable,
): Promise<Either<Failure, "stored">> {
    const key = `${usagePrefix(environment)}${String(bucket).padStart(2, "0")}`;
    for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
        const read = await store.get(key);
        if (read.isLeft()) {
            return read;
        }
        const stored = read.unsafeCoerce();
        const now = clock.wall();
        const { live, ended } = stored ? (JSON.parse(stored.value) as UsageRecord) : { live: {}, ended: {} };
        const merged = mergeUsage(live, recentUsage(table, now - RECENT_WINDOW_MS));
        const value = JSON.stringify(foldEnded({ live: merged, ended }, now - FOLD_AFTER_MS));
        if (value === stored?.value) {
            return Right("stored");
        }
        const written = await store.write([{ key, value, expectedVersion: stored?.version ?? 0 }]);
        if (written.isLeft()) {
            return written;
        }
        if (written.extract() === "written") {
            return Right("stored");
        }
    }
    return Left(failure("not-run", "conflict", "Other entries kept changing the record."));
}

async function listUsage({ store, environment }: UsageOptions): Promise<Either<Failure, UsageRecord>> {
    const listed = await store.list(usagePrefix(environment));
    return listed.map(values => joinRecords(values.map(({ value }) => JSON.parse(value) as UsageRecord)));
}

function usagePrefix(environment: string): string {
    return `${environment}/usage/`;
}

function hashText(text: string): number {
    return createHash("sha256").update(text).digest().readUInt32BE(0);
}
