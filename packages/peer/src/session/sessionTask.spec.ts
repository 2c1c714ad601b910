import { expect } from "chai";
import { Right, type Either } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { SyncReply, SyncRequest } from "@tanagerdeck/decisions/worker/workerReport";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import type { Reply, Task } from "@tanagerdeck/runtime/task/task";
import { descriptionOf, reportOf } from "@tanagerdeck/standins/plan/planFixture";
import { startSessionTask, type SessionMessage } from "./sessionTask.ts";

/** What the leader knows of evacuations when the session makes a call. */
type KnownEvacuation = { zones: string[]; ageMs: number } | undefined;

describe("a session in a deployment that uses evacuations", () => {
    let clock: ManualClock;
    let session: Task<SessionMessage>;
    let requests: SyncRequest[];
    let answer: ((reply: Either<Failure, SyncReply>) => void) | undefined;

    beforeEach(() => {
        clock = createManualClock();
        requests = [];
    });

    afterEach(() => session.stop());

    async function open(evacuation: (() => KnownEvacuation) | undefined): Promise<void> {
        session = startSessionTask({
            agent: "a",
            address: "h:1",
            term: 7,
            grantMs: 10_000,
            clock,
            log: noopLog,
            sync(_address, request) {
                requests.push(request);
                return new Promise(resolve => (answer = resolve));
            },
            evacuation,
            reported() {},
            outdated() {},
        });
        await clock.settle();
    }

    async function sendReport(incarnation: string, now: number): Promise<void> {
        const stamp = { incarnation, now, wall: now + 5 };
        answer!(Right({ kind: "report", report: { ...reportOf(descriptionOf("a")), stamp, version: now } }));
        await clock.settle();
    }

    // Guards against an age that is counted from a time after the leader has read its view.
    it("sends the zones and their age at the time of each call, with the stamp of the latest report", async () => {
        const known = { zones: ["b"], ageMs: 40 };
        await open(() => known);
        await sendReport("first", 1);
        expect(requests.at(-1)?.evacuation).to.deep.equal({
            zones: ["b"],
            ageMs: 40,
            stamp: { incarnation: "first", now: 1, wall: 6 },
        });
        Object.assign(known, { zones: [], ageMs: 700 });
        session.send({ kind: "order", orders: { starts: [], stops: [], recorded: undefined } });
        await clock.settle();
        expect(requests.at(-1)?.evacuation).to.deep.include({ zones: [], ageMs: 700 });
    });

    it("sends none before the agent's first report, as its age could not be told", async () => {
        const calls: string[] = [];
        await open(() => {
            calls.push("read");
            return { zones: ["b"], ageMs: 40 };
        });
        expect(requests).to.have.length(1);
        expect(requests[0]?.evacuation).to.equal(undefined);
        await sendReport("first", 1);
        expect(requests[1]?.evacuation?.zones).to.deep.equal(["b"]);
        expect(calls).to.have.length(1);
    });

    it("sends the stamp of the new incarnation after the agent's restart", async () => {
        await open(() => ({ zones: ["b"], ageMs: 40 }));
        await sendReport("first", 900);
        await sendReport("second", 3);
        expect(requests.at(-1)?.evacuation?.stamp).to.include({ incarnation: "second", now: 3 });
    });

    it("sends none while the leader knows nothing, and one as soon as it does", async () => {
        const known: KnownEvacuation[] = [];
        await open(() => known.at(-1));
        await sendReport("first", 1);
        expect(requests.at(-1)?.evacuation).to.equal(undefined);
        known.push({ zones: [], ageMs: 3 });
        await sendReport("first", 2);
        expect(requests.at(-1)?.evacuation).to.deep.include({ zones: [], ageMs: 3 });
    });

    it("sends none in a deployment without evacuations", async () => {
        await open(undefined);
        await sendReport("first", 1);
        expect(requests.at(-1)?.grant).to.not.equal(undefined);
        expect(requests.at(-1)?.evacuation).to.equal(undefined);
    });
});

describe("a session whose grants are withheld", () => {
    let clock: ManualClock;
    let session: Task<SessionMessage>;
    let requests: SyncRequest[];
    /** What the planner sees, in order. */
    let seen: string[];
    let answer: ((reply: Either<Failure, SyncReply>) => void) | undefined;

    beforeEach(async () => {
        clock = createManualClock();
        requests = [];
        seen = [];
        session = startSessionTask({
            agent: "a",
            address: "h:1",
            term: 7,
            grantMs: 10_000,
            clock,
            log: noopLog,
            sync(_address, request) {
                requests.push(request);
                return new Promise(resolve => (answer = resolve));
            },
            reported: () => seen.push("report"),
            outdated() {},
        });
        await clock.settle();
    });

    afterEach(() => session.stop());

    async function sendReport(now: number): Promise<void> {
        const stamp = { incarnation: "first", now, wall: now };
        answer!(Right({ kind: "report", report: { ...reportOf(descriptionOf("a")), stamp, version: now } }));
        await clock.settle();
    }

    async function withhold(): Promise<void> {
        await session.ask((reply: Reply<void>) => ({ kind: "withhold", reply }));
        seen.push("withheld");
    }

    it("grants leases until then", async () => {
        await sendReport(1);
        expect(requests.at(-1)?.grant?.stamp.now).to.equal(1);
    });

    // Guards against an absence that is recorded although a report has led to a grant meanwhile.
    it("passes on the reports that led to a grant first", async () => {
        const stamp = { incarnation: "first", now: 1, wall: 1 };
        answer!(Right({ kind: "report", report: { ...reportOf(descriptionOf("a")), stamp } }));
        const reported = clock.settle();
        await Promise.all([reported, withhold()]);
        const granted = requests.filter(({ grant }) => grant !== undefined).length;
        expect(granted).to.be.at.most(seen.slice(0, seen.indexOf("withheld")).length);
    });

    it("grants none for the reports that follow", async () => {
        await withhold();
        await sendReport(1);
        await sendReport(2);
        expect(requests.at(-1)?.grant).to.equal(undefined);
        expect(seen).to.deep.equal(["withheld", "report", "report"]);
    });

    it("grants one at once when it is released", async () => {
        await withhold();
        await sendReport(1);
        session.send({ kind: "release" });
        await clock.settle();
        expect(requests.at(-1)?.grant?.stamp.now).to.equal(1);
    });

    it("grants none when the leader may grant again", async () => {
        await withhold();
        session.send({ kind: "grants", isAllowed: true });
        await sendReport(1);
        expect(requests.at(-1)?.grant).to.equal(undefined);
    });
});
