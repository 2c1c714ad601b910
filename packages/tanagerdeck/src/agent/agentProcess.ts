import { nanoid } from "nanoid";
import { createRunnerClient } from "@tanagerdeck/backend/runner/runnerClient";
import { startRunnerTask } from "@tanagerdeck/backend/runner/runnerTask";
import type { Report, RunnerLoad } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { Progress } from "@tanagerdeck/decisions/request/requestTypes";
import { startAnnouncementTask } from "@tanagerdeck/peer/announcement/announcementTask";
import { createAgentRouter } from "@tanagerdeck/peer/link/agentRouter";
import { peerCall } from "@tanagerdeck/peer/link/peerCall";
import { createPeerClients } from "@tanagerdeck/peer/link/peerClient";
import { startPeerListener } from "@tanagerdeck/peer/link/peerListener";
import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import { startMetricsListener, type Health } from "@tanagerdeck/runtime/metrics/metricsListener";
import { createPromMetrics } from "@tanagerdeck/runtime/metrics/promMetrics";
import { createLog } from "@tanagerdeck/runtime/log/log";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import { startTraces } from "@tanagerdeck/runtime/trace/traces";
import { withSpan } from "@tanagerdeck/runtime/trace/traceTypes";
import { traceOptions } from "../settings/traceSettings.ts";
import type { AgentSettings } from "../settings/settingsSchema.ts";

const REPORT_INTERVAL_MS = 2_000;
const REPORT_TIMEOUT_MS = 2_000;

/** Starts an agent beside a runner and wires its tasks. */
export async function startAgent(settings: AgentSettings): Promise<RunningProcess> {
    const log = createLog(settings.name, settings.logLevel);
    const clock = systemClock;
    const metrics = createPromMetrics(clock);
    const traces = await startTraces(traceOptions(settings, log));
    let health: Health = "serving";
    const clients = createPeerClients(settings.peerToken);
    const incarnation = nanoid(10);
    if (settings.server.kind !== "runner") {
        throw new Error("A worker's agent is not wired yet.");
    }
    const runnerClient = createRunnerClient(settings.server.address, settings.server.connections);
    const runner = startRunnerTask({
        slots: settings.server.slots,
        clock,
        log: log.part("runner"),
        run: (request, signal) =>
            withSpan(traces.startSpan, "POST /run", request.traceparent, async () => {
                const outcome = await runnerClient.run(request, signal);
                metrics.ended("request", outcome);
                return outcome;
            }),
    });
    let sequence = 0;
    let draining = false;

    const peerListener = await startPeerListener(
        settings.peerAddress,
        settings.peerToken,
        createAgentRouter({
            requests: {
                submit: ({ request }) =>
                    runner.ask((reply: Reply<Progress>) => ({ kind: "submit", request, reply })),
                result: reference =>
                    runner.ask((reply: Reply<Progress>) => ({ kind: "result", ...reference, reply })),
                settle: reference =>
                    runner.ask((reply: Reply<Progress>) => ({ kind: "settle", ...reference, reply })),
                cancel: async () => undefined,
            },
            async drain() {
                draining = true;
                runner.send({ kind: "drain" });
                return { draining: true };
            },
        }),
        traces.startSpan,
    );
    const metricsListener = await startMetricsListener({
        address: settings.metricsAddress,
        contentType: metrics.contentType,
        text: metrics.text,
        health: () => health,
    });

    async function report(): Promise<Report> {
        const load = await runner.ask((reply: Reply<RunnerLoad>) => ({ kind: "load", reply }));
        metrics.load("request", load);
        return {
            name: settings.name,
            incarnation,
            sequence: sequence++,
            address: peerListener.address,
            availabilityZone: settings.availabilityZone,
            server: "runner",
            state: draining ? "draining" : "serving",
            configurationRevision: 0,
            runner: load,
            gangs: [],
            usage: [],
        };
    }

    const announcement = startAnnouncementTask({
        seeds: settings.seeds,
        reportIntervalMs: REPORT_INTERVAL_MS,
        clock,
        log: log.part("announcement"),
        report,
        send: (entry, message) =>
            peerCall(REPORT_TIMEOUT_MS, signal => clients.entry(entry).announce.mutate(message, { signal })),
        fetch: (entry, afterRevision) =>
            peerCall(REPORT_TIMEOUT_MS, signal =>
                clients.entry(entry).configuration.mutate({ afterRevision }, { signal }),
            ),
        adopted: configuration => {
            metrics.configurationRevision(configuration.revision);
            log.part("configuration").info("A configuration was adopted.", {
                revision: configuration.revision,
            });
        },
    });
    log.info("The agent is serving.", { peerAddress: peerListener.address });

    return {
        addresses: { peerAddress: peerListener.address, metricsAddress: metricsListener.address },
        async stop() {
            health = "stopping";
            draining = true;
            runner.send({ kind: "drain" });
            await announcement.stop();
            await peerListener.close();
            await runner.stop();
            await runnerClient.close();
            await clients.close();
            await traces.close();
            metrics.stop();
            await metricsListener.close();
            log.info("The agent has stopped.");
        },
    };
}
