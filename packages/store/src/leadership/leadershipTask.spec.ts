import { expect } from "chai";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import type { Reply, Task } from "@tanagerdeck/runtime/task/task";
import { createMemoryStore, type MemoryStore } from "@tanagerdeck/standins/keyvalue/memoryStore";
import { createFreezableClock, type FreezableClock } from "@tanagerdeck/standins/polling/freezableClock";
import { LEADER_KEY } from "../replica/storeKeys.ts";
import { startLeadershipTask, type LeadershipEvent, type LeadershipMessage } from "./leadershipTask.ts";

interface Candidate {
    task: Task<LeadershipMessage>;
    clock: FreezableClock;
    events: LeadershipEvent[];
}

describe("the leadership", () => {
    let clock: ManualClock;
    let store: MemoryStore;
    let candidates: Candidate[];

    function addCandidate(name: string, delayMs: number): Candidate {
        const candidateClock = createFreezableClock(clock);
        const events: LeadershipEvent[] = [];
        let writes = 0;
        const task = startLeadershipTask({
            store,
            registration: { name, address: "1.2.3.4:1", availabilityZone: "z", incarnation: "i" },
            clock: candidateClock,
            log: noopLog,
            newWriteId: () => `${name}-${++writes}`,
            campaignDelayMs: () => delayMs,
            notify: event => events.push(event),
        });
        const candidate = { task, clock: candidateClock, events };
        candidates.push(candidate);
        task.send({ kind: "loaded" });
        return candidate;
    }

    /** Sends the candidates the change that a replica would deliver. */
    function notifyCandidates(): void {
        const item = store.item(LEADER_KEY);
        const change = { key: LEADER_KEY, revision: item?.revision ?? store.revision(), value: item?.value };
        for (const { task } of candidates) {
            task.send({ kind: "leader-changed", change });
        }
    }

    async function run(durationMs: number): Promise<void> {
        for (let passed = 0; passed < durationMs; passed += 100) {
            await clock.advance(100);
            notifyCandidates();
            await clock.settle();
        }
    }

    function kinds({ events }: Candidate): string[] {
        return events.map(event => event.kind);
    }

    beforeEach(() => {
        clock = createManualClock();
        store = createMemoryStore(clock);
        candidates = [];
    });

    afterEach(async () => {
        for (const { task } of candidates) {
            await task.stop();
        }
    });

    it("is won by one candidate, which keeps it", async () => {
        const first = addCandidate("a", 0);
        const second = addCandidate("b", 0);
        await run(10_000);
        expect([...kinds(first), ...kinds(second)]).to.deep.equal(["lead"]);
    });

    it("passes to the next candidate at once when the leader resigns", async () => {
        const first = addCandidate("a", 0);
        await run(500);
        const second = addCandidate("b", 0);
        await run(500);
        await first.task.ask((reply: Reply<void>) => ({ kind: "resign", reply }));
        await run(300);
        expect(kinds(first)).to.deep.equal(["lead", "lost"]);
        expect(kinds(second)).to.deep.equal(["lead"]);
    });

    it("passes to the next candidate at once when a candidate resigns during its campaign", async () => {
        const first = addCandidate("a", 0);
        while (!store.calls.has("commit")) {
            await new Promise<void>(resolve => setImmediate(resolve));
        }
        await first.task.ask((reply: Reply<void>) => ({ kind: "resign", reply }));
        await run(300);
        const second = addCandidate("b", 0);
        await run(300);
        expect(kinds(first)).to.deep.equal([]);
        expect(kinds(second)).to.deep.equal(["lead"]);
    });

    // Guards against a record of a term before the latest one that counts as current.
    it("tells each leader the latest term before its own", async () => {
        const first = addCandidate("a", 0);
        await run(500);
        const second = addCandidate("b", 0);
        await run(500);
        await first.task.ask((reply: Reply<void>) => ({ kind: "resign", reply }));
        await run(300);
        const [firstTerm] = first.events;
        expect(firstTerm).to.deep.include({ kind: "lead", formerTerm: undefined });
        expect(second.events[0]).to.deep.include({
            kind: "lead",
            formerTerm: firstTerm?.kind === "lead" ? firstTerm.term : undefined,
        });
    });

    it("has a higher term with each leader, so that commands of an earlier leader are refused", async () => {
        const first = addCandidate("a", 0);
        await run(500);
        const second = addCandidate("b", 0);
        await first.task.ask((reply: Reply<void>) => ({ kind: "resign", reply }));
        await run(500);
        const terms = [first, second].flatMap(({ events }) =>
            events.flatMap(e => (e.kind === "lead" ? e.term : [])),
        );
        expect(terms[1]).to.be.greaterThan(terms[0] ?? 0);
    });

    describe("while the store is down", () => {
        it("is suspended before the lease can expire, since another process may lead after that", async () => {
            const first = addCandidate("a", 0);
            await run(1_000);
            Object.assign(store.faults, { mode: "silent", pausesLeases: true });
            // The lease of 1.2 s was renewed up to 250 ms ago, and the leader stops 200 ms before it expires.
            await run(700);
            expect(kinds(first)).to.deep.equal(["lead"]);
            await run(400);
            expect(kinds(first)).to.deep.equal(["lead", "suspend"]);
        });

        it("is resumed in the same term if the lease was paused", async () => {
            const first = addCandidate("a", 0);
            await run(1_000);
            Object.assign(store.faults, { mode: "silent", pausesLeases: true });
            await run(5_000);
            Object.assign(store.faults, { mode: "none" });
            await run(600);
            expect(kinds(first)).to.deep.equal(["lead", "suspend", "resume"]);
        });

        it("is lost if the lease expired, and won again in a new term", async () => {
            const first = addCandidate("a", 0);
            await run(1_000);
            Object.assign(store.faults, { mode: "silent" });
            await run(5_000);
            Object.assign(store.faults, { mode: "none" });
            await run(2_000);
            expect(kinds(first)).to.deep.equal(["lead", "suspend", "lost", "lead"]);
        });
    });

    describe("when the leader is paused for longer than its lease", () => {
        it("is taken over, and the old leader learns that its term has ended", async () => {
            const first = addCandidate("a", 0);
            await run(500);
            const second = addCandidate("b", 0);
            await run(500);
            first.clock.freeze();
            await run(4_000);
            expect(kinds(second)).to.deep.equal(["lead"]);
            first.clock.resume();
            await run(500);
            expect(kinds(first).at(-1)).to.equal("lost");
        });
    });

    describe("when the reply to a campaign is lost", () => {
        it("recognizes that it has won", async () => {
            const first = addCandidate("a", 0);
            await clock.settle();
            store.faults.mode = "lose-reply";
            await clock.advance(30);
            store.faults.mode = "none";
            await run(3_000);
            expect(kinds(first)).to.include("lead");
            expect(kinds(first).filter(kind => kind === "lead")).to.have.length(1);
        });
    });
});
