import { nanoid } from "nanoid";
import { bodyDigest } from "@tanagerdeck/runtime/access/bodyDigest";
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
        incarnation,
        digestOf: bodyDigest,
        slots: settings.server.slots,
        clock,
        log: log.part("runner"),
        run: runnerClient.run,
    });
    let sequence = 0;
    let draining = false;

    const peerListener = await startPeerListener(
        settings.peerAddress,
        settings.peerToken,
        createAgentRouter({
            requests: {
                submit: ({ request, send }) =>
                    runner.ask((reply: Reply<Progress>) => ({ kind: "submit", request, send, reply })),
                result: reference =>
                    runner.ask((reply: Reply<Progress>) => ({ kind: "result", reference, reply })),
                settle: reference =>
                    runner.ask((reply: Reply<Progress>) => ({ kind: "settle", reference, reply })),
                cancel: reference =>
                    runner.ask((reply: Reply<Progress>) => ({ kind: "cancel", reference, reply })),
            },
            async drain() {
                draining = true;
                runner.send({ kind: "drain" });
                return { draining: true };
            },
        }),
    );

    async function report(): Promise<Report> {
        return {
            name: settings.name,
            incarnation,
            sequence: sequence++,
            address: peerListener.address,
            availabilityZone: settings.availabilityZone,
            server: "runner",
            state: draining ? "draining" : "serving",
            configurationRevision: 0,
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
        report,
        send: (entry, message) =>
            peerCall(REPORT_TIMEOUT_MS, signal => clients.entry(entry).announce.mutate(message, { signal })),
        fetch: (entry, afterRevision) =>
            peerCall(REPORT_TIMEOUT_MS, signal =>
                clients.entry(entry).configuration.mutate({ afterRevision }, { signal }),
            ),
        adopted: configuration => {
            runner.send({ kind: "accounts", accounts: configuration.document.clientAccounts });
            log.part("configuration").info("A configuration was adopted.", {
                revision: configuration.revision,
            });
        },
    });
    log.info("The agent is serving.", { peerAddress: peerListener.address });

    return {
        addresses: { peerAddress: peerListener.address },
        async stop() {
            draining = true;
            runner.send({ kind: "drain" });
            await runner.ask((reply: Reply<undefined>) => ({ kind: "idle", reply }));
            await announcement.stop();
            await peerListener.close();
            await runner.stop();
            await runnerClient.close();
            await clients.close();
            log.info("The agent has stopped.");
        },
    };
}
