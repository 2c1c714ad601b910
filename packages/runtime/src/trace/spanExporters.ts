import { appendFile } from "node:fs";
import type { ReadableSpan, SpanExporter } from "@opentelemetry/sdk-trace-base";
import type { Log } from "../log/log.ts";

const NANOSECONDS_PER_MILLISECOND = 1_000_000;
const MILLISECONDS_PER_SECOND = 1_000;
const EXPORT_SUCCEEDED = 0;
const EXPORT_FAILED = 1;

/** One span as a JSON line of a trace file. `startMs` is wall-clock time; both times are milliseconds. */
export interface SpanLine {
    traceId: string;
    spanId: string;
    parentSpanId: string | undefined;
    name: string;
    startMs: number;
    durationMs: number;
    failed: boolean;
    attributes: Record<string, unknown>;
}

/** Creates an exporter that appends one JSON line for each span to a file. */
export function createFileExporter(path: string): SpanExporter {
    return {
        export(spans, done) {
            const text = spans.map(span => `${JSON.stringify(toSpanLine(span))}\n`).join("");
            appendFile(path, text, error => done({ code: error ? EXPORT_FAILED : EXPORT_SUCCEEDED }));
        },
        shutdown: async () => undefined,
    };
}

/** Creates an exporter that writes each span as a log record of level debug. */
export function createLogExporter(log: Log): SpanExporter {
    return {
        export(spans, done) {
            for (const span of spans) {
                const { attributes, ...fields } = toSpanLine(span);
                log.debug("A span ended.", { ...fields, attributes: JSON.stringify(attributes) });
            }
            done({ code: EXPORT_SUCCEEDED });
        },
        shutdown: async () => undefined,
    };
}

function toSpanLine(span: ReadableSpan): SpanLine {
    const { traceId, spanId } = span.spanContext();
    return {
        traceId,
        spanId,
        parentSpanId: span.parentSpanContext?.spanId,
        name: span.name,
        startMs: toMilliseconds(span.startTime),
        durationMs: toMilliseconds(span.duration),
        failed: span.status.code === 2,
        attributes: span.attributes,
    };
}

function toMilliseconds([seconds, nanoseconds]: [number, number]): number {
    return seconds * MILLISECONDS_PER_SECOND + nanoseconds / NANOSECONDS_PER_MILLISECOND;
}
