import { expect } from "chai";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import type { Task } from "@tanagerdeck/runtime/task/task";
import {
    createMemoryPlatform,
    type MemoryPlatform,
    type PlatformConnection,
} from "@tanagerdeck/standins/platform/memoryPlatform";
import { registrationPrefix, startRegistrationTask, type RegistrationMessage } from "./registrationTask.ts";

/** Guards against one odd entry of another writer after which the list of registrations was never read again. */
describe("the registrations of entries", () => {
    const ENVIRONMENT = "trial";
    const LIST_INTERVAL_MS = 3_000;
    let clock: ManualClock;
    let platform: MemoryPlatform;
    let writer: PlatformConnection;
    let tasks: Task<RegistrationMessage>[];

    beforeEach(() => {
        clock = createManualClock();
        platform = createMemoryPlatform(clock);
        writer = platform.connect();
        tasks = [];
    });

    afterEach(async () => {
        for (const task of tasks) {
            await task.stop();
        }
    });

    /** Starts an entry and returns the names of the other entries that it knows, as they change. */
    function startEntry(name: string): string[][] {
        const others: string[][] = [];
        const task = startRegistrationTask({
            environment: ENVIRONMENT,
            registration: { name, incarnation: "one", address: `${name}:1` },
            store: platform.connect().store,
            clock,
            log: noopLog,
            random: () => 0,
            onChange: entries => others.push(entries.map(entry => entry.name)),
            onGone() {},
        });
        tasks.push(task);
        return others;
    }

    async function write(name: string, value: string): Promise<void> {
        const key = `${registrationPrefix(ENVIRONMENT)}${name}`;
        await writer.store.write([{ key, value, expectedVersion: undefined }]);
    }

    const deep = "[".repeat(20_000) + "]".repeat(20_000);
    const odd: Record<string, string> = {
        "bytes that are not JSON": "\u0000{",
        null: "null",
        "a very deeply nested value": deep,
        "fields of another type": '{"name":"odd","incarnation":7,"address":{}}',
        "a number beyond the range of doubles": '{"name":"odd","incarnation":1e400,"address":"odd:1"}',
        "a port out of range": '{"name":"odd","incarnation":"one","address":"odd:99999"}',
        "the name of another entry": '{"name":"entry-1","incarnation":"odd","address":"odd:1"}',
    };

    for (const [title, value] of Object.entries(odd)) {
        it(`are followed although another writer has left ${title}`, async () => {
            await write("odd", value);
            const others = startEntry("entry-1");
            await clock.advance(LIST_INTERVAL_MS);
            startEntry("entry-2");
            await clock.advance(2 * LIST_INTERVAL_MS);
            expect(others.at(-1)).to.deep.equal(["entry-2"]);
        });

        it(`are written although another writer has left ${title} under the key`, async () => {
            await write("entry-2", value);
            const others = startEntry("entry-1");
            startEntry("entry-2");
            await clock.advance(3 * LIST_INTERVAL_MS);
            expect(others.at(-1)).to.deep.equal(["entry-2"]);
        });
    }
});
