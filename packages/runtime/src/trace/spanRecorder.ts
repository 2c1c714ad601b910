import { ROOT_CONTEXT, SpanStatusCode, TraceFlags, trace, type Context } from "@opentelemetry/api";
import { resourceFromAttributes } from "@opentelemetry/resources";
import {
    AlwaysOnSampler,
    BasicTracerProvider,
    BatchSpanProcessor,
    type SpanExporter,
} from "@opentelemetry/sdk-trace-base";
import { createFileExporter, createLogExporter } from "./spanExporters.ts";
import type { TraceOptions } from "./traces.ts";
import type { StartSpan } from "./traceTypes.ts";

/** Delay before ended spans are exported, so that one export carries many spans. */
const EXPORT_DELAY_MS = 1_000;
const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;

/** Records every span that it starts; whether to sample a trace is decided before. */
export interface SpanRecorder {
    start: StartSpan;
    close(): Promise<void>;
}

/** Starts a recorder that exports to the collector, file or log that the options select. */
export async function startSpanRecorder(options: TraceOptions): Promise<SpanRecorder> {
    const processor = new BatchSpanProcessor(await createExporter(options), {
        scheduledDelayMillis: EXPORT_DELAY_MS,
    });
    const provider = new BasicTracerProvider({
        resource: resourceFromAttributes({
            "service.name": "tanagerdeck",
            "service.instance.id": options.processName,
        }),
        sampler: new AlwaysOnSampler(),
        spanProcessors: [processor],
    });
    const tracer = provider.getTracer("tanagerdeck");
    return {
        start(name, parent, attributes = {}) {
            const span = tracer.startSpan(
                name,
                { attributes: { ...attributes, process: options.processName } },
                parentContext(parent),
            );
            const { traceId, spanId } = span.spanContext();
            return {
                traceparent: `00-${traceId}-${spanId}-01`,
                set: values => void span.setAttributes(values),
                end(problem) {
                    if (problem !== undefined) {
                        span.setStatus({ code: SpanStatusCode.ERROR, message: problem });
                    }
                    span.end();
                },
            };
        },
        close: () => provider.shutdown(),
    };
}

async function createExporter(options: TraceOptions): Promise<SpanExporter> {
    if (options.collector !== undefined) {
        const { OTLPTraceExporter } = await import("@opentelemetry/exporter-trace-otlp-http");
        return new OTLPTraceExporter({ url: options.collector });
    }
    return options.file === undefined ? createLogExporter(options.log) : createFileExporter(options.file);
}

/** Parses a W3C `traceparent`; a missing or malformed one starts a new trace. */
function parentContext(parent: string | undefined): Context {
    const [, traceId, spanId] = TRACEPARENT.exec(parent ?? "") ?? [];
    if (!traceId || !spanId) {
        return ROOT_CONTEXT;
    }
    return trace.setSpanContext(ROOT_CONTEXT, {
        traceId,
        spanId,
        traceFlags: TraceFlags.SAMPLED,
        isRemote: true,
    });
}
