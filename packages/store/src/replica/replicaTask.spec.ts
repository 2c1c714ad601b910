import { expect } from "chai";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import type { Task } from "@tanagerdeck/runtime/task/task";
import { createMemoryStore, type MemoryStore } from "@tanagerdeck/standins/keyvalue/memoryStore";
import type { Change } from "../keyvalue/keyValueTypes.ts";
import { startReplicaTask, type ReplicaMessage } from "./replicaTask.ts";

describe("the replica of the store", () => {
    let clock: ManualClock;
    let store: MemoryStore;
    let replica: Task<ReplicaMessage>;
    let changes: Change[];
    let loadCount: number;
    let confirmedAt: number;
    let watchCalls: number;

    beforeEach(async () => {
        clock = createManualClock();
        store = createMemoryStore(clock);
        changes = [];
        loadCount = 0;
        watchCalls = 0;
        store.write("x/a", "1");
        replica = startReplicaTask({
            store: {
                ...store,
                watch: (...call) => {
                    watchCalls += 1;
                    return store.watch(...call);
                },
            },
            prefix: "x/",
            clock,
            log: noopLog,
            onChange: change => changes.push(change),
            onLoaded: () => loadCount++,
            onConfirmed: atMs => (confirmedAt = atMs),
        });
        await clock.advance(50);
    });

    afterEach(() => replica.stop());

    function values(): (string | undefined)[] {
        return changes.map(change => change.value);
    }

    it("reports the existing items once", () => {
        expect(values()).to.deep.equal(["1"]);
        expect(loadCount).to.equal(1);
    });

    it("reports only changes below its prefix", async () => {
        store.write("y/a", "1");
        store.write("x/a", "2");
        await clock.advance(50);
        expect(values()).to.deep.equal(["1", "2"]);
    });

    describe("when many items change in a short time", () => {
        it("collects the changes, so that the calls do not grow with them, and delivers each within 200 ms", async () => {
            let longestMs = 0;
            watchCalls = 0;
            for (let number = 2; number < 102; number++) {
                store.write("x/a", String(number));
                const writtenAt = clock.now();
                while (!values().includes(String(number)) && clock.now() - writtenAt < 500) {
                    await clock.advance(10);
                }
                longestMs = Math.max(longestMs, clock.now() - writtenAt);
                store.write("x/b", String(number));
                await clock.advance(10);
            }
            expect(longestMs).to.be.at.most(200);
            // 200 changes in the time that the 100 deliveries took.
            expect(watchCalls).to.be.at.most(110);
        });
    });

    describe("when the store compacts its history", () => {
        it("lists again and reports the removals that it missed", async () => {
            store.faults.mode = "silent";
            await clock.advance(1_100);
            await store.commit({ expected: [], puts: [], removes: [] });
            store.faults.mode = "none";
            await store.commit({ expected: [], puts: [{ key: "x/b", value: "3" }], removes: ["x/a"] });
            store.compact();
            await clock.advance(1_500);
            expect(values()).to.include("3");
            expect(values()).to.include(undefined);
            expect(loadCount).to.equal(1);
        });
    });

    describe("when the store is down", () => {
        it("stops confirming, so that readers know the age of the copy", async () => {
            await clock.advance(1_500);
            const lastAt = confirmedAt;
            store.faults.mode = "refuse";
            await clock.advance(4_000);
            expect(confirmedAt - lastAt).to.be.below(1_500);
            store.faults.mode = "none";
            await clock.advance(1_500);
            expect(clock.now() - confirmedAt).to.be.below(1_500);
        });

        it("continues from its last revision after the outage", async () => {
            store.faults.mode = "refuse";
            await clock.advance(4_000);
            store.faults.mode = "none";
            store.write("x/a", "2");
            await clock.advance(1_500);
            expect(values()).to.deep.equal(["1", "2"]);
        });
    });

    describe("when this process has written an item itself", () => {
        it("reports the item at once, and not again when the watch delivers it", async () => {
            replica.send({
                kind: "learned",
                item: { key: "x/n", value: "n", revision: store.revision() + 1 },
            });
            await clock.settle();
            expect(values()).to.deep.equal(["1", "n"]);
            store.write("x/n", "n");
            await clock.advance(50);
            expect(values()).to.deep.equal(["1", "n"]);
        });

        it("does not restore an item that has been removed since", async () => {
            const revision = store.revision();
            await store.commit({ expected: [], puts: [], removes: ["x/a"] });
            await clock.advance(50);
            replica.send({ kind: "learned", item: { key: "x/a", value: "1", revision } });
            await clock.settle();
            expect(values()).to.deep.equal(["1", undefined]);
        });
    });
});
