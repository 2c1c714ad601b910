import { startJobTask } from "@tanagerdeck/caller/job/jobTask";
import type { Dispatch, JobCalls, JobMessage, JobReply } from "@tanagerdeck/caller/job/jobTaskTypes";
import { startWorkerTask } from "@tanagerdeck/backend/worker/workerTask";
import type { WorkerMessage, WorkerStatus } from "@tanagerdeck/backend/worker/workerTypes";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { GangReport, Report, ReportReply } from "@tanagerdeck/decisions/fleet/reportTypes";
import { boundAccounts } from "@tanagerdeck/decisions/ledger/acceleratorLedger";
import { startAnnouncementTask } from "@tanagerdeck/peer/announcement/announcementTask";
import { startAnchorTask } from "@tanagerdeck/peer/gang/anchorTask";
import type { AnchorMessage } from "@tanagerdeck/peer/gang/anchorTypes";
import { MEMBER_TIMEOUT_MS, type MemberCalls } from "@tanagerdeck/peer/gang/gangCalls";
import type { GangHandlers } from "@tanagerdeck/peer/gang/gangHandlers";
import { startMembershipTask, type MembershipMessage } from "@tanagerdeck/peer/membership/membershipTask";
import { createJobRecords } from "@tanagerdeck/store/record/jobRecords";
import { createGangMemberHandlers } from "@tanagerdeck/tanagerdeck/agent/gangMemberHandlers";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import { noopMetrics, type Metrics } from "@tanagerdeck/runtime/metrics/metricsTypes";
import type { Reply, Task } from "@tanagerdeck/runtime/task/task";
import { createWorkerModel, healthyWorkerFaults, type WorkerModel } from "../worker/workerModel.ts";
import { createNetworkFixture, type NetworkFixture } from "./networkFixture.ts";
import { createProcessFixture, type ProcessFixture } from "./processFixture.ts";
import { createSimpleDispatch } from "./simpleDispatch.ts";
import { createStoreFixture, type StoreFixture } from "./storeFixture.ts";
import { createWorkerCalls } from "./workerCallsFixture.ts";

const COORDINATOR_TIMEOUT_MS = 1_000;
const REPORT_INTERVAL_MS = 2_000;

/** An agent and its worker model, with the production worker and anchor tasks. */
export interface AgentFixture {
    process: ProcessFixture;
    model: WorkerModel;
    worker: Task<WorkerMessage>;
    anchor: Task<AnchorMessage>;
    handlers: GangHandlers;
}

/** An entry with the production job and membership tasks. */
export interface EntryFixture {
    process: ProcessFixture;
    jobs: Task<JobMessage>;
    membership: Task<MembershipMessage>;
}

/** Entries, agents and workers that share one manual clock and a network with fault injection. */
export interface GangFixture {
    clock: ManualClock;
    network: NetworkFixture;
    platform: StoreFixture;
    entries: EntryFixture[];
    agents: AgentFixture[];
    /** Kills an agent and starts a new incarnation of it with the same worker. */
    restartAgent(position: number): void;
    submit(entry: number, job: JobSubmission): Promise<JobReply>;
    cancel(entry: number, id: string, clientAccount: string): Promise<JobReply>;
    status(entry: number, id: string, clientAccount: string): Promise<JobReply>;
    stop(): Promise<void>;
}

/** A job that a test submits. */
export interface JobSubmission {
    id: string;
    clientAccount: string;
    kind: string;
    accelerators: number;
    ms: number;
}

/** Size and policies of a fixture. */
export interface GangFixtureOptions {
    workers: number;
    accelerators: number;
    entries: number;
    configuration: Configuration;
    random: () => number;
    metrics?: Metrics;
    /** Dispatch policy; by default `createSimpleDispatch` with first-fit placement. */
    dispatch?: Dispatch;
}

/** Starts all tasks and waits until every entry knows every worker. */
export async function startGangFixture(options: GangFixtureOptions): Promise<GangFixture> {
    const clock = createManualClock();
    const network = createNetworkFixture(clock);
    const platform = createStoreFixture(clock);
    const entries: EntryFixture[] = [];
    const agents: AgentFixture[] = [];
    let incarnations = 0;

    function findAgent(address: string): AgentFixture | undefined {
        return agents.find(agent => agent.process.name === address);
    }

    function createAgentCall(from: ProcessFixture, timeoutMs: number) {
        return <K extends keyof GangHandlers>(step: K) =>
            (address: string, input: Parameters<GangHandlers[K]>[0]) => {
                const to = findAgent(address);
                const handle = to?.handlers[step] as
                    ((value: unknown) => ReturnType<GangHandlers[K]>) | undefined;
                const run = () => handle!(input) as Promise<Awaited<ReturnType<GangHandlers[K]>>>;
                return network.call(from, to?.process, { step, input }, timeoutMs, run);
            };
    }

    function startAgent(position: number, model: WorkerModel): AgentFixture {
        const name = `agent-${position}`;
        const process = createProcessFixture(name, clock);
        const incarnation = `incarnation-${incarnations++}`;
        const call = createAgentCall(process, MEMBER_TIMEOUT_MS);
        const calls: MemberCalls = {
            prepare: call("prepare"),
            start: call("start"),
            renew: call("renew"),
            stop: call("stop"),
        };
        const log = noopLog;
        const anchor = startAnchorTask({
            address: () => name,
            incarnation,
            clock: process.clock,
            log,
            calls,
        });
        const rack = `rack-${Math.floor(position / 3)}`;
        const slot = position % 3;
        const worker = startWorkerTask({
            rack,
            slot,
            accelerators: options.accelerators,
            incarnation,
            clock: process.clock,
            log,
            calls: createWorkerCalls(process, model, clock),
            askReclaim: (address, reference) => void call("reclaimGang")(address, reference),
        });
        const { bindings } = options.configuration;
        worker.send({ kind: "bindings", bound: boundAccounts(bindings, rack, slot, options.accelerators) });
        startAnnouncements(process, incarnation, worker, anchor);
        return { process, model, worker, anchor, handlers: createGangMemberHandlers(worker, anchor) };
    }

    function startAnnouncements(
        process: ProcessFixture,
        incarnation: string,
        worker: Task<WorkerMessage>,
        anchor: Task<AnchorMessage>,
    ): void {
        let sequence = 0;
        startAnnouncementTask({
            seeds: entries.map(entry => entry.process.name),
            reportIntervalMs: REPORT_INTERVAL_MS,
            clock: process.clock,
            log: noopLog,
            async report(): Promise<Report> {
                const status = await worker.ask((reply: Reply<WorkerStatus>) => ({ kind: "status", reply }));
                const gangs = await anchor.ask((reply: Reply<GangReport[]>) => ({ kind: "reports", reply }));
                return {
                    name: process.name,
                    incarnation,
                    sequence: sequence++,
                    address: process.name,
                    availabilityZone: "zone",
                    server: "worker",
                    state: "serving",
                    configurationRevision: 0,
                    worker: status.load,
                    gangs,
                    usage: status.usage,
                };
            },
            random: () => 0,
            send(address, report) {
                const entry = entries.find(candidate => candidate.process.name === address);
                const run = () => announce(entry!, report);
                const label = { step: "announce", input: report };
                return network.call(process, entry?.process, label, COORDINATOR_TIMEOUT_MS, run);
            },
            onReply(_entry, { recordedGangs }) {
                anchor.send({ kind: "recorded", keys: recordedGangs });
            },
        });
    }

    async function announce(entry: EntryFixture, report: Report): Promise<ReportReply> {
        const { gangs } = report;
        const reply = await entry.membership.ask((done: Reply<ReportReply>) => ({
            kind: "report",
            report,
            reply: done,
        }));
        const recordedGangs = await entry.jobs.ask((done: Reply<string[]>) => ({
            kind: "gangs",
            gangs,
            reply: done,
        }));
        return { ...reply, recordedGangs };
    }

    function startEntry(position: number): EntryFixture {
        const process = createProcessFixture(`entry-${position}`, clock);
        const call = createAgentCall(process, COORDINATOR_TIMEOUT_MS);
        const calls: JobCalls = {
            reserve: call("reserve"),
            release: call("release"),
            commit: call("commit"),
            settleGang: call("settleGang"),
        };
        let nextId = 0;
        const jobs = startJobTask({
            entry: process.name,
            clock: process.clock,
            log: noopLog,
            random: options.random,
            newId: () => `${process.name}-${nextId++}`,
            calls,
            records: createJobRecords(platform.store, "test", process.clock),
            dispatch: options.dispatch ?? createSimpleDispatch(),
            metrics: options.metrics ?? noopMetrics,
        });
        jobs.send({ kind: "configuration", configuration: options.configuration });
        const membership = startMembershipTask({
            clock: process.clock,
            log: noopLog,
            reportIntervalMs: REPORT_INTERVAL_MS,
            onChanged: fleet => jobs.send({ kind: "fleet", agents: fleet }),
        });
        return { process, jobs, membership };
    }

    function askEntry(position: number, build: (reply: Reply<JobReply>) => JobMessage): Promise<JobReply> {
        const { process, jobs } = entries[position]!;
        return new Promise(resolve =>
            process.deliver(() => void jobs.ask(build).then(reply => process.deliver(() => resolve(reply)))),
        );
    }

    for (let position = 0; position < options.entries; position++) {
        entries.push(startEntry(position));
    }
    for (let position = 0; position < options.workers; position++) {
        const model = createWorkerModel(clock, { ...healthyWorkerFaults(), usageLagMs: 0 });
        agents.push(startAgent(position, model));
    }
    // Only the second announcement shows the workers as they are after adopting their tasks.
    await clock.advance(REPORT_INTERVAL_MS + 100);

    return {
        clock,
        network,
        platform,
        entries,
        agents,
        restartAgent(position) {
            const old = agents[position]!;
            old.process.kill();
            agents[position] = startAgent(position, old.model);
        },
        submit(entry, { id, clientAccount, kind, accelerators, ms }) {
            const shape = { span: "neighbouring-racks" as const, accelerators };
            const body = JSON.stringify({ ms });
            const job = { id, clientAccount, kind, shape, seconds: 1, body };
            return askEntry(entry, reply => ({ kind: "submit", job, reply }));
        },
        cancel: (entry, id, clientAccount) =>
            askEntry(entry, reply => ({ kind: "cancel", job: { id, clientAccount }, reply })),
        status: (entry, id, clientAccount) =>
            askEntry(entry, reply => ({ kind: "status", job: { id, clientAccount }, reply })),
        async stop() {
            for (const { process } of [...agents, ...entries]) {
                process.kill();
            }
            await clock.settle();
        },
    };
}
