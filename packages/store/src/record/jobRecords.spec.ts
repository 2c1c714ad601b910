import { expect } from "chai";
import type { JobRecord, JobState } from "@tanagerdeck/decisions/gang/jobTypes";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { createMemoryPlatform, type MemoryPlatform } from "@tanagerdeck/standins/platform/memoryPlatform";
import type { Store } from "../store/storeTypes.ts";
import { createJobRecords, RETENTION_SECONDS, type JobRecords } from "./jobRecords.ts";

const DAY_MS = 86_400_000;

describe("job records", () => {
    let clock: ManualClock;
    let platform: MemoryPlatform;
    let store: Store;
    let records: JobRecords;

    beforeEach(() => {
        clock = createManualClock();
        platform = createMemoryPlatform(clock);
        store = platform.connect().store;
        records = createJobRecords(store, "test", clock);
    });

    describe("of an ended job", () => {
        it("are deleted after the retention time, so that they do not accumulate without bound", async () => {
            await write("ended", "finished");
            await clock.advance(RETENTION_SECONDS * 1_000 - DAY_MS - 1_000);
            expect(await count()).to.equal(1);
            await clock.advance(DAY_MS + 2_000);
            expect(await count()).to.equal(0);
        });

        it("share one lease per day, so that no further lease calls are needed", async () => {
            const writes = Array.from({ length: 20 }, (_value, index) => write(`ended-${index}`, "failed"));
            await Promise.all(writes);
            expect(platform.leases()).to.have.length(1);
        });
    });

    describe("of an ended job whose lease is lost", () => {
        it("are written under a new lease at the next attempt", async () => {
            await write("first", "finished");
            platform.expireLease(platform.leases()[0]!);
            const record = {
                id: "second",
                clientAccount: "vans",
                state: "finished",
                writeId: "a",
            } as JobRecord;
            const refused = records.write(record, 0);
            await clock.advance(100);
            expect(await refused).to.include({ kind: "unavailable" });
            await write("second", "finished");
        });
    });

    describe("of an open job", () => {
        it("are kept, so that a long outage of its entry does not lose the job", async () => {
            await write("open", "queued");
            await clock.advance(RETENTION_SECONDS * 2_000);
            expect(await count()).to.equal(1);
        });
    });

    async function write(id: string, state: JobState): Promise<void> {
        const record = { id, clientAccount: "vans", state, writeId: id } as JobRecord;
        const pending = records.write(record, 0);
        await clock.advance(100);
        expect(await pending).to.include({ kind: "written" });
    }

    async function count(): Promise<number> {
        const pending = records.list();
        await clock.advance(100);
        return (await pending).unsafeCoerce().length;
    }
});
