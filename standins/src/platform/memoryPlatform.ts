import { Left, Right, type Either } from "purify-ts/Either";
import { failure, type Failure, type Verdict } from "@tanagerdeck/decisions/verdict/verdictTypes";
import {
    decodeValue,
    encodeBase64,
    encodeTransaction,
    prefixRange,
} from "@tanagerdeck/store/store/gatewayCodec";
import type { Store, Write, WriteResult } from "@tanagerdeck/store/store/storeTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import { createKeySpace, type Comparison, type Operation } from "./keySpace.ts";

/**
 * Fault of one client's connection to the platform.
 * - `down`: calls are refused and watches end.
 * - `silent`: calls get no answer.
 * - `slow`: calls are applied and answered just within the client's time limit.
 * - `lose-write-reply`: a write is applied and its reply lost.
 * - `late-write`: a write gets no answer and is applied after the client has given up.
 */
export type ConnectionFault = "none" | "down" | "silent" | "slow" | "lose-write-reply" | "late-write";

/** One client's connection to the platform. */
export interface PlatformConnection {
    store: Store;
    /** Sets the fault of the connection. */
    fault(next: ConnectionFault): void;
    /** Keeps watches open but no longer notifies them of changes. */
    silenceWatches(): void;
}

/** An in-memory platform for tests with a manual clock. */
export interface MemoryPlatform {
    connect(): PlatformConnection;
    leases(): string[];
    expireLease(lease: string): void;
}

const SLOW_REPLY_MS = 1_500;
const TIMEOUT_MS = 2_000;
const LATE_WRITE_DELAY_MS = 3_000;

interface Watcher {
    prefix: string;
    changed: () => void;
    ended: () => void;
    connection: object;
}

/** Builds an empty platform. */
export function createMemoryPlatform(clock: Clock): MemoryPlatform {
    const watchers = new Set<Watcher>();
    const silenced = new Set<object>();
    const keySpace = createKeySpace(clock.now, events => {
        for (const watcher of watchers) {
            const isAffected = events.some(({ kv }) =>
                Buffer.from(kv.key, "base64").toString("utf8").startsWith(watcher.prefix),
            );
            if (isAffected && !silenced.has(watcher.connection)) {
                watcher.changed();
            }
        }
    });
    const wait = (milliseconds: number) =>
        new Promise<void>(resolve => void clock.startTimer(milliseconds, () => resolve()));

    function connect(): PlatformConnection {
        const connection = {};
        let fault: ConnectionFault = "none";

        async function call<T>(apply: () => T, writes: boolean): Promise<Either<Failure, T>> {
            if (fault === "down") {
                return Left(unavailable("not-run"));
            }
            if (fault === "silent") {
                await wait(TIMEOUT_MS);
                return Left(unavailable("may-have-run"));
            }
            if (fault === "slow") {
                await wait(SLOW_REPLY_MS);
            }
            if (fault === "late-write" && writes) {
                clock.startTimer(LATE_WRITE_DELAY_MS, () => void tryApply(apply));
                await wait(TIMEOUT_MS);
                return Left(unavailable("may-have-run"));
            }
            const result = tryApply(apply);
            return fault === "lose-write-reply" && writes ? Left(unavailable("may-have-run")) : result;
        }

        function tryApply<T>(apply: () => T): Either<Failure, T> {
            keySpace.expireLeases();
            try {
                return Right(apply());
            } catch {
                return Left(unavailable("not-run"));
            }
        }

        const store: Store = {
            get: key => call(() => keySpace.range(encodeBase64(key)).map(decodeValue)[0], false),
            list(prefix) {
                const { key, range_end: end } = prefixRange(prefix);
                return call(() => keySpace.range(key, end).map(decodeValue), false);
            },
            write: writes => call(() => transact(writes), true),
            grantLease: seconds => call(() => keySpace.grant(seconds), false),
            renewLease: lease => call(() => keySpace.keepAlive(lease) > 0, false),
            revokeLease: lease => call(() => keySpace.revoke(lease), false),
            watch(prefix, changed, ended) {
                const watcher: Watcher = { prefix, changed, ended, connection };
                if (fault === "down" || fault === "silent") {
                    queueMicrotask(ended);
                    return () => undefined;
                }
                watchers.add(watcher);
                queueMicrotask(changed);
                return () => watchers.delete(watcher);
            },
            close: async () => undefined,
        };

        function transact(writes: Write[]): WriteResult {
            const { compare, success } = encodeTransaction(writes) as {
                compare: Comparison[];
                success: Operation[];
            };
            return keySpace.transact(compare, success, []) ? "written" : "conflict";
        }

        return {
            store,
            fault(next) {
                fault = next;
                for (const watcher of watchers) {
                    if (next === "down" && watcher.connection === connection) {
                        watchers.delete(watcher);
                        watcher.ended();
                    }
                }
            },
            silenceWatches: () => void silenced.add(connection),
        };
    }

    return {
        connect,
        leases: () => keySpace.leases(),
        expireLease: lease => void keySpace.revoke(lease),
    };
}

function unavailable(verdict: Verdict): Failure {
    return failure(verdict, "platform-unavailable", "The platform's service failed.");
}
