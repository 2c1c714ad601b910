import type { Either } from "purify-ts/Either";
import { nanoid } from "nanoid";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { Registration } from "@tanagerdeck/decisions/fleet/entryPresence";
import { dispatchRound } from "@tanagerdeck/decisions/queue/dispatchRound";
import type { Failure, Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { startCallerListener } from "@tanagerdeck/caller/listener/callerListener";
import { createRequestRoutes } from "@tanagerdeck/caller/routing/requestRoutes";
import type { RoutingReply } from "@tanagerdeck/caller/routing/routingState";
import { startRoutingTask } from "@tanagerdeck/caller/routing/routingTask";
import { startOperatorListener } from "@tanagerdeck/operator/listener/operatorListener";
import { createEntryRouter, type ConfigurationStatus } from "@tanagerdeck/peer/link/entryRouter";
import { peerCall } from "@tanagerdeck/peer/link/peerCall";
import { createPeerClients } from "@tanagerdeck/peer/link/peerClient";
import { startPeerListener } from "@tanagerdeck/peer/link/peerListener";
import { createEtcdStore } from "@tanagerdeck/store/store/etcdStore";
import { bodyDigest } from "@tanagerdeck/runtime/access/bodyDigest";
import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import { startMetricsListener, type ProcessHealth } from "@tanagerdeck/runtime/metrics/metricsListener";
import { createPromMetrics } from "@tanagerdeck/runtime/metrics/promMetrics";
import { createStandardOutputSink } from "@tanagerdeck/runtime/log/lineSink";
import { createLog } from "@tanagerdeck/runtime/log/log";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import { startTraces } from "@tanagerdeck/runtime/trace/traces";
import type { EntrySettings } from "../settings/settingsSchema.ts";
import { traceOptions } from "../settings/traceSettings.ts";
import { createAgentCalls } from "./agentCalls.ts";
import { startEntryControl, type EntryControl } from "./entryControl.ts";
import { startJobService } from "./jobService.ts";
import { createOperatorRoutes } from "./operatorRoutes.ts";
import { rebindWorkers } from "./rebindWorkers.ts";

/** Timeout of a call that asks another entry for its configuration status. */
const STATUS_CALL_TIMEOUT_MS = 1_000;
/** Timeout of a call that fetches a whole configuration from another entry. */
const CONFIGURATION_CALL_TIMEOUT_MS = 2_000;

/** Starts the entry process: creates its tasks, connects them and opens its listeners. */
export async function startEntry(settings: EntrySettings): Promise<RunningProcess> {
    const clock = systemClock;
    const log = createLog(settings.name, settings.logLevel, createStandardOutputSink(clock));
    const metrics = createPromMetrics(clock);
    const traces = await startTraces(traceOptions(settings, log));
    let health: ProcessHealth = "serving";
    const platformCallCounts: Record<string, number> = {};
    const store = createEtcdStore(settings.platformAddress, operation => {
        platformCallCounts[operation] = (platformCallCounts[operation] ?? 0) + 1;
        metrics.platformCalled(operation);
    });
    const clients = createPeerClients(settings.peerToken);
    // The routing task is created before the control tasks and reaches them through this object.
    const lateBound: { control?: EntryControl } = {};

    const routing = startRoutingTask({
        availabilityZone: settings.availabilityZone,
        clock,
        log: log.part("routing"),
        random: Math.random,
        newId: nanoid,
        digestOf: bodyDigest,
        calls: createAgentCalls(
            clients,
            {
                onStaleConfiguration: () => lateBound.control?.configuration.send({ kind: "refresh" }),
                onConnectionRefused: address =>
                    lateBound.control?.membership.send({ kind: "connection-refused", address }),
            },
            traces.startSpan,
        ),
        metrics,
        startSpan: traces.startSpan,
    });
    const jobService = startJobService({
        entry: settings.name,
        environment: settings.environment,
        store,
        clients,
        clock,
        log,
        dispatch: dispatchRound,
        metrics,
    });

    const peerListener = await startPeerListener(
        settings.peerAddress,
        settings.peerToken,
        createEntryRouter({
            announce: async report => jobService.addRecordedGangs(report, await control.handleReport(report)),
            configurationStatus: () =>
                control.configuration.ask((reply: Reply<ConfigurationStatus>) => ({
                    kind: "own-status",
                    reply,
                })),
            configuration: async ({ afterRevision }) => {
                const current = await currentConfiguration();
                return current && current.revision > afterRevision ? current : undefined;
            },
        }),
        traces.startSpan,
    );
    const ownRegistration: Registration = {
        name: settings.name,
        incarnation: nanoid(10),
        address: peerListener.address,
    };
    const control = startEntryControl({
        environment: settings.environment,
        ownRegistration,
        seeds: settings.seeds,
        store,
        clock,
        log,
        random: Math.random,
        fetchConfigurationStatus: address =>
            peerCall(STATUS_CALL_TIMEOUT_MS, signal =>
                clients.entry(address).configurationStatus.mutate(undefined, { signal }),
            ),
        fetchConfiguration: (address, afterRevision) =>
            peerCall(CONFIGURATION_CALL_TIMEOUT_MS, signal =>
                clients.entry(address).configuration.mutate({ afterRevision }, { signal }),
            ),
        rebind: rebindWorkers,
        onConfigurationAdopted(adopted) {
            metrics.configurationRevision(adopted.revision);
            routing.send({ kind: "configuration", configuration: adopted });
            jobService.task.send({ kind: "configuration", configuration: adopted });
        },
        onFleetChanged(agents) {
            metrics.agents(agents);
            routing.send({ kind: "fleet", agents });
            jobService.task.send({ kind: "fleet", agents });
        },
        onEntryCountChanged: count => routing.send({ kind: "entries", count }),
        onEntryGone: ({ name }) => jobService.claimJobs(name),
    });
    lateBound.control = control;
    const currentConfiguration = () =>
        control.configuration.ask((reply: Reply<Configuration | undefined>) => ({ kind: "get", reply }));

    const operatorListener = await startOperatorListener({
        address: settings.operatorAddress,
        token: settings.operatorToken,
        routes: createOperatorRoutes({
            environment: settings.environment,
            entry: settings.name,
            store,
            clients,
            control,
            now: clock.wall,
            countPlatformCalls: () => ({ ...platformCallCounts }),
        }),
    });
    const callerListener = await startCallerListener({
        address: settings.callerAddress,
        configuration: currentConfiguration,
        admit: () =>
            control.configuration.ask((reply: Reply<Either<Failure, Configuration>>) => ({
                kind: "admit",
                reply,
            })),
        routes: {
            ...createRequestRoutes({
                async submit(request) {
                    const reply = await routing.ask((done: Reply<RoutingReply>) => ({
                        kind: "request",
                        request,
                        reply: done,
                    }));
                    if (reply.kind === "outcome") {
                        metrics.ended("request", reply.outcome);
                    }
                    return reply;
                },
                cancel: (id, clientAccount) =>
                    routing.ask((reply: Reply<Outcome>) => ({ kind: "cancel", id, clientAccount, reply })),
                startRootSpan: traces.startRoot,
            }),
            ...jobService.routes,
        },
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
            // Keeps accepting requests until the load balancer has noticed the `stopping` health state.
            await new Promise<void>(resolve => clock.startTimer(settings.lingerMs, resolve));
            await callerListener.close();
            await routing.ask((reply: Reply<undefined>) => ({ kind: "idle", reply }));
            await jobService.handOverJobs();
            await operatorListener.close();
            await peerListener.close();
            await control.stop();
            await routing.stop();
            await jobService.task.stop();
            await clients.close();
            await store.close();
            await traces.close();
            metrics.stop();
            await metricsListener.close();
            log.info("The entry has stopped.");
        },
    };
}
