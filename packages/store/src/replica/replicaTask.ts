import type { Either } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import { startTask, type Reply, type Task, type TaskContext } from "@tanagerdeck/runtime/task/task";
import type { Change, Item, KeyValueStore, WatchReply } from "../keyvalue/keyValueTypes.ts";
import { listAll, type Listing } from "../keyvalue/listing.ts";
import { confirmedAfterMs } from "../keyvalue/watchConfirmation.ts";

/** Messages of the replica task. */
export type ReplicaMessage =
    | { kind: "list" }
    /** `calledAtMs` is the monotonic time at which the call was sent. */
    | { kind: "listed"; result: Either<Failure, Listing>; calledAtMs: number }
    | { kind: "watch" }
    | { kind: "watched"; result: Either<Failure, WatchReply>; calledAtMs: number }
    /** An item that this process wrote or read itself, outside the watch. */
    | { kind: "learned"; item: Item }
    /** What the store holds under the key of a learned item that the watch should have delivered. */
    | { kind: "learned-read"; result: Either<Failure, Item | undefined> }
    | { kind: "get"; key: string; reply: Reply<Item | undefined> }
    | { kind: "snapshot"; reply: Reply<Item[]> };

/** Dependencies of the replica task. */
export interface ReplicaOptions {
    store: KeyValueStore;
    /** Prefix of the keys that are replicated. */
    prefix: string;
    clock: Clock;
    log: Log;
    /** Called for each change; the changes of one key arrive in the order of their revisions. */
    onChange: (change: Change) => void;
    /** Called once after the first complete listing. */
    onLoaded: () => void;
    /** Called when a reply brings the copy up to date with the store, with the monotonic time as of which it is. */
    onConfirmed: (atMs: number) => void;
}

interface ReplicaState {
    items: Map<string, Item>;
    /** Revision up to which the watch has delivered all changes. */
    revision: number;
    isLoaded: boolean;
    isWatchFailing: boolean;
}

/** Duration of one long poll. It is short so that a watch on a dead connection is replaced soon. */
const WATCH_WAIT_MS = 900;
/**
 * Pause after a reply with changes, in which further changes collect for the next one. Every entry watches all jobs, so a
 * call for each change would cost the store and the entries a number of calls that grows with their product.
 */
const WATCH_PAUSE_MS = 150;
const RETRY_MS = 250;

/** Starts the task that keeps a local copy of all items below a prefix by listing and then watching the store. */
export function startReplicaTask(options: ReplicaOptions): Task<ReplicaMessage> {
    const { store, prefix, clock, log, onChange, onLoaded, onConfirmed } = options;

    function apply(state: ReplicaState, change: Change): void {
        const existing = state.items.get(change.key);
        if (existing && existing.revision >= change.revision) {
            return;
        }
        if (change.value === undefined) {
            if (!existing) {
                return;
            }
            state.items.delete(change.key);
        } else {
            const { key, revision, value } = change;
            state.items.set(key, { key, revision, value });
        }
        onChange(change);
    }

    function applyListing(state: ReplicaState, listing: Listing): void {
        const listed = new Set(listing.items.map(item => item.key));
        for (const existing of [...state.items.values()]) {
            if (!listed.has(existing.key) && existing.revision <= listing.revision) {
                apply(state, { key: existing.key, revision: listing.revision, value: undefined });
            }
        }
        for (const item of listing.items) {
            apply(state, item);
        }
        state.revision = Math.max(state.revision, listing.revision);
    }

    function watch(state: ReplicaState, context: TaskContext<ReplicaMessage>): void {
        const calledAtMs = clock.now();
        context.start(
            () => store.watch(prefix, state.revision, WATCH_WAIT_MS),
            result => ({ kind: "watched", result, calledAtMs }),
        );
    }

    function noteFailure(state: ReplicaState, problem: Failure): void {
        if (!state.isWatchFailing) {
            state.isWatchFailing = true;
            log.warn("The store cannot be watched.", { detail: problem.detail, revision: state.revision });
        }
    }

    function noteSuccess(state: ReplicaState): void {
        if (state.isWatchFailing) {
            state.isWatchFailing = false;
            log.info("The store is watched again.", { revision: state.revision });
        }
    }

    const task = startTask<ReplicaState, ReplicaMessage>({
        name: "replica",
        clock,
        reportError: (name, error) => log.error("A handler failed.", { task: name, error: String(error) }),
        state: { items: new Map(), revision: 0, isLoaded: false, isWatchFailing: false },
        handlers: {
            list(_state, _message, context) {
                const calledAtMs = clock.now();
                context.start(
                    () => listAll(store, prefix),
                    result => ({ kind: "listed", result, calledAtMs }),
                );
            },
            listed(state, { result, calledAtMs }, context) {
                result.caseOf({
                    Left(problem) {
                        noteFailure(state, problem);
                        context.after(RETRY_MS, { kind: "list" });
                    },
                    Right(listing) {
                        noteSuccess(state);
                        applyListing(state, listing);
                        onConfirmed(calledAtMs);
                        if (!state.isLoaded) {
                            state.isLoaded = true;
                            onLoaded();
                        }
                        watch(state, context);
                    },
                });
            },
            watch: (state, _message, context) => watch(state, context),
            watched(state, { result, calledAtMs }, context) {
                result.caseOf({
                    Left(problem) {
                        noteFailure(state, problem);
                        context.after(RETRY_MS, { kind: "watch" });
                    },
                    Right(reply) {
                        if (reply.kind === "compacted") {
                            log.info("The store has dropped its history; listing again.", {
                                revision: state.revision,
                            });
                            context.post({ kind: "list" });
                            return;
                        }
                        noteSuccess(state);
                        for (const change of reply.changes) {
                            apply(state, change);
                        }
                        state.revision = Math.max(state.revision, reply.revision);
                        onConfirmed(
                            calledAtMs +
                                confirmedAfterMs({
                                    elapsedMs: clock.now() - calledAtMs,
                                    waitMs: WATCH_WAIT_MS,
                                    changes: reply.changes,
                                }),
                        );
                        const pauseMs = WATCH_PAUSE_MS - (clock.now() - calledAtMs);
                        if (reply.changes.length > 0 && pauseMs > 0) {
                            context.after(pauseMs, { kind: "watch" });
                            return;
                        }
                        watch(state, context);
                    },
                });
            },
            learned(state, { item }, context) {
                if (item.revision > state.revision || state.items.has(item.key)) {
                    apply(state, item);
                    return;
                }
                // Either it has been removed since, or the watch has passed it without delivering it.
                context.start(
                    () => store.get(item.key),
                    result => ({ kind: "learned-read", result }),
                );
            },
            "learned-read"(state, { result }) {
                const item = result.toMaybe().extract();
                if (item && item.revision <= state.revision && !state.items.has(item.key)) {
                    log.warn("The watch has not delivered a stored item.", {
                        key: item.key,
                        itemRevision: item.revision,
                        revision: state.revision,
                    });
                    apply(state, item);
                }
            },
            get: (state, { key, reply }) => reply(state.items.get(key)),
            snapshot: (state, { reply }) => reply([...state.items.values()]),
        },
    });
    task.send({ kind: "list" });
    return task;
}
