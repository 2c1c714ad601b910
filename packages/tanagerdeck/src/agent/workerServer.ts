import { createWorkerClient } from "@tanagerdeck/backend/worker/workerClient";
import { startWorkerTask } from "@tanagerdeck/backend/worker/workerTask";
import type { WorkerStatus } from "@tanagerdeck/backend/worker/workerTypes";
import type { GangReport } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { ReserveReply } from "@tanagerdeck/decisions/gang/gangTypes";
import { boundAccounts } from "@tanagerdeck/decisions/ledger/acceleratorLedger";
import type { Progress } from "@tanagerdeck/decisions/request/requestTypes";
import { failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { startAnchorTask } from "@tanagerdeck/peer/gang/anchorTask";
import { createMemberCalls } from "@tanagerdeck/peer/gang/gangCalls";
import type { GangHandlers } from "@tanagerdeck/peer/gang/gangHandlers";
import type { RequestHandlers } from "@tanagerdeck/peer/link/agentRouter";
import { peerCall } from "@tanagerdeck/peer/link/peerCall";
import type { PeerClients } from "@tanagerdeck/peer/link/peerClient";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import type { BackendServer, RequireConfiguration } from "./agentCore.ts";
import { createGangMemberHandlers } from "./gangMemberHandlers.ts";

const noRunnerFailure = failure("not-run", "invalid", "This agent has no runner.");

const RECLAIM_TIMEOUT_MS = 1_000;
/** Interval at which a draining agent checks whether parts still run on its worker. */
const DRAIN_POLL_MS = 200;

/** Address, position in the racks and accelerator count of an agent's worker. */
export interface WorkerSettings {
    address: string;
    rack: string;
    slot: number;
    accelerators: number;
}

/** Dependencies of the tasks of a worker's agent. */
export interface WorkerServerOptions {
    settings: WorkerSettings;
    incarnation: string;
    /** Returns the `ip:port` to which this agent's peer listener is bound. */
    agentAddress: () => string;
    drainGraceMs: number;
    requireConfiguration: RequireConfiguration;
    clients: PeerClients;
    clock: Clock;
    log: Log;
}

function refuseRequest({ id }: { id: string }): Progress {
    return { kind: "done", id, outcome: noRunnerFailure };
}

/** Request handlers of an agent without a runner: every call is refused. */
const refusingRequestHandlers: RequestHandlers = {
    submit: async ({ request }) => refuseRequest(request),
    result: async reference => refuseRequest(reference),
    settle: async reference => refuseRequest(reference),
    cancel: async reference => refuseRequest(reference),
};

/** Starts the tasks of a worker's agent: the worker task for its parts and the anchor task for its gangs. */
export function startWorkerServer(options: WorkerServerOptions): BackendServer {
    const { settings, incarnation, clients, clock, log, agentAddress, drainGraceMs, requireConfiguration } =
        options;
    const { rack, slot, accelerators } = settings;
    const client = createWorkerClient(settings.address);
    const anchor = startAnchorTask({
        address: agentAddress,
        incarnation,
        clock,
        log: log.part("anchor"),
        calls: createMemberCalls(clients),
    });
    const worker = startWorkerTask({
        rack,
        slot,
        accelerators,
        incarnation,
        clock,
        log: log.part("worker"),
        calls: client.calls,
        askReclaim: (target, reference) =>
            void peerCall(RECLAIM_TIMEOUT_MS, signal =>
                clients.agent(target).reclaimGang.mutate(reference, { signal }),
            ),
    });
    const status = () => worker.ask((reply: Reply<WorkerStatus>) => ({ kind: "status", reply }));

    const memberHandlers = createGangMemberHandlers(worker, anchor);
    const gangs: GangHandlers = {
        ...memberHandlers,
        async reserve(reservation) {
            const current = await requireConfiguration(reservation.configurationRevision);
            return current.caseOf<Promise<ReserveReply>>({
                Left: async () => ({ kind: "refused", reason: "stale-configuration" }),
                Right: () => memberHandlers.reserve(reservation),
            });
        },
    };

    return {
        handlers: { gangs, requests: refusingRequestHandlers },
        async report() {
            const { load, usage } = await status();
            const gangs = await anchor.ask((reply: Reply<GangReport[]>) => ({ kind: "reports", reply }));
            return { worker: load, gangs, usage };
        },
        applyConfiguration({ bindings }) {
            worker.send({ kind: "bindings", bound: boundAccounts(bindings, rack, slot, accelerators) });
        },
        handleReportReply({ recordedGangs }) {
            anchor.send({ kind: "recorded", keys: recordedGangs });
        },
        async drain() {
            worker.send({ kind: "drain" });
            const deadline = clock.now() + drainGraceMs;
            let isCheckpointing = false;
            while ((await status()).parts > 0) {
                if (!isCheckpointing && clock.now() >= deadline) {
                    isCheckpointing = true;
                    worker.send({ kind: "drain-end" });
                }
                await new Promise<void>(resolve => clock.startTimer(DRAIN_POLL_MS, resolve));
            }
        },
        async stop() {
            await worker.stop();
            await anchor.stop();
            await client.close();
        },
    };
}
