import { nanoid } from "nanoid";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { ReportReply } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { startCallerListener } from "@tanagerdeck/caller/listener/callerListener";
import { createRequestRoutes } from "@tanagerdeck/caller/routing/requestRoutes";
import type { RoutingReply } from "@tanagerdeck/caller/routing/routingState";
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
import { bodyDigest } from "@tanagerdeck/runtime/access/bodyDigest";
import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import { createLog } from "@tanagerdeck/runtime/log/log";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import type { EntrySettings } from "../settings/settingsSchema.ts";
import { createAgentCalls } from "./agentCalls.ts";

const REPORT_INTERVAL_MS = 2_000;

/** Starts an entry and wires its tasks. */
export async function startEntry(settings: EntrySettings): Promise<RunningProcess> {
    const log = createLog(settings.name, settings.logLevel);
    const clock = systemClock;
    const store = createEtcdStore(settings.platformAddress, () => undefined);
    const clients = createPeerClients(settings.peerToken);

    const routing = startRoutingTask({
        availabilityZone: settings.availabilityZone,
        clock,
        log: log.part("routing"),
        random: Math.random,
        newId: nanoid,
        digestOf: bodyDigest,
        calls: createAgentCalls(clients),
    });
    const membership = startMembershipTask({
        clock,
        log: log.part("membership"),
        reportIntervalMs: REPORT_INTERVAL_MS,
        changed: agents => routing.send({ kind: "fleet", agents }),
    });
    const configuration = startConfigurationTask({
        environment: settings.environment,
        store,
        clock,
        log: log.part("configuration"),
        adopted: adopted => {
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
        routes: createRequestRoutes({
            submit: request =>
                routing.ask((reply: Reply<RoutingReply>) => ({ kind: "request", request, reply })),
            cancel: (id, clientAccount) =>
                routing.ask((reply: Reply<Outcome>) => ({ kind: "cancel", id, clientAccount, reply })),
        }),
    });
    log.info("The entry is serving.", { callerAddress: callerListener.address });

    return {
        addresses: {
            callerAddress: callerListener.address,
            operatorAddress: operatorListener.address,
            peerAddress: peerListener.address,
        },
        async stop() {
            // The load balancer needs time to see that this entry is stopping; until then it still sends requests.
            await new Promise<void>(resolve => clock.startTimer(settings.lingerMs, resolve));
            await callerListener.close();
            await routing.ask((reply: Reply<undefined>) => ({ kind: "idle", reply }));
            await operatorListener.close();
            await peerListener.close();
            await configuration.stop();
            await membership.stop();
            await routing.stop();
            await clients.close();
            await store.close();
            log.info("The entry has stopped.");
        },
    };
}
