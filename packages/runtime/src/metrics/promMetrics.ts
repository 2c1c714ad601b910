import { Counter, Gauge, Registry } from "prom-client";
import type { AgentState } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { Clock, TimerStop } from "../clock/clock.ts";
import type { Metrics } from "./metricsTypes.ts";

/** Interval at which the event loop's delay is sampled. It is long, since each sample wakes an idle process. */
const DELAY_SAMPLE_INTERVAL_MS = 1_000;
const AGENT_STATES: AgentState[] = ["serving", "draining", "left", "suspect", "unreachable", "gone"];

/** Metrics that can be exposed to Prometheus. */
export interface ExposedMetrics extends Metrics {
    contentType: string;
    /** Renders the metrics in the Prometheus text format. */
    text(): Promise<string>;
    stop(): void;
}

/** Creates the metrics of one process in a registry of its own. */
export function createPromMetrics(clock: Clock): ExposedMetrics {
    const registry = new Registry();
    const registers = [registry];
    const ended = new Counter({
        name: "tanagerdeck_ended_total",
        help: "Requests and jobs ended, by verdict.",
        labelNames: ["form", "verdict"],
        registers,
    });
    const refused = new Counter({
        name: "tanagerdeck_refused_total",
        help: "Work refused without running, by reason.",
        labelNames: ["reason"],
        registers,
    });
    const retried = new Counter({
        name: "tanagerdeck_retries_total",
        help: "Second and later attempts of requests and jobs.",
        labelNames: ["form"],
        registers,
    });
    const platformCalls = new Counter({
        name: "tanagerdeck_platform_calls_total",
        help: "Calls to the platform's service; an open watch counts once.",
        labelNames: ["operation"],
        registers,
    });
    const waiting = new Gauge({
        name: "tanagerdeck_waiting",
        help: "Requests or jobs in the queue.",
        labelNames: ["form"],
        registers,
    });
    const running = new Gauge({
        name: "tanagerdeck_running",
        help: "Requests or jobs running.",
        labelNames: ["form"],
        registers,
    });
    const revision = new Gauge({
        name: "tanagerdeck_configuration_revision",
        help: "Revision of the configuration in force; 0 before the first.",
        registers,
    });
    let fleet: readonly { state: AgentState }[] = [];
    new Gauge({
        name: "tanagerdeck_agents",
        help: "Agents that this entry knows, by state.",
        labelNames: ["state"],
        registers,
        collect() {
            for (const state of AGENT_STATES) {
                this.set({ state }, fleet.filter(agent => agent.state === state).length);
            }
        },
    });
    const stopSampling = measureProcess(registry, clock);

    return {
        contentType: registry.contentType,
        text: () => registry.metrics(),
        stop: stopSampling,
        ended(form, { verdict, reason }) {
            ended.inc({ form, verdict });
            if (verdict === "not-run" && reason) {
                refused.inc({ reason });
            }
        },
        refused: reason => refused.inc({ reason }),
        retried: form => retried.inc({ form }),
        platformCalled: operation => platformCalls.inc({ operation }),
        load(form, load) {
            waiting.set({ form }, load.waiting);
            running.set({ form }, load.running);
        },
        configurationRevision: value => revision.set(value),
        agents(view) {
            fleet = view;
        },
    };
}

/** Registers the event loop's delay, the resident memory and the processor time; the result stops the sampling. */
export function measureProcess(registry: Registry, clock: Clock): TimerStop {
    const registers = [registry];
    let worstMs = 0;
    let stopTimer: TimerStop = () => undefined;
    function sample(): void {
        const dueAt = clock.now() + DELAY_SAMPLE_INTERVAL_MS;
        stopTimer = clock.startTimer(DELAY_SAMPLE_INTERVAL_MS, () => {
            worstMs = Math.max(worstMs, clock.now() - dueAt);
            sample();
        });
    }
    sample();
    new Gauge({
        name: "tanagerdeck_event_loop_delay_seconds",
        help: "Longest delay of a timer since the last scrape.",
        registers,
        collect() {
            this.set(worstMs / 1_000);
            worstMs = 0;
        },
    });
    new Gauge({
        name: "tanagerdeck_resident_memory_bytes",
        help: "Resident memory.",
        registers,
        collect() {
            this.set(process.memoryUsage.rss());
        },
    });
    new Gauge({
        name: "tanagerdeck_processor_seconds",
        help: "Processor time since the start of the process.",
        registers,
        collect() {
            const { user, system } = process.cpuUsage();
            this.set((user + system) / 1_000_000);
        },
    });
    return () => stopTimer();
}
