import { nanoid } from "nanoid";
import type { Report, ReportReply } from "@tanagerdeck/decisions/fleet/reportTypes";
import { failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { startAnnouncementTask } from "@tanagerdeck/peer/announcement/announcementTask";
import { createAgentRouter, type RequestHandlers } from "@tanagerdeck/peer/link/agentRouter";
import { peerCall } from "@tanagerdeck/peer/link/peerCall";
import { createPeerClients } from "@tanagerdeck/peer/link/peerClient";
import { startPeerListener } from "@tanagerdeck/peer/link/peerListener";
import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import { createLog } from "@tanagerdeck/runtime/log/log";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import type { AgentSettings } from "../settings/settingsSchema.ts";
import { startWorkerWiring, type WorkerSettings } from "./workerWiring.ts";

const REPORT_INTERVAL_MS = 2_000;
const REPORT_TIMEOUT_MS = 2_000;

const noRunner = failure("not-run", "invalid", "This agent has no runner.");

/** Request operations of an agent that has no runner. */
const noRequestHandlers: RequestHandlers = {
    submit: async () => ({ kind: "done", outcome: noRunner }),
    result: async () => ({ kind: "done", outcome: noRunner }),
    settle: async () => ({ kind: "done", outcome: noRunner }),
    cancel: async () => undefined,
};

/** Starts an agent beside a worker. */
export async function startWorkerAgent(
    settings: AgentSettings,
    server: WorkerSettings,
): Promise<RunningProcess> {
    const log = createLog(settings.name, settings.logLevel);
    const clock = systemClock;
    const clients = createPeerClients(settings.peerToken);
    const incarnation = nanoid(10);
    let address = settings.peerAddress;
    let sequence = 0;
    let revision = 0;
    let draining = false;
    const wiring = startWorkerWiring({
        settings: server,
        incarnation,
        address: () => address,
        clients,
        clock,
        log,
    });

    async function drain(): Promise<void> {
        draining = true;
        await wiring.drain(settings.drainGraceMs);
    }

    const peerListener = await startPeerListener(
        settings.peerAddress,
        settings.peerToken,
        createAgentRouter({
            gangs: wiring.handlers,
            requests: noRequestHandlers,
            async drain() {
                void drain();
                return { draining: true };
            },
        }),
    );
    address = peerListener.address;

    async function report(): Promise<Report> {
        return {
            name: settings.name,
            incarnation,
            sequence: sequence++,
            address,
            availabilityZone: settings.availabilityZone,
            server: "worker",
            state: draining ? "draining" : "serving",
            configurationRevision: revision,
            ...(await wiring.report()),
        };
    }

    const announcement = startAnnouncementTask({
        seeds: settings.seeds,
        reportIntervalMs: REPORT_INTERVAL_MS,
        clock,
        log: log.part("announcement"),
        report,
        async send(entry, message) {
            const reply = await peerCall<ReportReply>(REPORT_TIMEOUT_MS, signal =>
                clients.entry(entry).announce.mutate(message, { signal }),
            );
            reply.ifRight(({ recordedGangs }) => wiring.recorded(recordedGangs));
            return reply;
        },
        fetch: (entry, afterRevision) =>
            peerCall(REPORT_TIMEOUT_MS, signal =>
                clients.entry(entry).configuration.mutate({ afterRevision }, { signal }),
            ),
        adopted(configuration) {
            revision = configuration.revision;
            wiring.adopt(configuration);
        },
    });
    log.info("The agent is serving.", { peerAddress: address });

    return {
        addresses: { peerAddress: address },
        async stop() {
            await drain();
            await announcement.stop();
            await peerListener.close();
            await wiring.stop();
            await clients.close();
            log.info("The agent has stopped.");
        },
    };
}
