import { Right } from "purify-ts/Either";
import { noopMetrics } from "@tanagerdeck/runtime/metrics/metricsTypes";
import { startNoopSpan } from "@tanagerdeck/runtime/trace/traceTypes";
import { expect } from "chai";
import { startCallerListener } from "@tanagerdeck/caller/listener/callerListener";
import { createRequestRoutes } from "@tanagerdeck/caller/routing/requestRoutes";
import type { RoutingReply } from "@tanagerdeck/caller/routing/routingState";
import type { Progress } from "@tanagerdeck/decisions/request/requestTypes";
import type { Answer, Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { POLL_IDLE_TIMEOUT_MS } from "@tanagerdeck/peer/link/peerClient";
import { tokenDigest } from "@tanagerdeck/runtime/access/token";
import type { Listener } from "@tanagerdeck/runtime/http/listener";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import {
    CONFIGURATION,
    expectOutcomeMatchesRuns,
    SETTLE_TIMEOUT_MS,
    SILENCE_TIMEOUT_MS,
    startRequestHarness,
    waitUntil,
    type RequestHarness,
} from "./testing/requestHarness.ts";

const CALLER_TOKEN = "caller-token-for-tests";
/** Specified time within which a connection without traffic is detected and its request settled. */
const DETECTION_TARGET_MS = 2_500;

/** Damage that a reply of an agent can have. */
type Damage = "cut within the body" | "changed body" | "reply to another request";
/** Fields of the answer that each damage replaces. */
const DAMAGED_FIELDS: Record<Damage, (answer: Answer) => Partial<Answer>> = {
    "cut within the body": ({ body }) => ({ body: body.slice(0, -1) }),
    "changed body": ({ body }) => ({ body: body.replace("echo", "ocho") }),
    "reply to another request": answer => answer,
};

// Guards against a truncated or changed answer, or one to another request, that reaches a caller, and against a
// connection without traffic that blocks other requests.
describe("invariant 3: a caller receives the complete answer to its own request", () => {
    let harness: RequestHarness;

    beforeEach(async () => {
        harness = await startRequestHarness(2);
    });

    afterEach(() => harness.close());

    describe("step: result", () => {
        it("fault: replies out of order: each caller gets its own answer", async () => {
            const bodies = Array.from(
                { length: 40 },
                (_, index) => `{"ms":${(index * 37) % 300},"n":${index}}`,
            );
            const ended = await Promise.all(bodies.map(body => harness.runRequest({ body })));
            for (const [index, { id, outcome }] of ended.entries()) {
                expect(outcome.kind).to.equal("answer");
                expectOutcomeMatchesRuns(outcome, harness.executionCount(id), bodies[index] ?? "", true);
            }
        });

        for (const damage of Object.keys(DAMAGED_FIELDS) as Damage[]) {
            it(`fault: ${damage}, once: whole answer after a second poll`, async () => {
                damageReplies(damage, 1);
                const { id, outcome } = await harness.runRequest({ body: '{"ms":5}' });
                expect(outcome.kind).to.equal("answer");
                expectOutcomeMatchesRuns(outcome, harness.executionCount(id), '{"ms":5}', true);
            });

            it(`fault: ${damage}, each time: ran, without a body`, async () => {
                damageReplies(damage, Number.POSITIVE_INFINITY);
                const { outcome } = await harness.runRequest({ body: '{"ms":5}' });
                expect(outcome).to.include({ kind: "failure", verdict: "ran", reason: "answer-damaged" });
            });
        }
    });

    describe("step: submit", () => {
        it("fault: one connection silent for good: settled within 2,500 ms, others go on", async () => {
            await harness.close();
            harness = await startRequestHarness(1, POLL_IDLE_TIMEOUT_MS);
            const { proxy } = harness.agents[0]!;
            let settledAt = 0;
            let faults = 1;
            proxy.faultFor = path => {
                settledAt = path === "/settle" ? performance.now() : settledAt;
                return path === "/submit" && faults-- > 0 ? "silent-after" : "none";
            };
            const id = await harness.obtainTicket();
            const start = performance.now();
            const silent = harness.runRequest({ id, body: '{"ms":1}' });
            await waitUntil(() => harness.executionCount(id) === 1, "the runner has the request");
            const other = await harness.runRequest({ body: '{"ms":2}' });
            expect(other.outcome.kind).to.equal("answer");
            expect(performance.now() - start).to.be.lessThan(1_000);
            expect((await silent).outcome.kind).to.equal("answer");
            expect(settledAt - start).to.be.lessThan(DETECTION_TARGET_MS);
        });
    });

    describe("step: settle", () => {
        it("fault: all open connections silent for good: settled on a new one at once", async () => {
            await harness.close();
            harness = await startRequestHarness(1);
            await Promise.all(Array.from({ length: 8 }, () => harness.runRequest({ body: '{"ms":50}' })));
            const id = await harness.obtainTicket();
            let silentSubmits = 1;
            for (const { proxy } of harness.agents) {
                proxy.silence();
                // Open connections that have been idle for seconds are closed, so that the submit may open one.
                proxy.faultFor = path =>
                    path === "/submit" && silentSubmits-- > 0 ? "silent-before" : "none";
            }
            const start = performance.now();
            const { outcome } = await harness.runRequest({ id, body: "{}" });
            expect(outcome.verdict).to.equal("not-run");
            expect(performance.now() - start).to.be.lessThan(SILENCE_TIMEOUT_MS + SETTLE_TIMEOUT_MS);
        });
    });

    describe("step: answer to the caller", () => {
        let listener: Listener;

        beforeEach(async () => {
            listener = await startRoutedListener(harness);
        });

        afterEach(() => listener.close());

        it("fault: caller gone: the request goes on and a repeat gets the answer", async () => {
            const id = await harness.obtainTicket();
            const body = '{"ms":300}';
            const callerConnection = new AbortController();
            const first = post({ kind: "book", id, deadlineMs: 5_000, body }, callerConnection.signal);
            await waitUntil(() => harness.executionCount(id) === 1, "the runner has the request");
            callerConnection.abort();
            await first.catch(() => undefined);
            const repeat = await post({ kind: "book", id, deadlineMs: 5_000, body });
            expect(repeat.status).to.equal(200);
            expect(repeat.headers.get("x-request-id")).to.equal(encodeURIComponent(id));
            expect(((await repeat.json()) as { echo: string }).echo).to.equal(body);
            expect(harness.executionCount(id)).to.equal(1);
        });

        it("fault: repeat with another body: conflict, never the other body's answer", async () => {
            const { id } = await harness.runRequest({ body: '{"ms":1}' });
            const repeat = await post({ kind: "book", id, deadlineMs: 5_000, body: '{"ms":2}' });
            expect(repeat.status).to.equal(409);
        });

        function post(request: object, signal?: AbortSignal): Promise<Response> {
            return fetch(`http://${listener.address}/v1/requests`, {
                method: "POST",
                headers: { authorization: `Bearer ${CALLER_TOKEN}` },
                body: JSON.stringify(request),
                signal,
            });
        }
    });

    /** Damages the next `times` answers on their way from the agents. */
    function damageReplies(damage: Damage, times: number): void {
        let remaining = times;
        harness.alterReply = progress => {
            if (progress.kind === "pending" || progress.outcome.kind === "failure" || remaining-- <= 0) {
                return progress;
            }
            return damageAnswer(damage, progress, progress.outcome.answer);
        };
    }
});

function damageAnswer(
    damage: Damage,
    progress: Extract<Progress, { kind: "done" }>,
    answer: Answer,
): Progress {
    const id = damage === "reply to another request" ? "another" : progress.id;
    const changed = { ...answer, ...DAMAGED_FIELDS[damage](answer) };
    return { kind: "done", id, outcome: { kind: "answer", verdict: "ran", answer: changed } };
}

/** Starts a caller listener in front of the harness. */
function startRoutedListener(harness: RequestHarness): Promise<Listener> {
    const { document } = CONFIGURATION;
    const clientAccounts = document.clientAccounts.map(account => ({
        ...account,
        tokenDigests: [tokenDigest(CALLER_TOKEN)],
    }));
    const configuration = { ...CONFIGURATION, document: { ...document, clientAccounts } };
    const { routing } = harness;
    return startCallerListener({
        address: "127.0.0.1:0",
        configuration: async () => configuration,
        admit: async () => Right(configuration),
        metrics: noopMetrics,
        routes: createRequestRoutes({
            submit: request =>
                routing.ask((reply: Reply<RoutingReply>) => ({ kind: "request", request, reply })),
            cancel: (id, clientAccount) =>
                routing.ask((reply: Reply<Outcome>) => ({ kind: "cancel", id, clientAccount, reply })),
            startRootSpan: startNoopSpan,
        }),
    });
}
