import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { requestDocument } from "@tanagerdeck/standins/document/requestDocument";
import type { SpanLine } from "@tanagerdeck/runtime/trace/spanExporters";
import { pollUntil } from "@tanagerdeck/standins/processes/polling";
import { createProcessGroup, type ProcessGroup } from "@tanagerdeck/standins/processes/processGroup";
import { agentSettings, entrySettings } from "@tanagerdeck/standins/processes/processSettings";
import { bundlePrograms } from "@tanagerdeck/standins/processes/programBundle";

const ANY_PORT = "127.0.0.1:0";
const CALLER_TOKEN = "caller-token-for-traces";
const POLL_TIMEOUT_MS = 10_000;
const CALLER_TRACE_ID = "0af7651916cd43dd8448eb211c80319c";
/** Names of the spans of one request, each the parent of the next. */
const SPAN_NAMES = ["POST /v1/requests", "route request", "call agent", "serve submit", "POST /run"];

const DOCUMENT = requestDocument(CALLER_TOKEN);

// Guards against a trace context that is lost between two processes, and against tokens in spans or metrics.
describe("the trace of a request", () => {
    const programs = mkdtempSync(join(tmpdir(), "tanagerdeck-programs-"));
    let group: ProcessGroup;
    let callerAddress: string;
    let metricsAddress: string;

    before(async () => {
        await bundlePrograms(programs);
        group = createProcessGroup({ programs });
        const standin = { address: ANY_PORT, controlAddress: ANY_PORT };
        const platform = await group.start("platform", { name: "platform", ...standin });
        const runner = await group.start("runner", { name: "runner", ...standin });
        const environment = {
            environment: "test",
            region: "khomas",
            peerToken: "peer-token-for-tests",
            operatorToken: "operator-token-for-tests",
            logLevel: "error" as const,
            traceSampleRatio: 1,
            traceFile: join(group.folder, "spans.jsonl"),
        };
        const availabilityZone = "windhoek";
        const platformAddress = platform.addresses.address!;
        const entry = await group.start(
            "tanagerdeck",
            entrySettings(environment, { name: "entry-1", availabilityZone, platformAddress, lingerMs: 0 }),
            "entry",
        );
        const server = {
            kind: "runner" as const,
            address: runner.addresses.address!,
            slots: 8,
            connections: 64,
        };
        const seeds = [entry.addresses.peerAddress!];
        await group.start(
            "tanagerdeck",
            agentSettings(environment, { name: "agent-1", availabilityZone, seeds, server }),
            "agent",
        );
        callerAddress = entry.addresses.callerAddress!;
        metricsAddress = entry.addresses.metricsAddress!;
        const change = { text: JSON.stringify(DOCUMENT), expectedRevision: 0, changeId: "first" };
        await fetch(`http://${entry.addresses.operatorAddress}/v1/configuration`, {
            method: "POST",
            headers: { authorization: `Bearer ${environment.operatorToken}` },
            body: JSON.stringify(change),
        });
    });
    after(async () => {
        await group.stopAll();
        rmSync(programs, { recursive: true, force: true });
    });

    async function submit(headers: Record<string, string>): Promise<boolean> {
        const response = await fetch(`http://${callerAddress}/v1/requests`, {
            method: "POST",
            headers: { authorization: `Bearer ${CALLER_TOKEN}`, ...headers },
            body: JSON.stringify({ kind: "quote", deadlineMs: 5_000, body: '{"ms":1}' }),
        });
        await response.text();
        return response.ok;
    }

    function readSpans(traceId: string): SpanLine[] {
        const lines = readFileSync(join(group.folder, "spans.jsonl"), "utf8").trim().split("\n");
        return lines.map(line => JSON.parse(line) as SpanLine).filter(span => span.traceId === traceId);
    }

    describe("when entry and agent export spans", () => {
        it("links the spans from the caller's trace context to the runner call", async () => {
            await pollUntil(() => submit({}), POLL_TIMEOUT_MS, "an answered request");
            await submit({ traceparent: `00-${CALLER_TRACE_ID}-b7ad6b7169203331-01` });
            await pollUntil(
                () => readSpans(CALLER_TRACE_ID).length === SPAN_NAMES.length,
                POLL_TIMEOUT_MS,
                "a span for each hop",
            );
            let parent = "b7ad6b7169203331";
            for (const spanName of SPAN_NAMES) {
                const span = readSpans(CALLER_TRACE_ID).find(candidate => candidate.name === spanName);
                expect(span?.parentSpanId, spanName).to.equal(parent);
                parent = span!.spanId;
            }
        });

        it("contains no token", () => {
            expect(readFileSync(join(group.folder, "spans.jsonl"), "utf8")).not.to.contain(CALLER_TOKEN);
        });
    });

    describe("in the metrics", () => {
        it("counts the request by verdict", async () => {
            const text = await (await fetch(`http://${metricsAddress}/metrics`)).text();
            expect(text).to.match(/tanagerdeck_ended_total\{form="request",verdict="ran"\} [1-9]/);
            expect(text).not.to.contain(CALLER_TOKEN);
        });
    });
});
