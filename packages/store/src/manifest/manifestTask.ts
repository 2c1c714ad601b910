import type { Either } from "purify-ts/Either";
import type { Manifest } from "@tanagerdeck/decisions/manifest/manifestTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import { startTask, type Reply, type Task, type TaskContext } from "@tanagerdeck/runtime/task/task";
import type { Item, KeyValueStore, Page, WatchReply } from "../keyvalue/keyValueTypes.ts";

/** Messages of the manifest task. */
export type ManifestMessage =
    | { kind: "read" }
    | { kind: "read-done"; result: Either<Failure, Page> }
    | { kind: "watched"; result: Either<Failure, WatchReply> }
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
}

interface ManifestState {
    manifest: Manifest | undefined;
    /** Revision from which the watch continues. */
    revision: number;
}

/** Duration of one long poll. It bounds how long a dead watch goes unnoticed; changes must take effect in 2.5 s. */
const WATCH_WAIT_MS = 1_000;
const RETRY_MS = 150;

/** Starts the task that follows the manifest in the store; an older revision never replaces a newer one. */
export function startManifestTask(options: ManifestOptions): Task<ManifestMessage> {
    const { store, key, decode, clock, log, onApplied } = options;

    function apply(state: ManifestState, item: Item): void {
        state.revision = Math.max(state.revision, item.revision);
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
                });
                onApplied(manifest);
            },
        });
    }

    function read(context: TaskContext<ManifestMessage>): void {
        context.start(
            () => store.page(key, undefined, false),
            result => ({ kind: "read-done", result }),
        );
    }

    function watch(state: ManifestState, context: TaskContext<ManifestMessage>): void {
        context.start(
            () => store.watch(key, state.revision, WATCH_WAIT_MS),
            result => ({ kind: "watched", result }),
        );
    }

    const task = startTask<ManifestState, ManifestMessage>({
        name: "manifest",
        clock,
        reportError: (name, error) => log.error("A handler failed.", { task: name, error: String(error) }),
        state: { manifest: undefined, revision: 0 },
        handlers: {
            read: (_state, _message, context) => read(context),
            "read-done"(state, { result }, context) {
                const page = result.toMaybe().extract();
                const item = page?.items.find(candidate => candidate.key === key);
                if (!page || !item) {
                    context.after(RETRY_MS, { kind: "read" });
                    return;
                }
                apply(state, item);
                state.revision = Math.max(state.revision, page.revision);
                watch(state, context);
            },
            watched(state, { result }, context) {
                const reply = result.toMaybe().extract();
                if (reply?.kind !== "changes") {
                    context.after(reply ? 0 : RETRY_MS, { kind: "read" });
                    return;
                }
                for (const { key: changedKey, revision, value } of reply.changes) {
                    if (changedKey === key && value !== undefined) {
                        apply(state, { key, revision, value });
                    }
                }
                state.revision = Math.max(state.revision, reply.revision);
                watch(state, context);
            },
            get: (state, { reply }) => reply(state.manifest),
        },
    });
    task.send({ kind: "read" });
    return task;
}
