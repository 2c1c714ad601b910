import type { Either } from "purify-ts/Either";
import { expect } from "chai";
import { nanoid } from "nanoid";
import { createRunnerClient } from "@tanagerdeck/backend/runner/runnerClient";
import { startRunnerTask, type RunnerMessage } from "@tanagerdeck/backend/runner/runnerTask";
import type {
    AgentCalls,
    CallerRequest,
    RoutingMessage,
    RoutingReply,
} from "@tanagerdeck/caller/routing/routingState";
import { startRoutingTask } from "@tanagerdeck/caller/routing/routingTask";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { AgentState, RunnerLoad } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { Progress } from "@tanagerdeck/decisions/request/requestTypes";
import type { Failure, Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { noGangHandlers } from "@tanagerdeck/peer/gang/gangHandlers";
import { noopMetrics } from "@tanagerdeck/runtime/metrics/metricsTypes";
import { startNoopSpan } from "@tanagerdeck/runtime/trace/traceTypes";
import { createAgentRouter } from "@tanagerdeck/peer/link/agentRouter";
import { createPeerClients } from "@tanagerdeck/peer/link/peerClient";
import { startPeerListener } from "@tanagerdeck/peer/link/peerListener";
import { bodyDigest } from "@tanagerdeck/runtime/access/bodyDigest";
import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import type { Listener } from "@tanagerdeck/runtime/http/listener";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import type { Reply, Task } from "@tanagerdeck/runtime/task/task";
import { startProxyStandin, type ProxyStandin } from "@tanagerdeck/standins/network/proxyStandin";
import {
    echoBehaviour,
    startRunnerStandin,
    type RunnerStandin,
} from "@tanagerdeck/standins/runner/runnerStandin";
import { createAgentCalls } from "../agentCalls.ts";

const PEER_TOKEN = "peer-token-for-tests";
const ANY_PORT = "127.0.0.1:0";
const POLL_WINDOW_MS = 100;
/** Time without traffic after which a connection fails; shorter than in production to keep the tests short. */
export const SILENCE_TIMEOUT_MS = 400;
/** Time after which a `settle` call without a reply is repeated. */
export const SETTLE_TIMEOUT_MS = 300;
const DEADLINE_MS = 6_000;
const WAIT_TIMEOUT_MS = 5_000;
const QUOTA = { accelerators: 0, requestsPerSecond: 1_000, waiting: 100 };

/** Configuration of the harness: requests of kind `quote` may be repeated, those of kind `book` may not. */
export const CONFIGURATION = {
    revision: 1,
    digest: "",
    changeId: "",
    bindings: [],
    document: {
        clientAccounts: [{ name: "counter", tokenDigests: [], guarantees: [], quota: QUOTA, weight: 1 }],
        kinds: ["book", "quote"].map(name => ({
            name,
            clientAccounts: ["counter"],
            repeatable: name === "quote",
            form: "request",
            limits: { seconds: 10, bytes: 10_000, accelerators: 0 },
            priority: "urgent",
        })),
        racks: [],
        weights: { completionTime: 1, fragmentation: 1 },
        whenPlatformUnreachable: "serve",
    },
} as Configuration;

/** An agent in the test process, reached through a fault-injecting proxy, with its runner stand-in. */
export interface HarnessAgent {
    name: string;
    incarnation: string;
    proxy: ProxyStandin;
    runner: RunnerStandin;
    task: Task<RunnerMessage>;
    /** Replaces the agent by a new incarnation behind the same proxy. */
    restart(): Promise<void>;
    close(): Promise<void>;
}

/** The routing task of one entry, connected to agents in the same process. */
export interface RequestHarness {
    routing: Task<RoutingMessage>;
    agents: HarnessAgent[];
    /** Changes the replies of agents before the routing task receives them. */
    alterReply: (progress: Progress) => Progress;
    /** Sends the current reports of all agents to the routing task. */
    publishFleet(state?: AgentState): Promise<void>;
    sendRequest(request: Partial<CallerRequest>): Promise<RoutingReply>;
    /** Sends a request, after obtaining a ticket if its kind may not be repeated and it has no id. */
    runRequest(request: Partial<CallerRequest>): Promise<{ id: string; outcome: Outcome }>;
    /** Obtains a ticket, which is the id of a request that may not be repeated. */
    obtainTicket(): Promise<string>;
    cancel(id: string): Promise<Outcome>;
    /** Counts the executions of a request on all runners. */
    executionCount(id: string): number;
    close(): Promise<void>;
}

const IGNORED_EVENTS = { onStaleConfiguration: () => undefined, onConnectionRefused: () => undefined };

/** Starts a routing task with `count` agents; a connection without traffic for `silentMs` fails. */
export async function startRequestHarness(
    count: number,
    silentMs = SILENCE_TIMEOUT_MS,
): Promise<RequestHarness> {
    const clients = createPeerClients(PEER_TOKEN, silentMs);
    const agents: HarnessAgent[] = [];
    for (let index = 0; index < count; index++) {
        agents.push(await startHarnessAgent(`agent-${index + 1}`));
    }
    const routing = startRoutingTask({
        availabilityZone: "windhoek",
        clock: systemClock,
        log: noopLog,
        random: Math.random,
        newId: nanoid,
        digestOf: bodyDigest,
        calls: alterReplies(
            createAgentCalls(clients, IGNORED_EVENTS, startNoopSpan, SETTLE_TIMEOUT_MS),
            progress => harness.alterReply(progress),
        ),
        metrics: noopMetrics,
        startSpan: startNoopSpan,
    });
    let sequence = 0;
    const harness: RequestHarness = {
        routing,
        agents,
        alterReply: progress => progress,
        async publishFleet(state = "serving") {
            sequence++;
            const views = agents.map(async agent => ({ state, report: await createReport(agent, sequence) }));
            routing.send({ kind: "fleet", agents: await Promise.all(views) });
        },
        sendRequest(change) {
            const request: CallerRequest = {
                id: undefined,
                firstSend: true,
                clientAccount: "counter",
                kind: "book",
                deadlineMs: DEADLINE_MS,
                body: "{}",
                ...change,
            };
            return routing.ask((reply: Reply<RoutingReply>) => ({ kind: "request", request, reply }));
        },
        async runRequest(change) {
            const id = change.id ?? (change.kind === "quote" ? nanoid() : await harness.obtainTicket());
            const reply = await harness.sendRequest({ ...change, id });
            if (reply.kind !== "outcome") {
                throw new Error("The routing task issued a ticket for a request that already has an id.");
            }
            return { id, outcome: reply.outcome };
        },
        async obtainTicket() {
            const reply = await harness.sendRequest({});
            return reply.kind === "ticket" ? reply.ticket : "";
        },
        cancel: id =>
            routing.ask((reply: Reply<Outcome>) => ({ kind: "cancel", id, clientAccount: "counter", reply })),
        executionCount: id =>
            agents.flatMap(agent => agent.runner.executed).filter(each => each === id).length,
        async close() {
            await routing.stop();
            await clients.close();
            await Promise.all(agents.map(agent => agent.close()));
        },
    };
    routing.send({ kind: "configuration", configuration: CONFIGURATION });
    await harness.publishFleet();
    return harness;
}

/** Polls until a condition holds; throws after 5 s. */
export async function waitUntil(condition: () => boolean, description: string): Promise<void> {
    const end = performance.now() + WAIT_TIMEOUT_MS;
    while (!condition()) {
        if (performance.now() > end) {
            throw new Error(`Timed out waiting until ${description}.`);
        }
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

/**
 * Checks that the verdict agrees with the number of runs on the runners, that a request with a ticket ran at most
 * once, and that an answer belongs to the caller's own request.
 */
export function expectOutcomeMatchesRuns(
    outcome: Outcome,
    runs: number,
    body: string,
    atMostOnce: boolean,
): void {
    if (outcome.verdict === "not-run") {
        expect(runs, "runs after not-run").to.equal(0);
    }
    if (outcome.verdict === "ran") {
        expect(runs, "runs after ran").to.be.greaterThan(0);
    }
    if (atMostOnce) {
        expect(runs, "runs of a ticket").to.be.lessThan(2);
    }
    if (outcome.kind === "answer") {
        expect((JSON.parse(outcome.answer.body) as { echo: string }).echo).to.equal(body);
    }
}

async function startHarnessAgent(name: string): Promise<HarnessAgent> {
    const runner = await startRunnerStandin(ANY_PORT, echoBehaviour);
    let instance = await startAgentInstance(runner);
    const proxy = await startProxyStandin(instance.listener.address);
    const agent: HarnessAgent = {
        name,
        incarnation: instance.incarnation,
        proxy,
        runner,
        task: instance.task,
        async restart() {
            proxy.cut();
            await instance.stop();
            instance = await startAgentInstance(runner);
            proxy.target = instance.listener.address;
            agent.task = instance.task;
            agent.incarnation = instance.incarnation;
        },
        async close() {
            await proxy.close();
            await instance.stop();
            await runner.kill();
        },
    };
    return agent;
}

/** One incarnation of a harness agent. */
interface AgentInstance {
    incarnation: string;
    listener: Listener;
    task: Task<RunnerMessage>;
    stop(): Promise<void>;
}

async function startAgentInstance(runner: RunnerStandin): Promise<AgentInstance> {
    const incarnation = nanoid(10);
    const client = createRunnerClient(runner.listener.address, 64);
    const task = startRunnerTask({
        incarnation,
        slots: 8,
        clock: systemClock,
        log: noopLog,
        run: client.run,
        digestOf: bodyDigest,
        pollWindowMs: POLL_WINDOW_MS,
    });
    const askTask = (build: (reply: Reply<Progress>) => RunnerMessage) => task.ask(build);
    const router = createAgentRouter({
        gangs: noGangHandlers,
        requests: {
            submit: ({ request, send }) => askTask(reply => ({ kind: "submit", request, send, reply })),
            result: reference => askTask(reply => ({ kind: "result", reference, reply })),
            settle: reference => askTask(reply => ({ kind: "settle", reference, reply })),
            cancel: reference => askTask(reply => ({ kind: "cancel", reference, reply })),
        },
        drain: async () => ({ draining: true as const }),
    });
    const listener = await startPeerListener(ANY_PORT, PEER_TOKEN, router);
    return {
        incarnation,
        listener,
        task,
        async stop() {
            await task.stop();
            await client.close();
            void listener.close();
        },
    };
}

async function createReport(agent: HarnessAgent, sequence: number) {
    const runner = await agent.task.ask((reply: Reply<RunnerLoad>) => ({ kind: "load", reply }));
    return {
        name: agent.name,
        incarnation: agent.incarnation,
        sequence,
        address: agent.proxy.address,
        // Routing prefers agents in the entry's availability zone, so the first agent is chosen first.
        availabilityZone: agent.name === "agent-1" ? "windhoek" : "swakop",
        server: "runner" as const,
        state: "serving" as const,
        configurationRevision: 1,
        runner,
        gangs: [],
        usage: [],
    };
}

function alterReplies(calls: AgentCalls, tamper: (progress: Progress) => Progress): AgentCalls {
    const apply = async (call: Promise<Either<Failure, Progress>>) => (await call).map(tamper);
    return {
        ...calls,
        submit: (address, request, send, revision) => apply(calls.submit(address, request, send, revision)),
        result: (address, reference) => apply(calls.result(address, reference)),
        settle: (address, reference) => apply(calls.settle(address, reference)),
    };
}
