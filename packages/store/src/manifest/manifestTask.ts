import type { Either } from "purify-ts/Either";
import type { Manifest } from "@tanagerdeck/decisions/manifest/manifestTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import { instantNow, type Instant } from "@tanagerdeck/runtime/clock/instant";
import type { Log } from "@tanagerdeck/runtime/log/log";
import { startTask, type Reply, type Task, type TaskContext } from "@tanagerdeck/runtime/task/task";
import type { Change, Item, KeyValueStore, WatchReply } from "../keyvalue/keyValueTypes.ts";
import { listAll, type Listing } from "../keyvalue/listing.ts";
import { confirmedAfterMs } from "../keyvalue/watchConfirmation.ts";
import { createEvacuationFollower, type EvacuationOptions } from "./evacuationFollower.ts";
import { createFeatureNotice } from "./featureNotice.ts";

/** Messages of the manifest task. */
export type ManifestMessage =
    | { kind: "read" }
    /** `sentAt`: time at which the call was sent. */
    | { kind: "read-done"; result: Either<Failure, Listing>; sentAt: Instant }
    | { kind: "watched"; result: Either<Failure, WatchReply>; sentAt: Instant }
    | { kind: "get"; reply: Reply<Manifest | undefined> };

/** Dependencies of the manifest task. */
export interface ManifestOptions {
    store: KeyValueStore;
    /** Key under which the operators write the manifest. */
    key: string;
    /** Decodes the operators' text; a failure describes the problem. */
    decode: (item: Item) => Either<string, Manifest>;
    clock: Clock;
    log: Log;
    /** Called with each manifest that takes effect. */
    onApplied: (manifest: Manifest) => void;
    /** Called when a reply shows that the manifest in effect is the newest in the store. */
    onConfirmed: () => void;
    /** Has the same calls cover all operators' keys. Absent where the deployment does not use evacuations. */
    evacuation?: EvacuationOptions | undefined;
}

interface ManifestState {
    manifest: Manifest | undefined;
    /** Revision from which the watch continues. */
    revision: number;
    /** Time at which a reply last showed that the manifest is the newest. */
    confirmedAtMs: number;
    /** Whether the latest call failed, so that the manifest may be outdated. */
    isFailing: boolean;
}

/** Duration of one long poll. It bounds how long a dead watch goes unnoticed; changes must take effect in 2.5 s. */
const WATCH_WAIT_MS = 1_000;
const RETRY_MS = 150;

/** Starts the task that follows the manifest in the store; an older revision never replaces a newer one. */
export function startManifestTask(options: ManifestOptions): Task<ManifestMessage> {
    const { store, key, decode, clock, log, onApplied, onConfirmed, evacuation } = options;
    const follower = evacuation && createEvacuationFollower(evacuation, log);
    const prefix = evacuation?.prefix ?? key;
    const noteFeatures = createFeatureNotice(log);

    function apply(state: ManifestState, item: Item): void {
        if (state.manifest && item.revision <= state.manifest.revision) {
            return;
        }
        decode(item).caseOf({
            Left: problem =>
                log.error("The manifest is invalid; the previous one stays in effect.", {
                    revision: item.revision,
                    problem,
                }),
            Right(manifest) {
                state.manifest = manifest;
                log.info("A manifest was applied.", {
                    version: manifest.version,
                    revision: manifest.revision,
                    queues: manifest.queues.length,
                    bytes: Buffer.byteLength(item.value),
                    confirmedAgoMs: Math.round(clock.now() - state.confirmedAtMs),
                });
                onApplied(manifest);
            },
        });
    }

    function noteFailure(state: ManifestState, detail: string): void {
        if (!state.isFailing) {
            state.isFailing = true;
            log.warn("The manifest cannot be followed.", { detail, revision: state.revision });
        }
    }

    function noteSuccess(state: ManifestState): void {
        if (state.isFailing) {
            state.isFailing = false;
            const confirmedAgoMs = Math.round(clock.now() - state.confirmedAtMs);
            log.info("The manifest is followed again.", { revision: state.revision, confirmedAgoMs });
        }
        state.confirmedAtMs = clock.now();
        onConfirmed();
    }

    function confirmedByWatch(sentAt: Instant, changes: Change[]): Instant {
        const elapsedMs = clock.now() - sentAt.now;
        const afterMs = confirmedAfterMs({ elapsedMs, waitMs: WATCH_WAIT_MS, changes });
        return { now: sentAt.now + afterMs, wall: sentAt.wall + afterMs };
    }

    function noteUnsupported({ manifest }: ManifestState): void {
        noteFeatures([...(manifest?.unsupported ?? []), ...(follower?.unsupported() ?? [])]);
    }

    function read(context: TaskContext<ManifestMessage>): void {
        const sentAt = instantNow(clock);
        context.start<Either<Failure, Listing>>(
            () => (follower ? listAll(store, prefix) : store.page(key, undefined, false)),
            result => ({ kind: "read-done", result, sentAt }),
        );
    }

    function watch(state: ManifestState, context: TaskContext<ManifestMessage>): void {
        const sentAt = instantNow(clock);
        context.start(
            () => store.watch(prefix, state.revision, WATCH_WAIT_MS),
            result => ({ kind: "watched", result, sentAt }),
        );
    }

    const task = startTask<ManifestState, ManifestMessage>({
        name: "manifest",
        clock,
        reportError: (name, error) => log.error("A handler failed.", { task: name, error: String(error) }),
        state: { manifest: undefined, revision: 0, confirmedAtMs: clock.now(), isFailing: false },
        handlers: {
            read: (_state, _message, context) => read(context),
            "read-done"(state, { result, sentAt }, context) {
                result.caseOf({
                    Left({ detail }) {
                        noteFailure(state, detail);
                        context.after(RETRY_MS, { kind: "read" });
                    },
                    Right(listing) {
                        follower?.listed(listing, sentAt);
                        const item = listing.items.find(candidate => candidate.key === key);
                        if (!item) {
                            noteUnsupported(state);
                            noteFailure(state, "no manifest is stored");
                            context.after(RETRY_MS, { kind: "read" });
                            return;
                        }
                        apply(state, item);
                        noteUnsupported(state);
                        noteSuccess(state);
                        state.revision = Math.max(state.revision, listing.revision);
                        watch(state, context);
                    },
                });
            },
            watched(state, { result, sentAt }, context) {
                result.caseOf({
                    Left({ detail }) {
                        noteFailure(state, detail);
                        context.after(RETRY_MS, { kind: "read" });
                    },
                    Right(reply) {
                        if (reply.kind === "compacted") {
                            context.post({ kind: "read" });
                            return;
                        }
                        follower?.changed(reply, confirmedByWatch(sentAt, reply.changes));
                        for (const { key: changedKey, revision, value } of reply.changes) {
                            if (changedKey === key && value !== undefined) {
                                apply(state, { key, revision, value });
                            }
                        }
                        noteUnsupported(state);
                        noteSuccess(state);
                        state.revision = Math.max(state.revision, reply.revision);
                        watch(state, context);
                    },
                });
            },
            get: (state, { reply }) => reply(state.manifest),
        },
    });
    task.send({ kind: "read" });
    return task;
}
