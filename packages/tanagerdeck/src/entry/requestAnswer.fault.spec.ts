import { Right } from "purify-ts/Either";
import { noopMetrics } from "@tanagerdeck/runtime/metrics/metricsTypes";
import { startNoopSpan } from "@tanagerdeck/runtime/trace/traceTypes";
import { expect } from "chai";
import { startCallerListener } from "@tanagerdeck/caller/listener/callerListener";
import { createRequestRoutes } from "@tanagerdeck/caller/routing/requestRoutes";
import type { RoutingReply } from "@tanagerdeck/caller/routing/routingState";
import type { Progress } from "@tanagerdeck/decisions/request/requestTypes";
import type { Answer, Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { POLL_SILENT_MS } from "@tanagerdeck/peer/link/peerClient";
import { tokenDigest } from "@tanagerdeck/runtime/access/token";
import type { Listener } from "@tanagerdeck/runtime/http/listener";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import {
    CONFIGURATION,
    expectTruth,
    SETTLE_TIMEOUT_MS,
    SILENT_MS,
    startHarness,
    waitFor,
    type Harness,
} from "./requestHarness.spec.ts";

const CALLER_TOKEN = "caller-token-for-tests";
/** Stated target for the detection of a silent connection. */
const DETECTION_TARGET_MS = 2_500;

type Damage = "cut within the body" | "changed body" | "reply to another request";
const DAMAGES: Record<Damage, (answer: Answer) => Partial<Answer>> = {
    "cut within the body": ({ body }) => ({ body: body.slice(0, -1) }),
    "changed body": ({ body }) => ({ body: body.replace("echo", "ocho") }),
    "reply to another request": answer => answer,
};

describe("invariant 3: a caller receives the complete answer to its own request", () => {
    let harness: Harness;

    beforeEach(async () => {
        harness = await startHarness(2);
    });

    afterEach(() => harness.close());

    describe("step: result", () => {
        it("fault: replies out of order: each caller gets its own answer", async () => {
            const bodies = Array.from(
                { length: 40 },
                (_, index) => `{"ms":${(index * 37) % 300},"n":${index}}`,
            );
            const ended = await Promise.all(bodies.map(body => harness.run({ body })));
            for (const [index, { id, outcome }] of ended.entries()) {
                expect(outcome.kind).to.equal("answer");
                expectTruth(outcome, harness.runs(id), bodies[index] ?? "", true);
            }
        });

        for (const damage of Object.keys(DAMAGES) as Damage[]) {
            it(`fault: ${damage}, once: whole answer after a second poll`, async () => {
                tamper(damage, 1);
                const { id, outcome } = await harness.run({ body: '{"ms":5}' });
                expect(outcome.kind).to.equal("answer");
                expectTruth(outcome, harness.runs(id), '{"ms":5}', true);
            });

            it(`fault: ${damage}, each time: ran, without a body`, async () => {
                tamper(damage, Number.POSITIVE_INFINITY);
                const { outcome } = await harness.run({ body: '{"ms":5}' });
                expect(outcome).to.include({ kind: "failure", verdict: "ran", reason: "answer-damaged" });
            });
        }
    });

    describe("step: submit", () => {
        it("fault: one connection silent for good: settled within 2,500 ms, others go on", async () => {
            await harness.close();
            harness = await startHarness(1, POLL_SILENT_MS);
            const { proxy } = harness.agents[0]!;
            let settledAt = 0;
            let faults = 1;
            proxy.faultFor = path => {
                settledAt = path === "/settle" ? performance.now() : settledAt;
                return path === "/submit" && faults-- > 0 ? "silent-after" : "none";
            };
            const id = await harness.ticket();
            const start = performance.now();
            const silent = harness.run({ id, body: '{"ms":1}' });
            await waitFor(() => harness.runs(id) === 1, "the runner has the request");
            const other = await harness.run({ body: '{"ms":2}' });
            expect(other.outcome.kind).to.equal("answer");
            expect(performance.now() - start).to.be.lessThan(1_000);
            expect((await silent).outcome.kind).to.equal("answer");
            expect(settledAt - start).to.be.lessThan(DETECTION_TARGET_MS);
        });
    });

    describe("step: settle", () => {
        it("fault: all open connections silent for good: settled on a new one at once", async () => {
            await harness.close();
            harness = await startHarness(1);
            await Promise.all(Array.from({ length: 8 }, () => harness.run({ body: '{"ms":50}' })));
            const id = await harness.ticket();
            for (const { proxy } of harness.agents) {
                proxy.silence();
            }
            const start = performance.now();
            const { outcome } = await harness.run({ id, body: "{}" });
            expect(outcome.verdict).to.equal("not-run");
            expect(performance.now() - start).to.be.lessThan(SILENT_MS + SETTLE_TIMEOUT_MS);
        });
    });

    describe("step: answer to the caller", () => {
        let listener: Listener;

        beforeEach(async () => {
            listener = await startCallers(harness);
        });

        afterEach(() => listener.close());

        it("fault: caller gone: the request goes on and a repeat gets the answer", async () => {
            const id = await harness.ticket();
            const body = '{"ms":300}';
            const gone = new AbortController();
            const first = post({ kind: "book", id, deadlineMs: 5_000, body }, gone.signal);
            await waitFor(() => harness.runs(id) === 1, "the runner has the request");
            gone.abort();
            await first.catch(() => undefined);
            const repeat = await post({ kind: "book", id, deadlineMs: 5_000, body });
            expect(repeat.status).to.equal(200);
            expect(repeat.headers.get("x-request-id")).to.equal(encodeURIComponent(id));
            expect(((await repeat.json()) as { echo: string }).echo).to.equal(body);
            expect(harness.runs(id)).to.equal(1);
        });

        it("fault: repeat with another body: conflict, never the other body's answer", async () => {
            const { id } = await harness.run({ body: '{"ms":1}' });
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

    function tamper(damage: Damage, times: number): void {
        let left = times;
        harness.tamper = progress => {
            if (progress.kind === "pending" || progress.outcome.kind === "failure" || left-- <= 0) {
                return progress;
            }
            return damaged(damage, progress, progress.outcome.answer);
        };
    }
});

function damaged(damage: Damage, progress: Extract<Progress, { kind: "done" }>, answer: Answer): Progress {
    const id = damage === "reply to another request" ? "another" : progress.id;
    const changed = { ...answer, ...DAMAGES[damage](answer) };
    return { kind: "done", id, outcome: { kind: "answer", verdict: "ran", answer: changed } };
}

function startCallers(harness: Harness): Promise<Listener> {
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
