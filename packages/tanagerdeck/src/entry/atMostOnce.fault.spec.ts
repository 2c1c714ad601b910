import { expect } from "chai";
import type { Outcome, Verdict } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { ProxyFault } from "@tanagerdeck/standins/network/proxyStandin";
import type { RunnerFault } from "@tanagerdeck/standins/runner/runnerStandin";
import {
    expectOutcomeMatchesRuns,
    startRequestHarness,
    waitUntil,
    type RequestHarness,
} from "./testing/requestHarness.ts";

type Step = "submit" | "result" | "settle";
type Fault =
    | Exclude<ProxyFault, "none" | "freeze">
    | "refused"
    | "restarted"
    | "frozen and resumed"
    | "duplicated late";

/** Verdicts allowed for a request with a ticket, by step and fault; the number of runs must agree with them. */
const ALLOWED_VERDICTS: Record<Step, Partial<Record<Fault, Verdict[]>>> = {
    submit: {
        refused: ["not-run"],
        "cut-before": ["not-run"],
        "cut-after": ["ran"],
        "silent-before": ["not-run"],
        "silent-after": ["ran"],
        hold: ["not-run"],
        restarted: ["may-have-run"],
        "frozen and resumed": ["not-run", "ran"],
        "duplicated late": ["ran"],
    },
    result: {
        refused: ["may-have-run"],
        "cut-before": ["ran"],
        "cut-after": ["ran"],
        "silent-before": ["ran"],
        "silent-after": ["ran"],
        restarted: ["may-have-run"],
        "frozen and resumed": ["ran"],
    },
    settle: {
        refused: ["may-have-run"],
        "cut-before": ["ran"],
        "cut-after": ["ran"],
        "silent-before": ["ran"],
        "silent-after": ["ran"],
        restarted: ["may-have-run"],
        "frozen and resumed": ["ran"],
    },
};
const VERDICT_BY_RUNNER_FAULT: Record<Exclude<RunnerFault, "none"> | "refused" | "killed", Verdict> = {
    refused: "not-run",
    killed: "may-have-run",
    "not-started": "not-run",
    cut: "may-have-run",
    silent: "may-have-run",
    truncate: "may-have-run",
    swap: "may-have-run",
};
const COMBINED_FAULTS = ["cut-before", "cut-after", "silent-before", "silent-after", "hold"] as const;
/** Runs for longer than one poll window of the harness, so that polls follow the submit. */
const BODY = '{"ms":250}';
/** Longer than `SILENCE_TIMEOUT_MS` of the harness. */
const FREEZE_MS = 600;
/** Time for repeated copies of a submit to arrive. */
const DUPLICATE_DELIVERY_MS = 100;

// Guards against a second run of a request that may not be repeated, when calls or replies between entry, agent and
// runner are lost, delayed or duplicated, or a process restarts.
describe("invariant 5: a request that may not be repeated runs at most once", () => {
    let harness: RequestHarness;

    beforeEach(async () => {
        harness = await startRequestHarness(1);
    });

    afterEach(() => harness.close());

    for (const step of ["submit", "result", "settle"] as const) {
        describe(`step: ${step}`, () => {
            for (const [fault, verdicts] of Object.entries(ALLOWED_VERDICTS[step]) as [Fault, Verdict[]][]) {
                it(`fault: ${fault}: ${verdicts.join(" or ")}`, async () => {
                    injectFaultAt(step, fault);
                    const { id, outcome } = await harness.runRequest({ body: BODY });
                    expect(verdicts).to.include(outcome.verdict);
                    await expectAtMostOnce(id, outcome);
                });
            }
        });
    }

    describe("step: runner call", () => {
        for (const [fault, verdict] of Object.entries(VERDICT_BY_RUNNER_FAULT)) {
            it(`fault: ${fault}: ${verdict}`, async () => {
                const runner = harness.agents[0]!.runner;
                const id = await harness.obtainTicket();
                if (fault === "refused") {
                    await runner.kill();
                } else if (fault !== "killed") {
                    runner.fault = fault as RunnerFault;
                }
                const running = harness.runRequest({ id, body: BODY, deadlineMs: 1_000 });
                if (fault === "killed") {
                    await waitUntil(() => harness.executionCount(id) === 1, "the runner has the request");
                    await runner.kill();
                }
                const { outcome } = await running;
                expect(outcome.verdict).to.equal(verdict);
                await expectAtMostOnce(id, outcome);
            });
        }
    });

    describe("step: submit and then settle", () => {
        for (const firstFault of COMBINED_FAULTS) {
            for (const secondFault of [...COMBINED_FAULTS, "restarted", "frozen and resumed"] as const) {
                it(`fault: ${firstFault}, ${secondFault}: the verdict agrees with the runs`, async () => {
                    injectFaults({ submit: firstFault, settle: secondFault });
                    const { id, outcome } = await harness.runRequest({ body: BODY, deadlineMs: 2_000 });
                    await expectAtMostOnce(id, outcome);
                });
            }
        }
    });

    describe("step: repeat at another entry", () => {
        it("fault: the first entry and the caller are gone: ran once, whole answer", async () => {
            const id = await harness.obtainTicket();
            void harness.sendRequest({ id, body: BODY });
            await waitUntil(() => harness.executionCount(id) === 1, "the runner has the request");
            const otherEntry = await startRequestHarness(0);
            otherEntry.agents.push(...harness.agents);
            await otherEntry.publishFleet();
            await harness.routing.stop();
            const { outcome } = await otherEntry.runRequest({ id, body: BODY, firstSend: false });
            otherEntry.agents.splice(0);
            await otherEntry.close();
            expect(outcome.verdict).to.equal("ran");
            expectOutcomeMatchesRuns(outcome, harness.executionCount(id), BODY, true);
        });

        it("fault: the agent is gone at the repeat: may have run, never not run", async () => {
            const { id, outcome } = await harness.runRequest({ body: BODY });
            expect(outcome.verdict).to.equal("ran");
            await harness.agents[0]!.proxy.refuse();
            const repeat = await harness.runRequest({ id, body: BODY, firstSend: false });
            expect(repeat.outcome.verdict).to.equal("may-have-run");
        });
    });

    /** Delivers held and duplicated submits and repeats the request, then checks that it ran at most once. */
    async function expectAtMostOnce(id: string, outcome: Outcome): Promise<void> {
        const { proxy } = harness.agents[0]!;
        proxy.faultFor = () => "none";
        proxy.resume();
        proxy.release();
        proxy.replay("/submit");
        await new Promise(resolve => setTimeout(resolve, DUPLICATE_DELIVERY_MS));
        expectOutcomeMatchesRuns(outcome, harness.executionCount(id), BODY, true);
        const repeat = await harness.runRequest({ id, body: BODY, firstSend: false, deadlineMs: 500 });
        expectOutcomeMatchesRuns(repeat.outcome, harness.executionCount(id), BODY, true);
        if (outcome.verdict !== "may-have-run") {
            expect(repeat.outcome.verdict).to.be.oneOf([outcome.verdict, "may-have-run"]);
        }
    }

    /** Injects a fault at a step. To reach the settle step, the reply to the submit is lost as well. */
    function injectFaultAt(step: Step, fault: Fault): void {
        injectFaults(step === "settle" ? { submit: "cut-after", settle: fault } : { [step]: fault });
    }

    /** Injects each fault at the first call of its step. */
    function injectFaults(faults: Partial<Record<Step, Fault>>): void {
        const faultByPath = new Map(Object.entries(faults).map(([step, fault]) => [`/${step}`, fault]));
        const { proxy } = harness.agents[0]!;
        if (faults.submit === "refused") {
            const obtainTicket = harness.obtainTicket;
            harness.obtainTicket = async () => {
                const id = await obtainTicket();
                await proxy.refuse();
                return id;
            };
        }
        proxy.faultFor = path => {
            const fault = faultByPath.get(path);
            faultByPath.delete(path);
            return fault ? triggerFault(fault) : "none";
        };
    }

    /** Starts the fault and returns what the proxy does with the current call. */
    function triggerFault(fault: Fault): ProxyFault {
        const agent = harness.agents[0]!;
        switch (fault) {
            case "refused":
                void agent.proxy.refuse();
                return "cut-before";
            case "restarted":
                void agent.restart();
                return "cut-after";
            case "frozen and resumed":
                setTimeout(() => agent.proxy.resume(), FREEZE_MS);
                return "freeze";
            case "duplicated late":
                return "none";
            default:
                return fault;
        }
    }
});
