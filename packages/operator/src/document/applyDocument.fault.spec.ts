import { expect } from "chai";
import type { Either } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { listHistory, readCurrent } from "@tanagerdeck/store/configuration/acceptedConfiguration";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import {
    createMemoryPlatform,
    type ConnectionFault,
    type MemoryPlatform,
    type PlatformConnection,
} from "@tanagerdeck/standins/platform/memoryPlatform";
import { applyDocument, type AcceptedChange, type ConfigurationChange } from "./applyDocument.ts";

const ENVIRONMENT = "trial";
type Applied = Either<Failure, AcceptedChange>;

describe("invariant 8: an accepted configuration is in force everywhere within 17 s and never reverts", () => {
    let clock: ManualClock;
    let platform: MemoryPlatform;
    let connectionA: PlatformConnection;
    let connectionB: PlatformConnection;

    beforeEach(() => {
        clock = createManualClock();
        platform = createMemoryPlatform(clock);
        connectionA = platform.connect();
        connectionB = platform.connect();
    });

    function change(changeId: string, expectedRevision: number, waiting = 1): ConfigurationChange {
        const weights = { completionTime: waiting, fragmentation: 1 };
        const document = { clientAccounts: [], kinds: [], racks: [], weights };
        return { text: JSON.stringify(document), expectedRevision, changeId };
    }

    function apply(connection: PlatformConnection, change: ConfigurationChange): Promise<Applied> {
        return applyDocument({ store: connection.store, environment: ENVIRONMENT, now: clock.wall }, change);
    }

    async function advanceAndAwait<T>(work: Promise<T>): Promise<T> {
        await clock.advance(30_000);
        return work;
    }

    async function history(): Promise<string[]> {
        const records = await listHistory(platform.connect().store, ENVIRONMENT);
        return records.unsafeCoerce().map(({ revision, changeId }) => `${revision} ${changeId}`);
    }

    async function current(): Promise<string | undefined> {
        const stored = await readCurrent(platform.connect().store, ENVIRONMENT);
        const configuration = stored.unsafeCoerce()?.configuration;
        return configuration && `${configuration.revision} ${configuration.changeId}`;
    }

    describe("step: check", () => {
        it("fault: invalid document: refused, nothing is written", async () => {
            const result = await apply(connectionA, { ...change("a", 0), text: '{"clientAccounts":[' });
            expect(result.swap().unsafeCoerce().verdict).to.equal("not-run");
            expect(await history()).to.deep.equal([]);
        });

        it("fault: document larger than one stored value: refused, nothing is written", async () => {
            const kinds = Array.from({ length: 9_000 }, (_, position) => ({ name: `kind-${position}` }));
            const text = JSON.stringify({ kinds, pad: "x".repeat(1_000_000) });
            expect(
                (await apply(connectionA, { ...change("a", 0), text })).swap().unsafeCoerce().reason,
            ).to.equal("invalid");
            expect(await history()).to.deep.equal([]);
        });
    });

    describe("step: compare-and-swap", () => {
        it("fault: operators racing: exactly one wins, the other is refused", async () => {
            const results = await advanceAndAwait(
                Promise.all([apply(connectionA, change("a", 0)), apply(connectionB, change("b", 0, 2))]),
            );
            const winners = results.filter(result => result.isRight());
            const [loser] = results.filter(result => result.isLeft());
            expect(winners).to.have.length(1);
            expect(loser?.swap().unsafeCoerce()).to.include({
                verdict: "not-run",
                reason: "revision-conflict",
            });
            expect(await history()).to.have.length(1);
        });

        it("fault: stale expected revision: refused, the accepted one stays", async () => {
            await apply(connectionA, change("a", 0));
            await apply(connectionA, change("b", 1, 2));
            const late = await apply(connectionB, change("c", 1, 3));
            expect(late.swap().unsafeCoerce().reason).to.equal("revision-conflict");
            expect(await current()).to.equal("2 b");
        });

        const faults: Record<Exclude<ConnectionFault, "none">, "accepted" | "unknown"> = {
            down: "unknown",
            silent: "unknown",
            slow: "accepted",
            "lose-write-reply": "accepted",
            "late-write": "accepted",
        };
        for (const [fault, expected] of Object.entries(faults) as [ConnectionFault, string][]) {
            it(`fault: ${fault}: ${expected}, and the same change id settles it afterwards`, async () => {
                connectionA.fault(fault);
                const first = await advanceAndAwait(apply(connectionA, change("a", 0)));
                const verdict = first.isRight() ? "accepted" : "unknown";
                expect(verdict).to.equal(expected);
                first.ifLeft(problem => expect(problem.verdict).to.equal("may-have-run"));
                connectionA.fault("none");
                const again = await advanceAndAwait(apply(connectionB, change("a", 0)));
                expect(again.unsafeCoerce().revision).to.equal(1);
                expect(await history()).to.deep.equal(["1 a"]);
            });
        }
    });

    describe("step: reply", () => {
        it("fault: reply lost while another operator accepts the next revision: still accepted", async () => {
            connectionA.fault("lose-write-reply");
            const first = apply(connectionA, change("a", 0));
            await clock.settle();
            connectionA.fault("down");
            await advanceAndAwait(first);
            await apply(connectionB, change("b", 1, 2));
            const again = await apply(connectionB, change("a", 0));
            expect(again.unsafeCoerce()).to.deep.include({ revision: 1, configuration: undefined });
            expect(await history()).to.deep.equal(["1 a", "2 b"]);
        });

        it("fault: late write after another operator won: the late write changes nothing", async () => {
            connectionA.fault("late-write");
            const first = apply(connectionA, change("a", 0));
            await clock.advance(100);
            expect((await apply(connectionB, change("b", 0, 2))).isRight()).to.equal(true);
            const result = await advanceAndAwait(first);
            expect(result.swap().unsafeCoerce()).to.include({
                verdict: "not-run",
                reason: "revision-conflict",
            });
            expect(await history()).to.deep.equal(["1 b"]);
            expect(await current()).to.equal("1 b");
        });

        it("fault: change id repeated with another document: refused as a conflict", async () => {
            await apply(connectionA, change("a", 0));
            const other = await apply(connectionB, change("a", 0, 2));
            expect(other.swap().unsafeCoerce()).to.include({ verdict: "not-run", reason: "conflict" });
        });
    });
});
