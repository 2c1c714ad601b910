import { expect } from "chai";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import { createMemoryPlatform, type MemoryPlatform } from "@tanagerdeck/standins/platform/memoryPlatform";
import { createFreezableClock } from "@tanagerdeck/standins/polling/freezableClock";
import { registrationPrefix, startRegistrationTask } from "./registrationTask.ts";

const ENVIRONMENT = "trial";
/** Exceeds the TTL of the lease (10 s) plus the time that an absent entry has to return. */
const GONE_WITHIN_MS = 25_000;

describe("invariant 5: work that may not be repeated runs at most once, so its entry must have gone first", () => {
    let clock: ManualClock;
    let platform: MemoryPlatform;

    beforeEach(() => {
        clock = createManualClock();
        platform = createMemoryPlatform(clock);
    });

    function startEntry(name: string, incarnation = "one") {
        const entryClock = createFreezableClock(clock);
        const connection = platform.connect();
        const gone: string[] = [];
        const others: string[][] = [];
        const task = startRegistrationTask({
            environment: ENVIRONMENT,
            registration: { name, incarnation, address: `${name}:1` },
            store: connection.store,
            clock: entryClock,
            log: noopLog,
            random: () => 0.5,
            onChange: entries => others.push(entries.map(entry => entry.name)),
            onGone: entry => gone.push(`${entry.name}/${entry.incarnation}`),
        });
        return { task, connection, gone, others, clock: entryClock };
    }

    async function registered(): Promise<string[]> {
        const listed = await platform.connect().store.list(registrationPrefix(ENVIRONMENT));
        return listed.unsafeCoerce().map(({ value }) => (JSON.parse(value) as { name: string }).name);
    }

    describe("step: renew", () => {
        it("fault: lease expired under a paused holder: it registers again and is not reported as gone", async () => {
            const one = startEntry("entry-1");
            const two = startEntry("entry-2");
            await clock.advance(10_000);
            two.clock.freeze();
            await clock.advance(9_000);
            for (const lease of platform.leases()) {
                platform.expireLease(lease);
            }
            two.clock.resume();
            await clock.advance(8_000);
            expect(await registered()).to.deep.equal(["entry-1", "entry-2"]);
            expect(one.gone).to.deep.equal([]);
        });

        it("fault: entry killed: reported as gone once", async () => {
            const one = startEntry("entry-1");
            const two = startEntry("entry-2");
            await clock.advance(10_000);
            two.connection.fault("down");
            two.clock.freeze();
            await clock.advance(GONE_WITHIN_MS);
            expect(one.gone).to.deep.equal(["entry-2/one"]);
            await clock.advance(GONE_WITHIN_MS);
            expect(one.gone).to.have.length(1);
        });

        it("fault: planned stop: the key is removed at once", async () => {
            const one = startEntry("entry-1");
            await clock.advance(5_000);
            await one.task.stop();
            expect(await registered()).to.deep.equal([]);
        });

        it("fault: reply of the registration lost: the entry stays registered once", async () => {
            const one = startEntry("entry-1");
            one.connection.fault("lose-write-reply");
            await clock.advance(10_000);
            one.connection.fault("none");
            await clock.advance(10_000);
            expect(await registered()).to.deep.equal(["entry-1"]);
            await clock.advance(30_000);
            expect(await registered()).to.deep.equal(["entry-1"]);
        });

        it("fault: another incarnation under the name: refused until the first has gone", async () => {
            const first = startEntry("entry-1");
            const watcher = startEntry("entry-2");
            await clock.advance(5_000);
            startEntry("entry-1", "two");
            await clock.advance(20_000);
            expect(watcher.gone).to.deep.equal([]);
            first.connection.fault("down");
            await clock.advance(GONE_WITHIN_MS);
            expect(watcher.gone).to.deep.equal(["entry-1/one"]);
        });
    });

    describe("step: list", () => {
        it("fault: platform down for minutes with all leases lost: no entry is reported as gone", async () => {
            const entries = ["entry-1", "entry-2", "entry-3"].map(name => startEntry(name));
            await clock.advance(10_000);
            for (const entry of entries) {
                entry.connection.fault("down");
            }
            await clock.advance(300_000);
            for (const lease of platform.leases()) {
                platform.expireLease(lease);
            }
            for (const entry of entries) {
                entry.connection.fault("none");
            }
            await clock.advance(60_000);
            expect(await registered()).to.have.length(3);
            expect(entries.flatMap(entry => entry.gone)).to.deep.equal([]);
            expect(entries[0]!.others.at(-1)).to.deep.equal(["entry-2", "entry-3"]);
        });

        it("fault: one entry cut off, then the platform down: it has time to return after the outage", async () => {
            const one = startEntry("entry-1");
            const two = startEntry("entry-2");
            await clock.advance(10_000);
            two.connection.fault("down");
            await clock.advance(14_000);
            expect(await registered()).to.deep.equal(["entry-1"]);
            one.connection.fault("down");
            await clock.advance(300_000);
            one.connection.fault("none");
            await clock.advance(3_000);
            two.connection.fault("none");
            await clock.advance(30_000);
            expect(await registered()).to.have.length(2);
            expect(one.gone).to.deep.equal([]);
        });
    });
});
