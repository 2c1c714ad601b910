import type { Either } from "purify-ts/Either";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { Report, ReportReply, ServingState } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { startAnnouncementTask } from "@tanagerdeck/peer/announcement/announcementTask";
import { startAgentConfigurationTask } from "@tanagerdeck/peer/configuration/agentConfigurationTask";
import { createAgentRouter, type AgentHandlers } from "@tanagerdeck/peer/link/agentRouter";
import { peerCall } from "@tanagerdeck/peer/link/peerCall";
import type { PeerClients } from "@tanagerdeck/peer/link/peerClient";
import { startPeerListener } from "@tanagerdeck/peer/link/peerListener";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Metrics } from "@tanagerdeck/runtime/metrics/metricsTypes";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import type { Traces } from "@tanagerdeck/runtime/trace/traces";
import type { AgentSettings } from "../settings/settingsSchema.ts";

const REPORT_INTERVAL_MS = 2_000;
const REPORT_TIMEOUT_MS = 2_000;

/** The fields of an agent's report that depend on the kind of its backend server. */
export type ServerReport = Pick<Report, "runner" | "worker" | "gangs" | "usage">;

/** The parts of an agent that differ between runners and workers. */
export interface BackendServer {
    handlers: Omit<AgentHandlers, "drain">;
    report(): Promise<ServerReport>;
    applyConfiguration(configuration: Configuration): void;
    /** Called with the reply of an entry to each report. */
    handleReportReply(reply: ReportReply): void;
    /** Stops accepting work; resolves when the running work has ended. */
    drain(): Promise<void>;
    stop(): Promise<void>;
}

/** Dependencies of the tasks that every agent has. */
export interface AgentCoreOptions {
    settings: AgentSettings;
    incarnation: string;
    clients: PeerClients;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    traces: Traces;
    /** Starts the tasks for the backend server. They call `requireConfiguration` before they accept work. */
    createServer: (requireConfiguration: RequireConfiguration) => BackendServer;
}

/** Returns the configuration, or a failure if the revision of the calling entry is older. */
export type RequireConfiguration = (revision: number) => Promise<Either<Failure, Configuration>>;

/** Handle of the running tasks that every agent has. */
export interface AgentCore {
    peerAddress: string;
    stop(): Promise<void>;
}

/** Starts the tasks that every agent has: the peer listener, the announcements and the configuration. */
export async function startAgentCore(options: AgentCoreOptions): Promise<AgentCore> {
    const { settings, incarnation, clients, clock, log, metrics, traces } = options;
    let sequence = 0;
    let servingState: ServingState = "serving";
    const configuration = startAgentConfigurationTask({
        clock,
        log: log.part("configuration"),
        fetchConfiguration: (entry, afterRevision) =>
            peerCall(REPORT_TIMEOUT_MS, signal =>
                clients.entry(entry).configuration.mutate({ afterRevision }, { signal }),
            ),
        announce: () => announcement.send({ kind: "announce" }),
        onAdopted(newConfiguration) {
            metrics.configurationRevision(newConfiguration.revision);
            server.applyConfiguration(newConfiguration);
        },
    });
    const server = options.createServer(revision =>
        configuration.ask((reply: Reply<Either<Failure, Configuration>>) => ({
            kind: "require",
            revision,
            reply,
        })),
    );

    function drain(): Promise<void> {
        servingState = "draining";
        announcement.send({ kind: "announce" });
        return server.drain();
    }

    const peerListener = await startPeerListener(
        settings.peerAddress,
        settings.peerToken,
        createAgentRouter({
            ...server.handlers,
            async drain() {
                void drain();
                return { draining: true };
            },
        }),
        traces.startSpan,
    );

    async function report(): Promise<Report> {
        const current = await configuration.ask((reply: Reply<Configuration | undefined>) => ({
            kind: "get",
            reply,
        }));
        return {
            name: settings.name,
            incarnation,
            sequence: sequence++,
            address: peerListener.address,
            availabilityZone: settings.availabilityZone,
            server: settings.server.kind,
            state: servingState,
            configurationRevision: current?.revision ?? 0,
            ...(await server.report()),
        };
    }

    const announcement = startAnnouncementTask({
        seeds: settings.seeds,
        reportIntervalMs: REPORT_INTERVAL_MS,
        clock,
        log: log.part("announcement"),
        random: Math.random,
        report,
        send: (entry, message) =>
            peerCall(REPORT_TIMEOUT_MS, signal => clients.entry(entry).announce.mutate(message, { signal })),
        onReply(entry, reply, askedAt) {
            server.handleReportReply(reply);
            configuration.send({
                kind: "replied",
                entry,
                askedAt,
                revision: reply.configurationRevision,
                confirmedAgoMs: reply.configurationConfirmedAgoMs,
            });
        },
    });
    log.info("The agent is serving.", { peerAddress: peerListener.address });

    return {
        peerAddress: peerListener.address,
        async stop() {
            await drain();
            await peerListener.close();
            servingState = "left";
            await announcement.ask((reply: Reply<void>) => ({ kind: "leave", reply }));
            await announcement.stop();
            await configuration.stop();
            await server.stop();
            log.info("The agent has stopped.");
        },
    };
}
