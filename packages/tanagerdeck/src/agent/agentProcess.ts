import { nanoid } from "nanoid";
import { createPeerClients } from "@tanagerdeck/peer/link/peerClient";
import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import { startMetricsListener, type ProcessHealth } from "@tanagerdeck/runtime/metrics/metricsListener";
import { createPromMetrics } from "@tanagerdeck/runtime/metrics/promMetrics";
import { createStandardOutputSink } from "@tanagerdeck/runtime/log/lineSink";
import { createLog } from "@tanagerdeck/runtime/log/log";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import { startTraces } from "@tanagerdeck/runtime/trace/traces";
import { traceOptions } from "../settings/traceSettings.ts";
import type { AgentSettings } from "../settings/settingsSchema.ts";
import { startAgentCore, type AgentCore } from "./agentCore.ts";
import { startRunnerServer } from "./runnerServer.ts";
import { startWorkerServer } from "./workerServer.ts";

/** Starts the agent of a runner or worker: creates its tasks and listeners and connects them. */
export async function startAgent(settings: AgentSettings): Promise<RunningProcess> {
    const { server } = settings;
    const clock = systemClock;
    const log = createLog(settings.name, settings.logLevel, createStandardOutputSink(clock));
    const metrics = createPromMetrics(clock);
    const traces = await startTraces(traceOptions(settings, log));
    let health: ProcessHealth = "serving";
    const clients = createPeerClients(settings.peerToken);
    const incarnation = nanoid(10);
    // The listener's bound address is known only after `startAgentCore`, which creates the worker's tasks first.
    const started: { core?: AgentCore } = {};
    const core = await startAgentCore({
        settings,
        incarnation,
        clients,
        clock,
        log,
        metrics,
        traces,
        createServer(requireConfiguration) {
            if (server.kind === "runner") {
                return startRunnerServer({
                    settings: server,
                    incarnation,
                    clock,
                    log,
                    metrics,
                    traces,
                    requireConfiguration,
                });
            }
            return startWorkerServer({
                settings: server,
                incarnation,
                agentAddress: () => started.core?.peerAddress ?? settings.peerAddress,
                drainGraceMs: settings.drainGraceMs,
                requireConfiguration,
                clients,
                clock,
                log,
            });
        },
    });
    started.core = core;
    const metricsListener = await startMetricsListener({
        address: settings.metricsAddress,
        contentType: metrics.contentType,
        text: metrics.text,
        health: () => health,
    });

    return {
        addresses: { peerAddress: core.peerAddress, metricsAddress: metricsListener.address },
        async stop() {
            health = "stopping";
            await core.stop();
            await clients.close();
            await traces.close();
            metrics.stop();
            await metricsListener.close();
        },
    };
}
