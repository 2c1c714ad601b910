import type { Either } from "purify-ts/Either";
import { nanoid } from "nanoid";
import { leaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import type { SyncReply } from "@tanagerdeck/decisions/worker/workerReport";
import { startAgentTask } from "@tanagerdeck/backend/agent/agentTask";
import { startPeerListener } from "@tanagerdeck/peer/link/peerListener";
import { createPlanClients } from "@tanagerdeck/peer/session/planClients";
import { createAgentPlanRouter } from "@tanagerdeck/peer/session/planRouters";
import { startRegistrationListener } from "@tanagerdeck/platform/registration/registrationListener";
import { createWorkerClient } from "@tanagerdeck/platform/worker/workerClient";
import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import { createStandardOutputSink } from "@tanagerdeck/runtime/log/lineSink";
import { createLog } from "@tanagerdeck/runtime/log/log";
import { startMetricsListener } from "@tanagerdeck/runtime/metrics/metricsListener";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import { startAgentPresenceTask } from "@tanagerdeck/store/presence/agentPresenceTask";
import { agentKey } from "@tanagerdeck/store/replica/storeKeys";
import { createExposition } from "@tanagerdeck/runtime/metrics/exposition";
import { createIntakeSet } from "./intakeLimits.ts";
import { PLATFORM_PEER_TOKEN } from "./peerToken.ts";
import type { PlatformAgentSettings } from "./platformSettings.ts";
import { reloadSettings } from "./reloadSettings.ts";
import { openStoreAccess } from "./storeAccess.ts";

/**
 * Starts the agent of a worker on the users' platform: creates its tasks and listeners and connects them.
 * `readSettings` reads the settings again on a reload.
 */
export async function startPlatformAgent(
    initialSettings: PlatformAgentSettings,
    readSettings: () => Either<string, PlatformAgentSettings>,
): Promise<RunningProcess> {
    let settings = initialSettings;
    const clock = systemClock;
    const sink = createStandardOutputSink(clock);
    const log = createLog(settings.name, "info", sink);
    const exposition = createExposition(clock, sink.dropped);
    const { metrics } = exposition;
    const intakes = createIntakeSet({ clock, log: log.part("ingress"), metrics: exposition.intake });
    const clients = createPlanClients(PLATFORM_PEER_TOKEN);
    const peerAddress = `${settings.ip}:${settings.peerPort}`;
    const incarnation = nanoid(10);
    const storeAccess = openStoreAccess({
        address: settings.storeAddress,
        relays: () => settings.seeds.map(seed => `${seed.split(":")[0]}:${settings.peerPort}`),
        clients,
        clock,
        log: log.part("store"),
        metrics,
    });
    const worker = createWorkerClient(settings.workerAddress);
    const agent = startAgentTask({
        port: worker,
        service: () => settings.workerService,
        times: leaseTimes(settings.longestHoldMs),
        evacuationLimitMs: settings.evacuationLimitMs,
        incarnation,
        clock,
        log: log.part("agent"),
        metrics,
    });
    const presence = startAgentPresenceTask({
        store: storeAccess.store,
        key: agentKey(settings.name),
        registration: {
            name: settings.name,
            address: peerAddress,
            availabilityZone: settings.availabilityZone,
            incarnation,
        },
        clock,
        log: log.part("presence"),
        newWriteId: () => nanoid(12),
    });
    const peerListener = await startPeerListener(
        peerAddress,
        PLATFORM_PEER_TOKEN,
        createAgentPlanRouter({
            relay: storeAccess.relay,
            sync(request) {
                presence.send({ kind: "called" });
                return agent.ask((reply: Reply<SyncReply>) => ({ kind: "sync", request, reply }));
            },
        }),
        undefined,
        intakes.forPeers(),
    );
    const registration = await startRegistrationListener({
        address: settings.registrationAddress,
        wallMs: clock.wall,
        onHeartbeat: heartbeat =>
            agent.ask((reply: Reply<void>) => ({ kind: "heartbeat", heartbeat, reply })),
        onLeave: leave => agent.ask((reply: Reply<void>) => ({ kind: "left", ...leave, reply })),
        log: log.part("registration"),
        intake: intakes.forWorker(),
    });
    const metricsListener = await startMetricsListener({
        address: `${settings.ip}:${settings.metricsPort}`,
        contentType: exposition.contentType,
        text: exposition.text,
        health: () => "serving",
        intake: intakes.forProbes(),
    });
    log.info("The agent is serving.", { peerAddress, worker: settings.workerAddress });

    return {
        addresses: { peerAddress },
        reload() {
            settings = reloadSettings(settings, readSettings, log);
        },
        async stop() {
            log.info("The agent is stopping.");
            // Renews the worker's lease a last time, so that its tasks keep running while this process restarts.
            await agent.ask((reply: Reply<void>) => ({ kind: "last-hold", reply }));
            await peerListener.close();
            await registration.close();
            await agent.stop();
            await presence.stop();
            await worker.close();
            await storeAccess.close();
            await clients.close();
            await metricsListener.close();
            exposition.stop();
        },
    };
}
