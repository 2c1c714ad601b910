import { expect } from "chai";
import type { Outcome, Verdict } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { ProxyFault } from "@tanagerdeck/standins/network/proxyStandin";
import {
    expectOutcomeMatchesRuns,
    startRequestHarness,
    waitUntil,
    type RequestHarness,
} from "./testing/requestHarness.ts";

type Fault = Exclude<ProxyFault, "none" | "freeze"> | "refused" | "restarted" | "draining" | "runner dead";
/** Stage of a request at which it is cancelled. */
type RequestStage = "before the submit arrives" | "in the queue" | "while it runs" | "after it ran";

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
const VERDICT_OF_CANCEL: Record<RequestStage, Verdict> = {
    "before the submit arrives": "not-run",
    "in the queue": "not-run",
    "while it runs": "may-have-run",
    "after it ran": "ran",
};
const BODY = '{"ms":30}';
const LONG_BODY = '{"ms":400}';
const SLOTS = 8;

// Guards against a `not-run` verdict for a request that has run or still runs later: after submit faults, at a
// draining agent, and when a cancel races with the run.
describe("invariant 4: a request of which its caller is told not-run did not run", () => {
    let harness: RequestHarness;

    beforeEach(async () => {
        harness = await startRequestHarness(2);
    });

    afterEach(() => harness.close());

    describe("step: submit of a repeatable request", () => {
        for (const fault of FAULTS) {
            it(`fault: ${fault} at the first agent: answered by the other or from memory`, async () => {
                await injectFault(0, fault);
                await injectFault(1, "none");
                const results = await Promise.all(
                    [1, 2, 3].map(() => harness.runRequest({ kind: "quote", body: BODY })),
                );
                for (const { id, outcome } of results) {
                    expect(outcome.kind, JSON.stringify(outcome)).to.equal("answer");
                    expectOutcomeMatchesRuns(outcome, harness.executionCount(id), BODY, false);
                }
            });

            it(`fault: ${fault} at both agents: the verdict agrees with the runs`, async () => {
                await injectFault(0, fault);
                await injectFault(1, fault);
                const { id, outcome } = await harness.runRequest({
                    kind: "quote",
                    body: BODY,
                    deadlineMs: 2_000,
                });
                await expectOutcomeAfterReplay(id, outcome);
            });
        }

        it("fault: reply lost at one agent and the other refuses: may have run", async () => {
            const [first, second] = harness.agents;
            await second!.proxy.refuse();
            await harness.publishFleet("serving");
            first!.proxy.faultFor = path => (path === "/submit" ? "cut-after" : "cut-before");
            const { id, outcome } = await harness.runRequest({ kind: "quote", body: BODY });
            if (harness.executionCount(id) > 0) {
                expect(outcome.verdict).to.equal("may-have-run");
            }
            await expectOutcomeAfterReplay(id, outcome);
        });
    });

    describe("step: submit to a draining agent", () => {
        it("fault: entry does not know of the drain: ticket refused at once with not-run", async () => {
            const id = await harness.obtainTicket();
            for (const agent of harness.agents) {
                agent.task.send({ kind: "drain" });
            }
            const start = performance.now();
            const { outcome } = await harness.runRequest({ id, body: BODY });
            expect(outcome).to.include({ verdict: "not-run", reason: "draining" });
            expect(performance.now() - start).to.be.lessThan(1_000);
            await expectOutcomeAfterReplay(id, outcome);
        });
    });

    describe("step: cancel", () => {
        for (const [stage, verdict] of Object.entries(VERDICT_OF_CANCEL) as [RequestStage, Verdict][]) {
            it(`fault: cancel ${stage}: ${verdict}`, async () => {
                const { id, ended } = await submitAndReach(stage);
                const cancelled = await harness.cancel(id);
                expect(cancelled.verdict).to.equal(verdict);
                for (const { proxy } of harness.agents) {
                    proxy.release();
                }
                await expectOutcomeAfterReplay(id, cancelled, LONG_BODY);
                expect((await ended).outcome.verdict).to.equal(verdict);
            });
        }

        it("fault: cancel races with the end of the run: one verdict for both", async () => {
            for (let delay = 0; delay < 10; delay++) {
                const id = await harness.obtainTicket();
                const ended = harness.runRequest({ id, body: `{"ms":${delay}}` });
                await new Promise(resolve => setTimeout(resolve, 5));
                const cancelled = await harness.cancel(id);
                const { outcome } = await ended;
                expect(cancelled.verdict).to.equal(outcome.verdict);
                expectOutcomeMatchesRuns(cancelled, harness.executionCount(id), `{"ms":${delay}}`, true);
            }
        });

        it("fault: agent gone at the cancel: may have run", async () => {
            const { id } = await submitAndReach("while it runs");
            for (const { proxy } of harness.agents) {
                await proxy.refuse();
            }
            expect((await harness.cancel(id)).verdict).to.equal("may-have-run");
        });
    });

    /** Applies a fault to an agent; a proxy fault affects only the first submit. */
    async function injectFault(index: number, fault: Fault | "none"): Promise<void> {
        const agent = harness.agents[index]!;
        let remaining = 1;
        const failNextSubmit = (value: ProxyFault) => {
            agent.proxy.faultFor = path => (path === "/submit" && remaining-- > 0 ? value : "none");
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
                failNextSubmit(fault);
        }
    }

    /** Submits a request and resolves when it has reached the stage. */
    async function submitAndReach(
        stage: RequestStage,
    ): Promise<{ id: string; ended: ReturnType<RequestHarness["runRequest"]> }> {
        if (stage === "in the queue") {
            await fillSlots();
        }
        const id = await harness.obtainTicket();
        if (stage === "before the submit arrives") {
            for (const { proxy } of harness.agents) {
                proxy.faultFor = path => (path === "/submit" ? "hold" : "none");
            }
        }
        const ended = harness.runRequest({ id, body: LONG_BODY });
        if (stage === "while it runs") {
            await waitUntil(() => harness.executionCount(id) === 1, "the runner has the request");
        }
        if (stage === "after it ran") {
            await ended;
        }
        if (stage === "in the queue" || stage === "before the submit arrives") {
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        return { id, ended };
    }

    /** Occupies all slots of both agents, so that the next request waits in the queue. */
    async function fillSlots(): Promise<void> {
        const before = countExecutions();
        for (let index = 0; index < 2 * SLOTS; index++) {
            void harness.runRequest({ kind: "quote", body: LONG_BODY });
        }
        await waitUntil(() => countExecutions() - before === 2 * SLOTS, "all slots are taken");
    }

    function countExecutions(): number {
        return harness.agents.flatMap(agent => agent.runner.executed).length;
    }

    /** Lets held and repeated copies of the submit arrive, then checks the verdict against the number of runs. */
    async function expectOutcomeAfterReplay(id: string, outcome: Outcome, body = BODY): Promise<void> {
        for (const { proxy } of harness.agents) {
            proxy.faultFor = () => "none";
            proxy.release();
            proxy.replay("/submit");
        }
        await new Promise(resolve => setTimeout(resolve, 100));
        expectOutcomeMatchesRuns(outcome, harness.executionCount(id), body, false);
    }
});
