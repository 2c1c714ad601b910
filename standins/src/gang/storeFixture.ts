import { Left, Right, type Either } from "purify-ts/Either";
import type { Store, StoredValue } from "@tanagerdeck/store/store/storeTypes";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";

/** Behaviour of the store. With `lose-write-reply`, writes are applied but their calls fail. */
export type StoreMode = "normal" | "down" | "lose-write-reply";

/** An in-memory stand-in for the platform's key-value service, on a shared clock. */
export interface StoreFixture {
    mode: StoreMode;
    store: Store;
    values: Map<string, StoredValue>;
}

const LATENCY_MS = 2;
const FAILURE_MS = 500;

/** Builds an empty store. */
export function createStoreFixture(clock: Clock): StoreFixture {
    const values = new Map<string, StoredValue>();
    let revision = 0;
    const noAnswer = failure("may-have-run", "platform-unavailable", "The service did not answer.");

    function delayed<T>(delayMs: number, value: () => T): Promise<T> {
        return new Promise(resolve => clock.startTimer(delayMs, () => resolve(value())));
    }

    function answer<T>(value: () => T): Promise<Either<Failure, T>> {
        if (fixture.mode === "down") {
            return delayed(FAILURE_MS, () => Left(noAnswer));
        }
        return delayed(LATENCY_MS, () => Right(value()));
    }

    const store: Store = {
        get: key => answer(() => values.get(key)),
        list: prefix => answer(() => [...values.values()].filter(value => value.key.startsWith(prefix))),
        async write(writes) {
            const losesReply = fixture.mode === "lose-write-reply";
            const result = await answer(() => {
                for (const { key, expectedVersion } of writes) {
                    const version = values.get(key)?.version ?? 0;
                    if (expectedVersion !== undefined && expectedVersion !== version) {
                        return "conflict" as const;
                    }
                }
                for (const { key, value } of writes) {
                    revision++;
                    if (value === undefined) {
                        values.delete(key);
                    } else {
                        values.set(key, { key, value, version: revision });
                    }
                }
                return "written" as const;
            });
            return losesReply ? delayed(FAILURE_MS, () => Left(noAnswer)) : result;
        },
        grantLease: () => answer(() => "1"),
        renewLease: () => answer(() => true),
        revokeLease: () => answer(() => true),
        watch: () => () => undefined,
        close: async () => undefined,
    };
    const fixture: StoreFixture = { mode: "normal", store, values };
    return fixture;
}
