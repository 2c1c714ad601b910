import { expect } from "chai";
import type { Outcome, Verdict } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { ProxyFault } from "@tanagerdeck/standins/network/proxyStandin";
import type { RunnerFault } from "@tanagerdeck/standins/runner/runnerStandin";
import { expectTruth, startHarness, waitFor, type Harness } from "./requestHarness.spec.ts";

type Step = "submit" | "result" | "settle";
type Fault =
    | Exclude<ProxyFault, "none" | "freeze">
    | "refused"
    | "restarted"
    | "frozen and resumed"
    | "duplicated late";

/** Verdicts that a ticket's request may end with; the number of runs must agree with each. */
const EXPECTED: Record<Step, Partial<Record<Fault, Verdict[]>>> = {
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
const RUNNER_EXPECTED: Record<Exclude<RunnerFault, "none"> | "refused" | "killed", Verdict> = {
    refused: "not-run",
    killed: "may-have-run",
    "not-started": "not-run",
    cut: "may-have-run",
    silent: "may-have-run",
    truncate: "may-have-run",
    swap: "may-have-run",
};
const PAIR_FAULTS = ["cut-before", "cut-after", "silent-before", "silent-after", "hold"] as const;
/** Long enough for polls to follow the submit. */
const BODY = '{"ms":250}';
/** Longer than the silent time of the harness. */
const FREEZE_MS = 600;
const LATE_MS = 100;

describe("invariant 5: a request that may not be repeated runs at most once", () => {
    let harness: Harness;

    beforeEach(async () => {
        harness = await startHarness(1);
    });

    afterEach(() => harness.close());

    for (const step of ["submit", "result", "settle"] as const) {
        describe(`step: ${step}`, () => {
            for (const [fault, verdicts] of Object.entries(EXPECTED[step]) as [Fault, Verdict[]][]) {
                it(`fault: ${fault}: ${verdicts.join(" or ")}`, async () => {
                    injectOnce(step, fault);
                    const { id, outcome } = await harness.run({ body: BODY });
                    expect(verdicts).to.include(outcome.verdict);
                    await expectAtMostOnce(id, outcome);
                });
            }
        });
    }

    describe("step: runner call", () => {
        for (const [fault, verdict] of Object.entries(RUNNER_EXPECTED)) {
            it(`fault: ${fault}: ${verdict}`, async () => {
                const runner = harness.agents[0]!.runner;
                const id = await harness.ticket();
                if (fault === "refused") {
                    await runner.kill();
                } else if (fault !== "killed") {
                    runner.fault = fault as RunnerFault;
                }
                const running = harness.run({ id, body: BODY, deadlineMs: 1_000 });
                if (fault === "killed") {
                    await waitFor(() => harness.runs(id) === 1, "the runner has the request");
                    await runner.kill();
                }
                const { outcome } = await running;
                expect(outcome.verdict).to.equal(verdict);
                await expectAtMostOnce(id, outcome);
            });
        }
    });

    describe("step: submit and then settle", () => {
        for (const first of PAIR_FAULTS) {
            for (const second of [...PAIR_FAULTS, "restarted", "frozen and resumed"] as const) {
                it(`fault: ${first}, ${second}: the verdict agrees with the runs`, async () => {
                    inject({ submit: first, settle: second });
                    const { id, outcome } = await harness.run({ body: BODY, deadlineMs: 2_000 });
                    await expectAtMostOnce(id, outcome);
                });
            }
        }
    });

    describe("step: repeat at another entry", () => {
        it("fault: the first entry and the caller are gone: ran once, whole answer", async () => {
            const id = await harness.ticket();
            void harness.send({ id, body: BODY });
            await waitFor(() => harness.runs(id) === 1, "the runner has the request");
            const other = await startHarness(0);
            other.agents.push(...harness.agents);
            await other.publish();
            await harness.routing.stop();
            const { outcome } = await other.run({ id, body: BODY, firstSend: false });
            other.agents.splice(0);
            await other.close();
            expect(outcome.verdict).to.equal("ran");
            expectTruth(outcome, harness.runs(id), BODY, true);
        });

        it("fault: the agent is gone at the repeat: may have run, never not run", async () => {
            const { id, outcome } = await harness.run({ body: BODY });
            expect(outcome.verdict).to.equal("ran");
            await harness.agents[0]!.proxy.refuse();
            const repeat = await harness.run({ id, body: BODY, firstSend: false });
            expect(repeat.outcome.verdict).to.equal("may-have-run");
        });
    });

    /** Releases and repeats everything that could run the request again, and checks the runs. */
    async function expectAtMostOnce(id: string, outcome: Outcome): Promise<void> {
        const { proxy } = harness.agents[0]!;
        proxy.faultFor = () => "none";
        proxy.resume();
        proxy.release();
        proxy.replay("/submit");
        await new Promise(resolve => setTimeout(resolve, LATE_MS));
        expectTruth(outcome, harness.runs(id), BODY, true);
        const repeat = await harness.run({ id, body: BODY, firstSend: false, deadlineMs: 500 });
        expectTruth(repeat.outcome, harness.runs(id), BODY, true);
        if (outcome.verdict !== "may-have-run") {
            expect(repeat.outcome.verdict).to.be.oneOf([outcome.verdict, "may-have-run"]);
        }
    }

    /** The settle step is reached by a lost reply to the submit. */
    function injectOnce(step: Step, fault: Fault): void {
        inject(step === "settle" ? { submit: "cut-after", settle: fault } : { [step]: fault });
    }

    /** Applies each fault to the first call of its step. */
    function inject(faults: Partial<Record<Step, Fault>>): void {
        const pending = new Map(Object.entries(faults).map(([step, fault]) => [`/${step}`, fault]));
        const { proxy } = harness.agents[0]!;
        if (faults.submit === "refused") {
            const ask = harness.ticket;
            harness.ticket = async () => {
                const id = await ask();
                await proxy.refuse();
                return id;
            };
        }
        proxy.faultFor = path => {
            const fault = pending.get(path);
            pending.delete(path);
            return fault ? apply(fault) : "none";
        };
    }

    function apply(fault: Fault): ProxyFault {
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
