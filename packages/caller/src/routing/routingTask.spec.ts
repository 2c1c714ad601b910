import { noopMetrics } from "@tanagerdeck/runtime/metrics/metricsTypes";
import { startNoopSpan } from "@tanagerdeck/runtime/trace/traceTypes";
import { expect } from "chai";
import { Left, Right, type Either } from "purify-ts/Either";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import type { Progress } from "@tanagerdeck/decisions/request/requestTypes";
import { failure, type Failure, type Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import type { Reply, Task } from "@tanagerdeck/runtime/task/task";
import type { CallerRequest, RoutingMessage, RoutingReply } from "./routingState.ts";
import { startRoutingTask } from "./routingTask.ts";

const RATE = 10;
const WAITING = 5;
const FAILED = failure("not-run", "backend-error", "The runner is dead.");

describe("routing task", () => {
    let clock: ManualClock;
    let task: Task<RoutingMessage>;
    let submits: { agent: string; remainingMs: number }[];
    let answerFor: (agent: string, id: string) => Either<Failure, Progress>;
    let ids: number;

    beforeEach(() => {
        clock = createManualClock();
        submits = [];
        ids = 0;
        answerFor = (_agent, id) => Right(doneWithAnswer(id));
        const unused = async () => Left(failure("may-have-run", "unreachable", "unused"));
        task = startRoutingTask({
            availabilityZone: "windhoek",
            clock,
            log: noopLog,
            random: () => 0,
            newId: () => `n${ids++}`,
            digestOf: body => body,
            metrics: noopMetrics,
            startSpan: startNoopSpan,
            calls: {
                async submit(address, request) {
                    submits.push({ agent: address, remainingMs: request.remainingMs });
                    return answerFor(address, request.id);
                },
                result: unused,
                settle: unused,
                cancel: unused,
            },
        });
        task.send({ kind: "configuration", configuration: createConfiguration(["loud", "quiet"]) });
        sendAgents(0);
    });

    afterEach(() => task.stop());

    describe("when one account sends a burst", () => {
        it("delays and refuses only that account's requests and answers other accounts at once", async () => {
            const burst = Array.from({ length: 30 }, () => submit({ clientAccount: "loud" }));
            const quiet = await submit({ clientAccount: "quiet" });
            expect(quiet.verdict).to.equal("ran");
            await clock.advance(1_000);
            const outcomes = await Promise.all(burst);
            expect(outcomes.filter(each => each.verdict === "ran")).to.have.length(RATE + WAITING);
            const refused = outcomes.find(each => each.kind === "failure");
            expect(refused).to.include({ verdict: "not-run", reason: "limit-exceeded" });
        });

        it("refuses an id that may have been sent before with may-have-run", async () => {
            void Array.from({ length: 30 }, () => submit({ clientAccount: "loud" }));
            const repeat = await submit({ clientAccount: "loud", id: "own", firstSend: false });
            expect(repeat).to.include({ verdict: "may-have-run", reason: "limit-exceeded" });
        });

        it("passes on the deadline, less the time that the request waited at the entry", async () => {
            void Array.from({ length: 12 }, () => submit({ clientAccount: "loud" }));
            await clock.advance(1_000);
            expect(submits[0]?.remainingMs).to.equal(5_000);
            expect(submits.at(-1)?.remainingMs).to.equal(4_800);
        });
    });

    describe("when several entries serve one environment", () => {
        it("divides an account's rate among the entries", async () => {
            task.send({ kind: "entries", count: 2 });
            void Array.from({ length: 30 }, () => submit({ clientAccount: "loud" }));
            await clock.advance(1_000);
            expect(submits.length).to.be.at.most(10);
        });
    });

    describe("when a backend server fails every request", () => {
        beforeEach(async () => {
            answerFor = (agent, id) =>
                Right(agent === "a1" ? { kind: "done", id, outcome: FAILED } : doneWithAnswer(id));
            for (let index = 0; index < 8; index++) {
                sendAgents(index);
                await submit({ clientAccount: "quiet" });
                await clock.advance(1_000);
            }
        });

        it("quarantines it, although its failures keep its load low", () => {
            expect(submits.filter(({ agent }) => agent === "a1").length).to.be.lessThan(7);
            expect(submits.at(-1)?.agent).to.equal("a2");
        });

        it("sends it a probe after 10 s", async () => {
            answerFor = (_agent, id) => Right(doneWithAnswer(id));
            submits = [];
            await clock.advance(10_000);
            sendAgents(100);
            await submit({ clientAccount: "quiet" });
            await submit({ clientAccount: "quiet" });
            expect(submits[0]?.agent).to.equal("a1");
        });
    });

    function submit(change: Partial<CallerRequest>): Promise<Outcome> {
        const request: CallerRequest = {
            id: undefined,
            firstSend: true,
            clientAccount: "quiet",
            kind: "quote",
            deadlineMs: 5_000,
            body: "{}",
            ...change,
        };
        return task
            .ask((reply: Reply<RoutingReply>) => ({ kind: "request", request, reply }))
            .then(reply =>
                reply.kind === "outcome" ? reply.outcome : failure("not-run", "invalid", "ticket"),
            );
    }

    function sendAgents(sequence: number): void {
        task.send({
            kind: "fleet",
            agents: [createAgentView("a1", sequence, 0), createAgentView("a2", sequence, 20)],
        });
    }
});

function doneWithAnswer(id: string): Progress {
    const answer = { body: "b", length: 1, digest: "b" };
    return { kind: "done", id, outcome: { kind: "answer", verdict: "ran", answer } };
}

function createAgentView(name: string, sequence: number, expectedWaitMs: number): AgentView {
    const waitByPriority = { urgent: expectedWaitMs, normal: expectedWaitMs, batch: expectedWaitMs };
    const runner = {
        slots: 8,
        running: 0,
        waiting: 0,
        expectedWaitMs,
        typicalRunMs: 10,
        ledgerTime: 0,
        waitByPriority,
    };
    return {
        state: "serving",
        report: {
            name,
            incarnation: "one",
            sequence,
            address: name,
            availabilityZone: "windhoek",
            server: "runner",
            state: "serving",
            configurationRevision: 1,
            runner,
            gangs: [],
            usage: [],
        },
    };
}

function createConfiguration(accounts: string[]): Configuration {
    const quota = { accelerators: 0, requestsPerSecond: RATE, waiting: WAITING };
    return {
        revision: 1,
        digest: "",
        changeId: "",
        bindings: [],
        document: {
            clientAccounts: accounts.map(name => ({
                name,
                tokenDigests: [],
                guarantees: [],
                quota,
                weight: 1,
            })),
            kinds: [
                {
                    name: "quote",
                    clientAccounts: accounts,
                    repeatable: true,
                    form: "request",
                    limits: { seconds: 1, bytes: 100, accelerators: 0 },
                    priority: "urgent",
                },
            ],
            racks: [],
            weights: { completionTime: 1, fragmentation: 1 },
            whenPlatformUnreachable: "serve",
        },
    };
}
