import type { Log } from "@tanagerdeck/runtime/log/log";
import type { TraceOptions } from "@tanagerdeck/runtime/trace/traces";

/** Settings of an entry or agent that control its traces. */
export interface TraceSettings {
    name: string;
    traceSampleRatio: number;
    traceCollector?: string | undefined;
    traceFile?: string | undefined;
}

/** Converts the settings of a process to the options of its tracer. */
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
