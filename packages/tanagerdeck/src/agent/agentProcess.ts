import { nanoid } from "nanoid";
import { createPeerClients } from "@tanagerdeck/peer/link/peerClient";
import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import { createLog } from "@tanagerdeck/runtime/log/log";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import type { AgentSettings } from "../settings/settingsSchema.ts";
import { startAgentCore, type AgentCore } from "./agentCore.ts";
import { startRunnerServer } from "./runnerServer.ts";
import { startWorkerServer } from "./workerServer.ts";

/** Starts the agent of a backend server and wires its tasks. */
export async function startAgent(settings: AgentSettings): Promise<RunningProcess> {
    const { server } = settings;
    const log = createLog(settings.name, settings.logLevel);
    const clock = systemClock;
    const clients = createPeerClients(settings.peerToken);
    const incarnation = nanoid(10);
    const started: { core?: AgentCore } = {};
    const core = await startAgentCore({
        settings,
        incarnation,
        clients,
        clock,
        log,
        connect(require) {
            if (server.kind === "runner") {
                return startRunnerServer(server, clock, log, require);
            }
            return startWorkerServer({
                settings: server,
                incarnation,
                address: () => started.core?.peerAddress ?? settings.peerAddress,
                drainGraceMs: settings.drainGraceMs,
                clients,
                clock,
                log,
            });
        },
    });
    started.core = core;

    return {
        addresses: { peerAddress: core.peerAddress },
        async stop() {
            await core.stop();
            await clients.close();
        },
    };
}
