import type { Log } from "../log/log.ts";
import { noopSpan, startNoopSpan, type StartSpan } from "./traceTypes.ts";

/** Where and how often a process records traces. */
export interface TraceOptions {
    /** Service name in the spans. */
    processName: string;
    /** Share of new traces that are recorded, 0 to 1; 0 records nothing and loads no tracing library. */
    sampleRatio: number;
    /** URL of an OTLP collector over HTTP. */
    collector: string | undefined;
    /** File that receives one JSON line for each span, if there is no collector. */
    file: string | undefined;
    log: Log;
    random: () => number;
}

/** The traces of one process. */
export interface Traces {
    /** Starts the first span of this system; `incoming` is the caller's trace context. The ratio decides. */
    startRoot: StartSpan;
    startSpan: StartSpan;
    /** Sends what is recorded and stops. */
    close(): Promise<void>;
}

/** Traces that record nothing. */
export const noopTraces: Traces = {
    startRoot: () => noopSpan(undefined),
    startSpan: startNoopSpan,
    close: async () => undefined,
};

/** Starts the traces of a process; the tracing library is loaded only if something can be recorded. */
export async function startTraces(options: TraceOptions): Promise<Traces> {
    if (options.sampleRatio <= 0) {
        return noopTraces;
    }
    const { startSpanRecorder } = await import("./spanRecorder.ts");
    const recorder = await startSpanRecorder(options);
    const { random, sampleRatio } = options;
    return {
        startRoot: (name, incoming, attributes) =>
            random() < sampleRatio ? recorder.start(name, incoming, attributes) : noopSpan(undefined),
        startSpan: (name, parent, attributes) =>
            parent === undefined ? noopSpan(undefined) : recorder.start(name, parent, attributes),
        close: recorder.close,
    };
}
