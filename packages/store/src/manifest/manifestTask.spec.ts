import { expect } from "chai";
import { Left, Right } from "purify-ts/Either";
import type { Manifest } from "@tanagerdeck/decisions/manifest/manifestTypes";
import { instantNow } from "@tanagerdeck/runtime/clock/instant";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import type { Task } from "@tanagerdeck/runtime/task/task";
import { createMemoryStore, type MemoryStore } from "@tanagerdeck/standins/keyvalue/memoryStore";
import type { Item } from "../keyvalue/keyValueTypes.ts";
import { startManifestTask, type ManifestMessage } from "./manifestTask.ts";

describe("the applied manifest", () => {
    /** Time within which a change must take effect. */
    const MAX_APPLY_DELAY_MS = 2_500;
    let clock: ManualClock;
    let store: MemoryStore;
    let task: Task<ManifestMessage>;
    let applied: Manifest[];

    function decode({ value, revision }: Item) {
        if (!value.startsWith("version ")) {
            return Left("no version");
        }
        const version = Number(value.slice("version ".length));
        const limits = { bodyLimitBytes: 0, headerLimitBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 };
        return Right({ revision, version, queues: [], services: [], clientAccounts: [], ...limits });
    }

    beforeEach(async () => {
        clock = createManualClock();
        store = createMemoryStore(clock);
        applied = [];
        store.write("manifest", "version 1");
        task = startManifestTask({
            store,
            key: "manifest",
            decode,
            clock,
            log: noopLog,
            onApplied: manifest => applied.push(manifest),
            onConfirmed() {},
        });
        await clock.advance(50);
    });

    afterEach(() => task.stop());

    function versions(): number[] {
        return applied.map(manifest => manifest.version);
    }

    it("follows each change", async () => {
        store.write("manifest", "version 2");
        await clock.advance(100);
        expect(versions()).to.deep.equal([1, 2]);
    });

    it("is found when it is first written after the task has started", async () => {
        await task.stop();
        store = createMemoryStore(clock);
        applied = [];
        task = startManifestTask({
            store,
            key: "manifest",
            decode,
            clock,
            log: noopLog,
            onApplied: m => applied.push(m),
            onConfirmed() {},
        });
        await clock.advance(1_000);
        store.write("manifest", "version 9");
        await clock.advance(MAX_APPLY_DELAY_MS);
        expect(versions()).to.deep.equal([9]);
    });

    it("stays in effect when the operators' text is invalid", async () => {
        store.write("manifest", "rubbish");
        await clock.advance(1_500);
        expect(versions()).to.deep.equal([1]);
        store.write("manifest", "version 3");
        await clock.advance(1_500);
        expect(versions()).to.deep.equal([1, 3]);
    });

    describe("when the store compacts its history", () => {
        it("is read again in time, without a burst of reads", async () => {
            store.faults.mode = "silent";
            store.compact();
            await clock.advance(20);
            store.faults.mode = "none";
            store.write("manifest", "version 4");
            store.compact();
            const before = store.calls.get("page") ?? 0;
            await clock.advance(MAX_APPLY_DELAY_MS);
            expect(versions()).to.deep.equal([1, 4]);
            expect((store.calls.get("page") ?? 0) - before).to.be.below(20);
        });
    });

    describe("when an older revision arrives late", () => {
        it("is not replaced by it", async () => {
            store.write("manifest", "version 5");
            await clock.advance(100);
            task.send({
                kind: "watched",
                sentAt: instantNow(clock),
                result: Right({
                    kind: "changes",
                    changes: [{ key: "manifest", revision: 1, value: "version 0" }],
                    revision: 1,
                }),
            });
            await clock.settle();
            expect(versions()).to.deep.equal([1, 5]);
        });
    });
});
