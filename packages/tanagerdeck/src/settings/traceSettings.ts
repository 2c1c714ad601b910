import type { Log } from "@tanagerdeck/runtime/log/log";
import type { TraceOptions } from "@tanagerdeck/runtime/trace/traces";

/** Settings that entries and agents share for traces. */
export interface TraceSettings {
    name: string;
    traceSampleRatio: number;
    traceCollector?: string | undefined;
    traceFile?: string | undefined;
}

/** The trace options of a process. */
export function traceOptions(settings: TraceSettings, log: Log): TraceOptions {
    return {
        processName: settings.name,
        sampleRatio: settings.traceSampleRatio,
        collector: settings.traceCollector,
        file: settings.traceFile,
        log: log.part("traces"),
        random: Math.random,
    };
}
