import { leaseTimes, type LeaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import type {
    StartOrder,
    SyncReply,
    SyncReport,
    SyncRequest,
} from "@tanagerdeck/decisions/worker/workerReport";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import { noopSchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import type { Reply, Task } from "@tanagerdeck/runtime/task/task";
import { createScriptedWorker, type ScriptedWorker } from "@tanagerdeck/standins/agent/scriptedWorker";
import { startAgentTask } from "../agentTask.ts";
import type { AgentMessage, AgentOptions } from "../agentTypes.ts";
import type { WorkerHeartbeat } from "../workerPort.ts";

/** The boot that the scripted worker has at first. */
export const FIRST_BOOT = { id: "i-1", bornMs: 1_000 };

/** An agent task between a scripted worker and a leader whose calls a test makes. */
export interface AgentHarness {
    clock: ManualClock;
    worker: ScriptedWorker;
    times: LeaseTimes;
    /** The running agent task; another one after a restart. */
    agent(): Task<AgentMessage>;
    stop(): Promise<void>;
    /** Starts another agent task, which knows nothing of the one before; it is the incarnation `first` if none is given. */
    start(incarnation?: string): void;
    sendHeartbeat(changes?: Partial<WorkerHeartbeat>): Promise<void>;
    /** The worker starts again as another boot and says so. */
    restartWorker(boot: { id: string; bornMs: number }): Promise<void>;
    /** Makes a call of the leader of term 7. */
    sync(changes?: Partial<SyncRequest>): Promise<SyncReply>;
    /** Makes a call of the leader and returns the report; fails if the call is stale. */
    report(changes?: Partial<SyncRequest>): Promise<SyncReport>;
    /** Sends the first heartbeat and grants the renewal of the lease. */
    startWithGrant(): Promise<SyncReport["stamp"]>;
    /** Sequence number of the leader's latest call. */
    lastSequence(): number;
}

/** Starts an agent task beside a scripted worker; `changes` replace its usual options. */
export function startAgentHarness(changes: Partial<AgentOptions> = {}): AgentHarness {
    const times = leaseTimes(6_000);
    const clock = createManualClock();
    const worker = createScriptedWorker(clock);
    let agent: Task<AgentMessage>;
    let heartbeats = 0;
    let calls = 0;

    const harness: AgentHarness = {
        clock,
        worker,
        times,
        agent: () => agent,
        stop: () => agent.stop(),
        start(incarnation = "first") {
            calls = 0;
            agent = startAgentTask({
                port: worker,
                service: () => "desk",
                times,
                incarnation,
                clock,
                log: noopLog,
                metrics: noopSchedulerMetrics,
                ...changes,
            });
        },
        sendHeartbeat(changes = {}) {
            const heartbeat: WorkerHeartbeat = {
                ...FIRST_BOOT,
                sequence: ++heartbeats,
                service: "desk",
                availabilityZone: "zone",
                isDraining: false,
                labels: ["a", "r1"],
                rack: "r1",
                capacity: { cpuMillis: 64_000, memoryMb: 1_000, gpus: 8 },
                clockMs: worker.clockMs(),
                ...changes,
            };
            return agent.ask((reply: Reply<void>) => ({ kind: "heartbeat", heartbeat, reply }));
        },
        async restartWorker(boot) {
            worker.id = boot.id;
            worker.bornMs = boot.bornMs;
            await harness.sendHeartbeat(boot);
            await clock.settle();
        },
        sync(changes = {}) {
            const request: SyncRequest = {
                term: 7,
                sequence: ++calls,
                starts: [],
                stops: [],
                seenVersion: 0,
                waitMs: 0,
                ...changes,
            };
            return agent.ask((reply: Reply<SyncReply>) => ({ kind: "sync", request, reply }));
        },
        async report(changes = {}) {
            const reply = await harness.sync(changes);
            if (reply.kind !== "report") {
                throw new Error("The call was stale.");
            }
            return reply.report;
        },
        async startWithGrant() {
            await harness.sendHeartbeat();
            const { stamp } = await harness.report();
            await harness.sync({ grant: { stamp, ms: times.grantMs } });
            await clock.settle();
            return stamp;
        },
        lastSequence: () => calls,
    };
    harness.start();
    return harness;
}

/** An order of the leader to start a task on the first boot. */
export function startOrder(task: string, run = 1): StartOrder {
    return { task, run, boot: FIRST_BOOT, spec: "spec" };
}
