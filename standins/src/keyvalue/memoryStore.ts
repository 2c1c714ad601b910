import { Left, Right, type Either } from "purify-ts/Either";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type {
    Change,
    CommitReply,
    Item,
    KeyValueStore,
    Page,
    Transaction,
    WatchReply,
} from "@tanagerdeck/store/keyvalue/keyValueTypes";

/**
 * How the store treats calls while the fault is set.
 * - `refuse`: calls have no effect and fail as not run.
 * - `lose-reply`: writes are applied, but no call is answered.
 * - `late`: writes are applied after `lateMs` if their condition still holds then; no call is answered.
 * - `silent`: calls have no effect and are not answered.
 */
export type StoreFault = "none" | "refuse" | "lose-reply" | "late" | "silent";

/** An in-memory key-value store that can show the faults of the platform's store. */
export interface MemoryStore extends KeyValueStore {
    /** `pausesLeases`: no lease expires while it is set. `commitDelayMs`: time until a transaction is executed. */
    faults: { mode: StoreFault; lateMs: number; pausesLeases: boolean; commitDelayMs: number };
    /** Drops the history, so that watches from an earlier revision answer `compacted`. */
    compact(): void;
    /** Writes an item as another client would; returns the new revision. */
    write(key: string, value: string): number;
    /** Removes an item as another client would; returns the new revision. */
    remove(key: string): number;
    item(key: string): Item | undefined;
    revision(): number;
    /** Number of calls by kind. */
    calls: Map<string, number>;
}

interface Lease {
    ttlMs: number;
    endsAt: number;
}

/** Builds an empty store; leases run on the given clock. */
export function createMemoryStore(clock: Clock): MemoryStore {
    const items = new Map<string, Item & { lease: number }>();
    const leases = new Map<number, Lease>();
    const history: Change[] = [];
    const watchers = new Set<() => void>();
    const calls = new Map<string, number>();
    const faults: MemoryStore["faults"] = {
        mode: "none",
        lateMs: 3_000,
        pausesLeases: false,
        commitDelayMs: 0,
    };
    let revision = 1;
    let compactedRevision = 0;
    let nextLease = 100;

    function countCall(kind: string): void {
        calls.set(kind, (calls.get(kind) ?? 0) + 1);
    }

    function applyChange(key: string, value: string | undefined, lease: number): void {
        if (value === undefined) {
            items.delete(key);
        } else {
            items.set(key, { key, value, revision, lease });
        }
        history.push({ key, value, revision });
    }

    function notify(): void {
        for (const watcher of [...watchers]) {
            watcher();
        }
    }

    function endExpiredLeases(): void {
        if (faults.pausesLeases) {
            return;
        }
        for (const [id, lease] of leases) {
            if (clock.now() >= lease.endsAt) {
                endLease(id);
            }
        }
    }

    function endLease(id: number): void {
        if (!leases.delete(id)) {
            return;
        }
        const attachedItems = [...items.values()].filter(item => item.lease === id);
        if (attachedItems.length === 0) {
            return;
        }
        revision += 1;
        for (const { key } of attachedItems) {
            applyChange(key, undefined, 0);
        }
        notify();
    }

    function apply({ expected, puts, removes }: Transaction): CommitReply {
        endExpiredLeases();
        for (const { lease } of puts) {
            if (lease !== undefined && !leases.has(lease)) {
                return { kind: "lease-ended" };
            }
        }
        const isConditionMet = expected.every(
            expectation => (items.get(expectation.key)?.revision ?? 0) === expectation.revision,
        );
        if (!isConditionMet) {
            const found = expected.flatMap(expectation => items.get(expectation.key) ?? []);
            return {
                kind: "conflict",
                items: found.map(({ key, value, revision: at }) => ({ key, value, revision: at })),
            };
        }
        revision += 1;
        for (const { key, value, lease } of puts) {
            applyChange(key, value, lease ?? 0);
        }
        for (const key of removes) {
            if (items.has(key)) {
                applyChange(key, undefined, 0);
            }
        }
        notify();
        return { kind: "committed", revision };
    }

    /** Executes a call, subject to the current fault, after one turn of the event loop, as with a remote store. */
    async function call<T>(kind: string, isWrite: boolean, execute: () => T): Promise<Either<Failure, T>> {
        countCall(kind);
        await new Promise<void>(resolve => setImmediate(resolve));
        if (kind === "commit" && faults.commitDelayMs > 0) {
            await new Promise<void>(resolve => clock.startTimer(faults.commitDelayMs, resolve));
        }
        if (faults.mode === "refuse") {
            return Left(failure("not-run", "platform-unavailable", "The store refuses calls."));
        }
        if (faults.mode === "late" && isWrite) {
            clock.startTimer(faults.lateMs, () => execute());
        }
        if (faults.mode === "lose-reply" && isWrite) {
            execute();
        }
        if (faults.mode !== "none") {
            return Left(failure("may-have-run", "platform-unavailable", "The store does not answer."));
        }
        return Right(execute());
    }

    return {
        faults,
        calls,
        compact() {
            compactedRevision = revision;
            notify();
        },
        write(key, value) {
            apply({ expected: [], puts: [{ key, value }], removes: [] });
            return revision;
        },
        remove(key) {
            apply({ expected: [], puts: [], removes: [key] });
            return revision;
        },
        item: key => items.get(key),
        revision: () => revision,
        get: key =>
            call("get", false, () => {
                endExpiredLeases();
                return items.get(key);
            }),
        page: (prefix, after) =>
            call("page", false, (): Page => {
                endExpiredLeases();
                const found = [...items.values()].filter(
                    item => item.key.startsWith(prefix) && (after === undefined || item.key > after),
                );
                found.sort((left, right) => (left.key < right.key ? -1 : 1));
                return { items: found, hasMore: false, revision };
            }),
        async watch(prefix, after, waitMs) {
            countCall("watch");
            const read = (): WatchReply | undefined => {
                endExpiredLeases();
                if (after < compactedRevision) {
                    return { kind: "compacted" };
                }
                const changes = history.filter(
                    change => change.revision > after && change.key.startsWith(prefix),
                );
                return changes.length > 0 ? { kind: "changes", changes, revision } : undefined;
            };
            return new Promise<Either<Failure, WatchReply>>(resolve => {
                const settle = (reply: WatchReply | undefined): void => {
                    if (faults.mode !== "none") {
                        finish(Left(failure("may-have-run", "platform-unavailable", "The watch was cut.")));
                    } else if (reply) {
                        finish(Right(reply));
                    }
                };
                const onChange = () => settle(read());
                const stopTimer = clock.startTimer(waitMs, () =>
                    settle(read() ?? { kind: "changes", changes: [], revision }),
                );
                function finish(result: Either<Failure, WatchReply>): void {
                    watchers.delete(onChange);
                    stopTimer();
                    resolve(result);
                }
                watchers.add(onChange);
                onChange();
            });
        },
        commit: transaction => call("commit", true, () => apply(transaction)),
        grantLease: ttlMs =>
            call("grant", true, () => {
                const id = nextLease++;
                leases.set(id, { ttlMs, endsAt: clock.now() + ttlMs });
                clock.startTimer(ttlMs, endExpiredLeases);
                return id;
            }),
        renewLease: id =>
            call("keep", true, () => {
                endExpiredLeases();
                const lease = leases.get(id);
                if (!lease) {
                    return "ended";
                }
                lease.endsAt = clock.now() + lease.ttlMs;
                clock.startTimer(lease.ttlMs, endExpiredLeases);
                return "kept";
            }),
        revokeLease: id => call("end", true, () => endLease(id)),
    };
}
