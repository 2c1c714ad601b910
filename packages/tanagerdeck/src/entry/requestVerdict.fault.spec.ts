import { expect } from "chai";
import type { Outcome, Verdict } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { ProxyFault } from "@tanagerdeck/standins/network/proxyStandin";
import { expectTruth, startHarness, waitFor, type Harness } from "./requestHarness.spec.ts";

type Fault = Exclude<ProxyFault, "none" | "freeze"> | "refused" | "restarted" | "draining" | "runner dead";
type Moment = "before the submit arrives" | "in the queue" | "while it runs" | "after it ran";

const FAULTS: Fault[] = [
    "refused",
    "cut-before",
    "cut-after",
    "silent-before",
    "silent-after",
    "hold",
    "restarted",
    "draining",
    "runner dead",
];
const CANCEL_VERDICTS: Record<Moment, Verdict> = {
    "before the submit arrives": "not-run",
    "in the queue": "not-run",
    "while it runs": "may-have-run",
    "after it ran": "ran",
};
const BODY = '{"ms":30}';
const LONG_BODY = '{"ms":400}';
const SLOTS = 8;

describe("invariant 4: a request of which its caller is told not-run did not run", () => {
    let harness: Harness;

    beforeEach(async () => {
        harness = await startHarness(2);
    });

    afterEach(() => harness.close());

    describe("step: submit of a repeatable request", () => {
        for (const fault of FAULTS) {
            it(`fault: ${fault} at the first agent: answered by the other or from memory`, async () => {
                await inject(0, fault);
                await inject(1, "none");
                const ended = await Promise.all(
                    [1, 2, 3].map(() => harness.run({ kind: "quote", body: BODY })),
                );
                for (const { id, outcome } of ended) {
                    expect(outcome.kind, JSON.stringify(outcome)).to.equal("answer");
                    expectTruth(outcome, harness.runs(id), BODY, false);
                }
            });

            it(`fault: ${fault} at both agents: the verdict agrees with the runs`, async () => {
                await inject(0, fault);
                await inject(1, fault);
                const { id, outcome } = await harness.run({ kind: "quote", body: BODY, deadlineMs: 2_000 });
                await expectTruthLater(id, outcome);
            });
        }

        it("fault: reply lost at one agent and the other refuses: may have run", async () => {
            const [first, second] = harness.agents;
            await second!.proxy.refuse();
            await harness.publish("serving");
            first!.proxy.faultFor = path => (path === "/submit" ? "cut-after" : "cut-before");
            const { id, outcome } = await harness.run({ kind: "quote", body: BODY });
            if (harness.runs(id) > 0) {
                expect(outcome.verdict).to.equal("may-have-run");
            }
            await expectTruthLater(id, outcome);
        });
    });

    describe("step: submit to a draining agent", () => {
        it("fault: entry does not know of the drain: ticket refused at once with not-run", async () => {
            const id = await harness.ticket();
            for (const agent of harness.agents) {
                agent.task.send({ kind: "drain" });
            }
            const start = performance.now();
            const { outcome } = await harness.run({ id, body: BODY });
            expect(outcome).to.include({ verdict: "not-run", reason: "draining" });
            expect(performance.now() - start).to.be.lessThan(1_000);
            await expectTruthLater(id, outcome);
        });
    });

    describe("step: cancel", () => {
        for (const [moment, verdict] of Object.entries(CANCEL_VERDICTS) as [Moment, Verdict][]) {
            it(`fault: cancel ${moment}: ${verdict}`, async () => {
                const { id, ended } = await reach(moment);
                const cancelled = await harness.cancel(id);
                expect(cancelled.verdict).to.equal(verdict);
                for (const { proxy } of harness.agents) {
                    proxy.release();
                }
                await expectTruthLater(id, cancelled, LONG_BODY);
                expect((await ended).outcome.verdict).to.equal(verdict);
            });
        }

        it("fault: cancel races with the end of the run: one verdict for both", async () => {
            for (let delay = 0; delay < 10; delay++) {
                const id = await harness.ticket();
                const ended = harness.run({ id, body: `{"ms":${delay}}` });
                await new Promise(resolve => setTimeout(resolve, 5));
                const cancelled = await harness.cancel(id);
                const { outcome } = await ended;
                expect(cancelled.verdict).to.equal(outcome.verdict);
                expectTruth(cancelled, harness.runs(id), `{"ms":${delay}}`, true);
            }
        });

        it("fault: agent gone at the cancel: may have run", async () => {
            const { id } = await reach("while it runs");
            for (const { proxy } of harness.agents) {
                await proxy.refuse();
            }
            expect((await harness.cancel(id)).verdict).to.equal("may-have-run");
        });
    });

    async function inject(index: number, fault: Fault | "none"): Promise<void> {
        const agent = harness.agents[index]!;
        let left = 1;
        const once = (value: ProxyFault) => {
            agent.proxy.faultFor = path => (path === "/submit" && left-- > 0 ? value : "none");
        };
        switch (fault) {
            case "refused":
                await agent.proxy.refuse();
                return;
            case "restarted":
                await agent.restart();
                return;
            case "draining":
                agent.task.send({ kind: "drain" });
                return;
            case "runner dead":
                await agent.runner.kill();
                return;
            default:
                once(fault);
        }
    }

    async function reach(moment: Moment): Promise<{ id: string; ended: ReturnType<Harness["run"]> }> {
        if (moment === "in the queue") {
            await fillSlots();
        }
        const id = await harness.ticket();
        if (moment === "before the submit arrives") {
            for (const { proxy } of harness.agents) {
                proxy.faultFor = path => (path === "/submit" ? "hold" : "none");
            }
        }
        const ended = harness.run({ id, body: LONG_BODY });
        if (moment === "while it runs") {
            await waitFor(() => harness.runs(id) === 1, "the runner has the request");
        }
        if (moment === "after it ran") {
            await ended;
        }
        if (moment === "in the queue" || moment === "before the submit arrives") {
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        return { id, ended };
    }

    async function fillSlots(): Promise<void> {
        const before = executions();
        for (let index = 0; index < 2 * SLOTS; index++) {
            void harness.run({ kind: "quote", body: LONG_BODY });
        }
        await waitFor(() => executions() - before === 2 * SLOTS, "all slots are taken");
    }

    function executions(): number {
        return harness.agents.flatMap(agent => agent.runner.executed).length;
    }

    /** Lets delayed copies arrive before the runs are counted. */
    async function expectTruthLater(id: string, outcome: Outcome, body = BODY): Promise<void> {
        for (const { proxy } of harness.agents) {
            proxy.faultFor = () => "none";
            proxy.release();
            proxy.replay("/submit");
        }
        await new Promise(resolve => setTimeout(resolve, 100));
        expectTruth(outcome, harness.runs(id), body, false);
    }
});
