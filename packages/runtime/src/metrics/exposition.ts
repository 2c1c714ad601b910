import { Registry } from "prom-client";
import type { Clock } from "../clock/clock.ts";
import { createIntakeMetrics, type IntakeMetrics } from "./intakeMetrics.ts";
import { measureProcess } from "./promMetrics.ts";
import { createSchedulerMetrics, type SchedulerMetrics } from "./schedulerMetrics.ts";

/** The scheduler's metrics of one process and their exposition to Prometheus. */
export interface Exposition {
    metrics: SchedulerMetrics;
    intake: IntakeMetrics;
    contentType: string;
    /** Renders the metrics in the Prometheus text format. */
    text(): Promise<string>;
    stop(): void;
}

/** Creates the metrics of a process; `droppedLines` returns the number of log lines that were dropped. */
export function createExposition(clock: Clock, droppedLines: () => number): Exposition {
    const registry = new Registry();
    const stop = measureProcess(registry, clock);
    return {
        metrics: createSchedulerMetrics(registry, clock, droppedLines),
        intake: createIntakeMetrics(registry),
        contentType: registry.contentType,
        text: () => registry.metrics(),
        stop,
    };
}
