import { Registry } from "prom-client";
import type { Clock } from "../clock/clock.ts";
import { measureProcess } from "./promMetrics.ts";
import { createSchedulerMetrics, type SchedulerMetrics } from "./schedulerMetrics.ts";

/** The metrics of a process with their text form. */
export interface Exposition {
    metrics: SchedulerMetrics;
    contentType: string;
    /** The Prometheus text format. */
    text(): Promise<string>;
    stop(): void;
}

/** Builds the metrics of a process; `droppedLines` counts the log lines that were not written. */
export function createExposition(clock: Clock, droppedLines: () => number): Exposition {
    const registry = new Registry();
    const stop = measureProcess(registry, clock);
    return {
        metrics: createSchedulerMetrics(registry, droppedLines),
        contentType: registry.contentType,
        text: () => registry.metrics(),
        stop,
    };
}
