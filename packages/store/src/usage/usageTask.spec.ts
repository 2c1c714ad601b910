import { expect } from "chai";
import type { UsageCounter } from "@tanagerdeck/decisions/fleet/reportTypes";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import { createMemoryPlatform, type MemoryPlatform } from "@tanagerdeck/standins/platform/memoryPlatform";
import { startUsageTask, type UsageSummary } from "./usageTask.ts";

const NAMES = ["entry-1", "entry-2"];

describe("the usage record", () => {
    let clock: ManualClock;
    let platform: MemoryPlatform;

    beforeEach(() => {
        clock = createManualClock();
        platform = createMemoryPlatform(clock);
    });

    function startEntry(entry: string) {
        const connection = platform.connect();
        const store = connection.store;
        const task = startUsageTask({
            environment: "trial",
            entry,
            store,
            clock,
            log: noopLog,
            random: () => 0.5,
        });
        task.send({ kind: "entries", names: NAMES.filter(name => name !== entry) });
        const report = (agent: string, milliseconds: number, incarnation = "one") =>
            task.send({ kind: "report", agent, incarnation, counters: [counter(milliseconds)] });
        const summary = () => task.ask<UsageSummary>(reply => ({ kind: "summarize", reply }));
        return { task, connection, report, summary };
    }

    async function stored(): Promise<number> {
        const listed = await platform.connect().store.list("trial/usage/");
        return listed.unsafeCoerce().length;
    }

    describe("with two entries that receive reports of the same agents", () => {
        it("counts each agent once", async () => {
            const entries = NAMES.map(startEntry);
            for (const entry of entries) {
                for (let agent = 0; agent < 20; agent++) {
                    entry.report(`agent-${agent}`, 100);
                }
            }
            await clock.advance(130_000);
            const { totals, complete } = await entries[0]!.summary();
            expect(complete).to.equal(true);
            expect(totals).to.deep.equal([
                { clientAccount: "counter", kind: "quote", milliseconds: 2_000, count: 20 },
            ]);
        });

        it("loses nothing when a reply is lost, or when an incarnation reported to one entry only", async () => {
            const [one, two] = NAMES.map(startEntry);
            one!.connection.fault("lose-write-reply");
            one!.report("agent-1", 100);
            two!.report("agent-1", 150);
            one!.report("agent-1", 120, "two");
            await clock.advance(70_000);
            one!.connection.fault("none");
            await clock.advance(130_000);
            const { totals } = await two!.summary();
            expect(totals[0]?.milliseconds).to.equal(270);
        });
    });

    describe("while the platform is down", () => {
        it("returns the reported counters marked as incomplete, and flushes after the outage", async () => {
            const one = startEntry("entry-1");
            one.task.send({ kind: "entries", names: [] });
            one.connection.fault("down");
            one.report("agent-1", 100);
            await clock.advance(70_000);
            expect(await one.summary()).to.deep.include({ complete: false });
            expect(await stored()).to.equal(0);
            one.connection.fault("none");
            await clock.advance(70_000);
            expect(await stored()).to.equal(1);
        });
    });

    describe("after a day without reports of an incarnation", () => {
        it("folds it into the totals once, although two entries have its counters", async () => {
            const [one, two] = NAMES.map(startEntry);
            for (const entry of [one!, two!]) {
                entry.report("agent-1", 100);
            }
            await clock.advance(25 * 3_600_000);
            one!.report("agent-1", 10, "two");
            two!.report("agent-1", 10, "two");
            await clock.advance(300_000);
            const [record] = (await platform.connect().store.list("trial/usage/")).unsafeCoerce();
            expect(record?.value).to.not.include('"one"');
            expect((await two!.summary()).totals[0]?.milliseconds).to.equal(110);
        });
    });

    describe("after every entry was replaced", () => {
        it("still returns what was flushed", async () => {
            const one = startEntry("entry-1");
            one.task.send({ kind: "entries", names: [] });
            one.report("agent-1", 100);
            await clock.advance(70_000);
            await one.task.stop();
            const { totals } = await startEntry("entry-2").summary();
            expect(totals[0]?.milliseconds).to.equal(100);
        });
    });
});

function counter(milliseconds: number): UsageCounter {
    return { clientAccount: "counter", kind: "quote", milliseconds, count: 1 };
}
