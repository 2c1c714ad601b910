import type { Either } from "purify-ts/Either";
import { nanoid } from "nanoid";
import { createRunnerClient } from "@tanagerdeck/backend/runner/runnerClient";
import { startRunnerTask } from "@tanagerdeck/backend/runner/runnerTask";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { Report, RunnerLoad, ServingState } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { Progress, Request } from "@tanagerdeck/decisions/request/requestTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { startAnnouncementTask } from "@tanagerdeck/peer/announcement/announcementTask";
import { startAgentConfigurationTask } from "@tanagerdeck/peer/configuration/agentConfigurationTask";
import { createAgentRouter } from "@tanagerdeck/peer/link/agentRouter";
import { peerCall } from "@tanagerdeck/peer/link/peerCall";
import { createPeerClients } from "@tanagerdeck/peer/link/peerClient";
import { startPeerListener } from "@tanagerdeck/peer/link/peerListener";
import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import { createLog } from "@tanagerdeck/runtime/log/log";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import type { AgentSettings } from "../settings/settingsSchema.ts";

const REPORT_INTERVAL_MS = 2_000;
const REPORT_TIMEOUT_MS = 2_000;

/** Starts an agent beside a runner and wires its tasks. */
export async function startAgent(settings: AgentSettings): Promise<RunningProcess> {
    const log = createLog(settings.name, settings.logLevel);
    const clock = systemClock;
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
        run: runnerClient.run,
    });
    let sequence = 0;
    let servingState: ServingState = "serving";
    const configuration = startAgentConfigurationTask({
        clock,
        log: log.part("configuration"),
        fetch: (entry, afterRevision) =>
            peerCall(REPORT_TIMEOUT_MS, signal =>
                clients.entry(entry).configuration.mutate({ afterRevision }, { signal }),
            ),
        announce: () => announcement.send({ kind: "announce" }),
        adopted: () => undefined,
    });
    /** The configuration if the calling entry is not behind it. */
    const require = (revision: number) =>
        configuration.ask((reply: Reply<Either<Failure, Configuration>>) => ({
            kind: "require",
            revision,
            reply,
        }));

    /** The progress of a request that is known here, else the refusal: a repeat may belong to work that ran. */
    async function knownOr({ id, clientAccount }: Request, refusal: Progress): Promise<Progress> {
        const known = await runner.ask((reply: Reply<Progress>) => ({
            kind: "result",
            id,
            clientAccount,
            reply,
        }));
        const unknown =
            known.kind === "done" && known.outcome.kind === "failure" && known.outcome.reason === "not-found";
        return unknown ? refusal : known;
    }

    const peerListener = await startPeerListener(
        settings.peerAddress,
        settings.peerToken,
        createAgentRouter({
            requests: {
                async submit({ request, configurationRevision }) {
                    const current = await require(configurationRevision);
                    return current.caseOf<Promise<Progress>>({
                        Left: refusal => knownOr(request, { kind: "done", outcome: refusal }),
                        Right: () => runner.ask(reply => ({ kind: "submit", request, reply })),
                    });
                },
                result: reference =>
                    runner.ask((reply: Reply<Progress>) => ({ kind: "result", ...reference, reply })),
                settle: reference =>
                    runner.ask((reply: Reply<Progress>) => ({ kind: "settle", ...reference, reply })),
                cancel: async () => undefined,
            },
            async drain() {
                servingState = "draining";
                runner.send({ kind: "drain" });
                announcement.send({ kind: "announce" });
                return { draining: true };
            },
        }),
    );

    const currentConfiguration = () =>
        configuration.ask((reply: Reply<Configuration | undefined>) => ({ kind: "get", reply }));

    async function report(): Promise<Report> {
        return {
            name: settings.name,
            incarnation,
            sequence: sequence++,
            address: peerListener.address,
            availabilityZone: settings.availabilityZone,
            server: "runner",
            state: servingState,
            configurationRevision: (await currentConfiguration())?.revision ?? 0,
            runner: await runner.ask((reply: Reply<RunnerLoad>) => ({ kind: "load", reply })),
            gangs: [],
            usage: [],
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
        replied: (entry, reply, askedAt) =>
            configuration.send({
                kind: "learned",
                entry,
                askedAt,
                revision: reply.configurationRevision,
                confirmedAgoMs: reply.configurationConfirmedAgoMs,
            }),
    });
    log.info("The agent is serving.", { peerAddress: peerListener.address });

    return {
        addresses: { peerAddress: peerListener.address },
        async stop() {
            servingState = "draining";
            runner.send({ kind: "drain" });
            announcement.send({ kind: "announce" });
            await peerListener.close();
            servingState = "left";
            await announcement.ask((reply: Reply<void>) => ({ kind: "leave", reply }));
            await announcement.stop();
            await configuration.stop();
            await runner.stop();
            await runnerClient.close();
            await clients.close();
            log.info("The agent has stopped.");
        },
    };
}
