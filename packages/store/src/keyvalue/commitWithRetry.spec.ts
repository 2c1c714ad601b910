import { expect } from "chai";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { createMemoryStore, type MemoryStore } from "@tanagerdeck/standins/keyvalue/memoryStore";
import type { Transaction } from "./keyValueTypes.ts";
import { commitWithRetry } from "./commitWithRetry.ts";

describe("a commit with retries", () => {
    const transaction: Transaction = {
        expected: [{ key: "a", revision: 0 }],
        puts: [{ key: "a", value: "mine" }],
        removes: [],
    };
    let clock: ManualClock;
    let store: MemoryStore;

    beforeEach(() => {
        clock = createManualClock();
        store = createMemoryStore(clock);
    });

    async function commit(limitMs: number, during?: (step: number) => void) {
        let isDone = false;
        const result = commitWithRetry(store, transaction, { clock, giveUpAt: clock.now() + limitMs });
        void result.finally(() => (isDone = true));
        for (let step = 0; step < 200 && !isDone; step++) {
            during?.(step);
            await clock.advance(25);
        }
        return result;
    }

    describe("whose reply is lost", () => {
        it("recognizes its own value, so that the retry is not reported as a conflict", async () => {
            store.faults.mode = "lose-reply";
            const result = await commit(5_000, step => {
                store.faults.mode = step > 2 ? "none" : "lose-reply";
            });
            expect(result.extract()).to.include({ kind: "committed" });
            expect(store.item("a")?.value).to.equal("mine");
        });

        it("reports a conflict if another writer has changed the key", async () => {
            store.write("a", "other");
            const result = await commit(1_000);
            expect(result.extract()).to.deep.include({ kind: "conflict" });
        });
    });

    describe("that is executed late", () => {
        it("is applied once despite the retries", async () => {
            store.faults.mode = "late";
            store.faults.lateMs = 500;
            const result = await commit(5_000, step => {
                store.faults.mode = step > 4 ? "none" : "late";
            });
            expect(result.extract()).to.include({ kind: "committed" });
            const revision = store.revision();
            await clock.advance(2_000);
            expect(store.revision()).to.equal(revision);
        });
    });

    describe("whose outcome is unknown at the time limit", () => {
        it("reports may-have-run if any attempt got no reply", async () => {
            store.faults.mode = "silent";
            const result = await commit(500, step => {
                store.faults.mode = step > 4 ? "refuse" : "silent";
            });
            expect(result.swap().unsafeCoerce().verdict).to.equal("may-have-run");
        });

        it("reports not-run if every attempt was refused", async () => {
            store.faults.mode = "refuse";
            expect((await commit(500)).swap().unsafeCoerce().verdict).to.equal("not-run");
        });
    });
});
