// The membership task on a manual clock: agents' states, admission of reports and rate of publications.
import { expect } from "chai";
import type { Rack } from "@tanagerdeck/decisions/document/documentTypes";
import type { AgentState, Report, ReportReply } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import type { Task } from "@tanagerdeck/runtime/task/task";
import { startMembershipTask, type MembershipMessage } from "./membershipTask.ts";

const RACK: Rack = { name: "r1", availabilityZone: "windhoek", workers: 3, acceleratorsPerWorker: 8 };

describe("the membership of an entry", () => {
    let clock: ManualClock;
    let task: Task<MembershipMessage>;
    let publications: AgentView[][];
    let gone: string[];

    beforeEach(() => {
        clock = createManualClock();
        publications = [];
        gone = [];
        task = startMembershipTask({
            clock,
            log: noopLog,
            reportIntervalMs: 2_000,
            onChanged: agents => publications.push(agents),
            onGone: ({ report: lastReport }) => gone.push(lastReport.name),
        });
    });

    afterEach(() => task.stop());

    function send(fields: Partial<Report> & { name: string }): Promise<ReportReply> {
        return task.ask(reply => ({ kind: "report", report: report(fields), reply }));
    }

    async function states(): Promise<Record<string, AgentState>> {
        const views = await task.ask<AgentView[]>(reply => ({ kind: "get", reply }));
        return Object.fromEntries(views.map(view => [view.report.name, view.state]));
    }

    /** Sends a report of each named agent every 2 s for the given time. */
    async function reportFor(names: string[], milliseconds: number, zone = "windhoek"): Promise<void> {
        for (let passed = 0; passed < milliseconds; passed += 2_000) {
            for (const name of names) {
                await send({ name, availabilityZone: zone });
            }
            await clock.advance(2_000);
        }
    }

    describe("silence", () => {
        it("makes one agent suspect after 6 s and gone after 60 s, and reports it as gone once", async () => {
            await send({ name: "a" });
            await reportFor(["b", "c", "d"], 8_000);
            expect((await states()).a).to.equal("suspect");
            await reportFor(["b", "c", "d"], 54_000);
            expect((await states()).a).to.equal("gone");
            await reportFor(["b", "c", "d"], 4_000);
            expect(gone).to.deep.equal(["a"]);
        });

        it("keeps agents unreachable, never gone, if more than half of their zone fell silent at once", async () => {
            await reportFor(["a", "b", "c", "d", "e"], 4_000);
            await reportFor(["d", "e"], 120_000);
            expect(await states()).to.deep.equal({
                a: "unreachable",
                b: "unreachable",
                c: "unreachable",
                d: "serving",
                e: "serving",
            });
            expect(gone).to.deep.equal([]);
        });

        it("counts as a crash if at most half of a zone fell silent, or more but one by one", async () => {
            await reportFor(["a", "b", "c", "d"], 4_000);
            await reportFor(["b", "c", "d"], 20_000);
            await reportFor(["c", "d"], 20_000);
            await reportFor(["d"], 20_000);
            const { a, b, c } = await states();
            expect([a, b, c]).to.deep.equal(["gone", "suspect", "suspect"]);
        });

        it("does not include the time in which this process was paused", async () => {
            const pausedClock = createManualClock();
            let offset = 0;
            const pausedTask = startMembershipTask({
                clock: { ...pausedClock, now: () => pausedClock.now() + offset },
                log: noopLog,
                reportIntervalMs: 2_000,
                onChanged: () => undefined,
                onGone: ({ report: lastReport }) => gone.push(lastReport.name),
            });
            await pausedTask.ask(reply => ({ kind: "report", report: report({ name: "a" }), reply }));
            await pausedClock.advance(1_500);
            offset = 300_000;
            await pausedClock.advance(1_500);
            const [view] = await pausedTask.ask<AgentView[]>(reply => ({ kind: "get", reply }));
            expect(view?.state).to.equal("serving");
            expect(gone).to.deep.equal([]);
            await pausedTask.stop();
        });
    });

    describe("failed calls", () => {
        it("make an agent suspect at once if its connection is refused, until its next report", async () => {
            await send({ name: "a" });
            task.send({ kind: "connection-refused", address: "10.0.0.1:9" });
            expect((await states()).a).to.equal("serving");
            task.send({ kind: "connection-refused", address: "10.0.0.1:1" });
            expect((await states()).a).to.equal("suspect");
            await send({ name: "a" });
            expect((await states()).a).to.equal("serving");
        });
    });

    describe("reports", () => {
        it("are ignored when they arrive after a later one, so that a drain is not undone", async () => {
            await send({ name: "a", sequence: 5, state: "draining" });
            const late = await send({ name: "a", sequence: 4 });
            expect(late.accepted).to.equal(false);
            expect((await states()).a).to.equal("draining");
        });

        it("of another incarnation are refused until the first one has fallen silent", async () => {
            await send({ name: "a" });
            expect((await send({ name: "a", incarnation: "two" })).refusal).to.equal("name-in-use");
            await clock.advance(6_500);
            expect((await send({ name: "a", incarnation: "two" })).accepted).to.equal(true);
            expect((await send({ name: "a", incarnation: "one" })).refusal).to.equal("name-in-use");
        });

        it("of a restart after a graceful stop are accepted at once", async () => {
            await send({ name: "a", state: "left" });
            expect((await states()).a).to.equal("left");
            expect((await send({ name: "a", incarnation: "two" })).accepted).to.equal(true);
        });

        const positionCases: [string, Partial<Report>, ReportReply["refusal"]][] = [
            ["the declared position", { worker: worker("r1", 2) }, undefined],
            ["an unknown rack", { worker: worker("r9", 0) }, "wrong-position"],
            ["a slot beyond the rack", { worker: worker("r1", 3) }, "wrong-position"],
            ["another number of accelerators", { worker: worker("r1", 0, 4) }, "wrong-position"],
            [
                "another zone",
                { worker: worker("r1", 0), availabilityZone: "swakop" },
                "wrong-availability-zone",
            ],
            ["a taken position", { worker: worker("r1", 1) }, "wrong-position"],
        ];
        for (const [what, fields, refusal] of positionCases) {
            it(`of a worker with ${what} are ${refusal ?? "accepted"}`, async () => {
                task.send({ kind: "configuration", revision: 1, racks: [RACK] });
                await send({ name: "first", server: "worker", worker: worker("r1", 1) });
                expect((await send({ name: "a", server: "worker", ...fields })).refusal).to.equal(refusal);
            });
        }

        it("are answered with the gangs whose ends are recorded", async () => {
            task.send({ kind: "gangs-recorded", gangs: ["g1"] });
            const gangs = ["g1", "g2"].map(gang => ({ gang, attempt: 1, state: "finished" as const }));
            expect((await send({ name: "a", gangs })).recordedGangs).to.deep.equal(["g1"]);
        });
    });

    describe("publication", () => {
        it("happens at most five times a second with 11,000 agents", async () => {
            const names = Array.from({ length: 11_000 }, (_, agent) => `agent-${agent}`);
            for (let round = 0; round < 10; round++) {
                await Promise.all(names.map(name => send({ name })));
                await clock.advance(100);
            }
            expect(publications.length).to.be.within(2, 6);
            expect(publications.at(-1)).to.have.length(11_000);
        });
    });
});

let sequence = 100;

function report(fields: Partial<Report> & { name: string }): Report {
    return {
        incarnation: "one",
        sequence: sequence++,
        address: "10.0.0.1:1",
        availabilityZone: "windhoek",
        server: "runner",
        state: "serving",
        configurationRevision: 1,
        gangs: [],
        usage: [],
        ...fields,
    };
}

function worker(rack: string, slot: number, accelerators = 8): NonNullable<Report["worker"]> {
    const free = Array.from({ length: accelerators }, () => ({ kind: "free" as const }));
    return { rack, slot, accelerators: free, recentOutcomes: [] };
}
