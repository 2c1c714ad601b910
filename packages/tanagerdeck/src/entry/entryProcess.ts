import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { ReportReply } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { startCallerListener } from "@tanagerdeck/caller/listener/callerListener";
import { createRequestRoutes } from "@tanagerdeck/caller/routing/requestRoutes";
import { startRoutingTask } from "@tanagerdeck/caller/routing/routingTask";
import { applyDocument } from "@tanagerdeck/operator/document/applyDocument";
import { createDocumentRoutes } from "@tanagerdeck/operator/document/documentRoutes";
import { startOperatorListener } from "@tanagerdeck/operator/listener/operatorListener";
import { createEntryRouter } from "@tanagerdeck/peer/link/entryRouter";
import { createPeerClients } from "@tanagerdeck/peer/link/peerClient";
import { startPeerListener } from "@tanagerdeck/peer/link/peerListener";
import { startMembershipTask } from "@tanagerdeck/peer/membership/membershipTask";
import { startConfigurationTask } from "@tanagerdeck/platform/configuration/configurationTask";
import { createEtcdStore } from "@tanagerdeck/platform/store/etcdStore";
import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import { startMetricsListener, type Health } from "@tanagerdeck/runtime/metrics/metricsListener";
import { createPromMetrics } from "@tanagerdeck/runtime/metrics/promMetrics";
import { createLog } from "@tanagerdeck/runtime/log/log";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import { startTraces } from "@tanagerdeck/runtime/trace/traces";
import type { EntrySettings } from "../settings/settingsSchema.ts";
import { traceOptions } from "../settings/traceSettings.ts";
import { createAgentCalls } from "./agentCalls.ts";

const REPORT_INTERVAL_MS = 2_000;

/** Starts an entry and wires its tasks. */
export async function startEntry(settings: EntrySettings): Promise<RunningProcess> {
    const log = createLog(settings.name, settings.logLevel);
    const clock = systemClock;
    const metrics = createPromMetrics(clock);
    const traces = await startTraces(traceOptions(settings, log));
    let health: Health = "serving";
    const store = createEtcdStore(settings.platformAddress, metrics.platformCalled);
    const clients = createPeerClients(settings.peerToken);

    const routing = startRoutingTask({
        availabilityZone: settings.availabilityZone,
        clock,
        log: log.part("routing"),
        random: Math.random,
        calls: createAgentCalls(clients, traces.startSpan),
        metrics,
        startSpan: traces.startSpan,
    });
    const membership = startMembershipTask({
        clock,
        log: log.part("membership"),
        reportIntervalMs: REPORT_INTERVAL_MS,
        changed: agents => {
            metrics.agents(agents);
            routing.send({ kind: "fleet", agents });
        },
    });
    const configuration = startConfigurationTask({
        environment: settings.environment,
        store,
        clock,
        log: log.part("configuration"),
        adopted: adopted => {
            metrics.configurationRevision(adopted.revision);
            routing.send({ kind: "configuration", configuration: adopted });
            membership.send({ kind: "configuration", revision: adopted.revision });
        },
    });
    const currentConfiguration = () =>
        configuration.ask((reply: Reply<Configuration | undefined>) => ({ kind: "get", reply }));

    const peerListener = await startPeerListener(
        settings.peerAddress,
        settings.peerToken,
        createEntryRouter({
            announce: report =>
                membership.ask((reply: Reply<ReportReply>) => ({ kind: "report", report, reply })),
            configurationStatus: async () => {
                const current = await currentConfiguration();
                return { revision: current?.revision ?? 0, confirmedAgoMs: 0, platformReachable: true };
            },
            configuration: async ({ afterRevision }) => {
                const current = await currentConfiguration();
                return current && current.revision > afterRevision ? current : undefined;
            },
        }),
        traces.startSpan,
    );
    const operatorListener = await startOperatorListener({
        address: settings.operatorAddress,
        token: settings.operatorToken,
        routes: createDocumentRoutes(async change => {
            const result = await applyDocument(store, change);
            result.ifRight(accepted => configuration.send({ kind: "offer", configuration: accepted }));
            return result;
        }),
    });
    const callerListener = await startCallerListener({
        address: settings.callerAddress,
        configuration: currentConfiguration,
        routes: createRequestRoutes(async request => {
            const outcome = await routing.ask((reply: Reply<Outcome>) => ({
                kind: "request",
                request,
                reply,
            }));
            metrics.ended("request", outcome);
            return outcome;
        }, traces.startRoot),
        metrics,
    });
    const metricsListener = await startMetricsListener({
        address: settings.metricsAddress,
        contentType: metrics.contentType,
        text: metrics.text,
        health: () => health,
    });
    log.info("The entry is serving.", { callerAddress: callerListener.address });

    return {
        addresses: {
            callerAddress: callerListener.address,
            operatorAddress: operatorListener.address,
            peerAddress: peerListener.address,
            metricsAddress: metricsListener.address,
        },
        async stop() {
            health = "stopping";
            await callerListener.close();
            await operatorListener.close();
            await peerListener.close();
            await configuration.stop();
            await membership.stop();
            await routing.stop();
            await clients.close();
            await store.close();
            await traces.close();
            metrics.stop();
            await metricsListener.close();
            log.info("The entry has stopped.");
        },
    };
}
