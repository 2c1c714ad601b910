import type { Log } from "../log/log.ts";
import { noopSpan, startNoopSpan, type StartSpan } from "./traceTypes.ts";

/** Settings and dependencies of tracing in one process. */
export interface TraceOptions {
    /** Name of the process in its spans. */
    processName: string;
    /** Share of new traces that are recorded, from 0 to 1; with 0 the tracing library is not even loaded. */
    sampleRatio: number;
    /** URL of a collector that receives the spans as OTLP over HTTP. */
    collector: string | undefined;
    /** File that receives one JSON line for each span if there is no collector; without both, spans go to the log. */
    file: string | undefined;
    log: Log;
    random: () => number;
}

/** Tracing of one process. */
export interface Traces {
    /**
     * Starts the first span of a request in this system as a child of `incoming`, the caller's trace context. The
     * sample ratio, and not the caller's sampled flag, decides whether the trace is recorded.
     */
    startRoot: StartSpan;
    startSpan: StartSpan;
    /** Exports the recorded spans and stops. */
    close(): Promise<void>;
}

/** Tracing that records nothing. */
export const noopTraces: Traces = {
    startRoot: () => noopSpan(undefined),
    startSpan: startNoopSpan,
    close: async () => undefined,
};

/** Starts tracing in a process. The tracing library is loaded only if the sample ratio is above 0. */
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
