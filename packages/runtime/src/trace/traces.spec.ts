import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { readBody, sendJson, startListener } from "../http/listener.ts";
import { noopLog } from "../log/log.ts";
import type { SpanLine } from "./spanExporters.ts";
import { startTraces, type TraceOptions } from "./traces.ts";
import { withSpan } from "./traceTypes.ts";

describe("traces", () => {
    const folder = mkdtempSync(join(tmpdir(), "tanagerdeck-traces-"));
    const file = join(folder, "spans.jsonl");
    after(() => rmSync(folder, { recursive: true, force: true }));

    function options(sampleRatio: number, drawn: number): TraceOptions {
        const random = () => drawn;
        return { processName: "test", sampleRatio, collector: undefined, file, log: noopLog, random };
    }

    describe("of a request that is not sampled", () => {
        it("contain no span in any process, so that they cost almost nothing", async () => {
            const traces = await startTraces(options(0.5, 0.5));
            const root = traces.startRoot("listener", undefined);
            expect(root.traceparent).to.equal(undefined);
            expect(traces.startSpan("hop", root.traceparent).traceparent).to.equal(undefined);
            await traces.close();
        });

        it("follow the sample ratio and not the caller's flag, so that a caller cannot raise the cost", async () => {
            const traces = await startTraces(options(0.5, 0.5));
            const wish = `00-${"a".repeat(32)}-${"b".repeat(16)}-01`;
            expect(traces.startRoot("listener", wish).traceparent).to.equal(undefined);
            await traces.close();
        });
    });

    describe("with a collector", () => {
        it("are sent to it over OTLP when the process stops, so that the last spans are not lost", async () => {
            const received: string[] = [];
            const listener = await startListener("127.0.0.1:0", (request, response) => {
                void readBody(request, 100_000).then(body => {
                    received.push(body ?? "");
                    sendJson(response, 200, {});
                });
            });
            const collector = `http://${listener.address}/v1/traces`;
            const traces = await startTraces({ ...options(1, 0), collector });
            traces.startRoot("listener", undefined).end();
            await traces.close();
            await listener.close();
            expect(received.join()).to.contain('"name":"listener"').and.to.contain("tanagerdeck");
        });
    });

    describe("in a process with sample ratio 0", () => {
        it("propagate the trace context, so that the next process can continue the trace", async () => {
            const traces = await startTraces(options(0, 0));
            expect(traces.startSpan("hop", "00-parent").traceparent).to.equal("00-parent");
            await traces.close();
        });
    });

    describe("of a request that is sampled", () => {
        it("mark a span whose work rejects as failed, and rethrow the error", async () => {
            const traces = await startTraces(options(0.5, 0.4));
            const root = traces.startRoot("listener", undefined);
            const work = withSpan(traces.startSpan, "hop", root.traceparent, async () => {
                throw new Error("refused");
            });
            expect(await work.catch(String)).to.equal("Error: refused");
            root.end();
            await traces.close();
            const spans = readFileSync(file, "utf8").trim().split("\n");
            const failed = spans
                .map(line => JSON.parse(line) as SpanLine)
                .map(span => [span.name, span.failed]);
            expect(failed).to.deep.equal([
                ["hop", true],
                ["listener", false],
            ]);
        });
    });
});
