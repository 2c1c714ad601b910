import { nanoid } from "nanoid";
import { createJobRoutes } from "@tanagerdeck/caller/job/jobRoutes";
import { startJobTask } from "@tanagerdeck/caller/job/jobTask";
import type { Dispatch, JobMessage, JobReply } from "@tanagerdeck/caller/job/jobTaskTypes";
import type { CallerContext } from "@tanagerdeck/caller/listener/callerListener";
import type { Report, ReportReply } from "@tanagerdeck/decisions/fleet/reportTypes";
import { createCoordinatorCalls } from "@tanagerdeck/peer/gang/gangCalls";
import type { PeerClients } from "@tanagerdeck/peer/link/peerClient";
import { createJobRecords } from "@tanagerdeck/store/record/jobRecords";
import type { Store } from "@tanagerdeck/store/store/storeTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Routes } from "@tanagerdeck/runtime/http/routes";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Metrics } from "@tanagerdeck/runtime/metrics/metricsTypes";
import type { Reply, Task } from "@tanagerdeck/runtime/task/task";

/** Longest wait for the platform when an entry stops. */
const HAND_OVER_TIMEOUT_MS = 3_000;

/** What the jobs task of an entry depends on. */
export interface JobServiceOptions {
    entry: string;
    environment: string;
    store: Store;
    clients: PeerClients;
    clock: Clock;
    log: Log;
    dispatch: Dispatch;
    metrics: Metrics;
}

/** The jobs task of an entry. */
export interface JobService {
    task: Task<JobMessage>;
    routes: Routes<CallerContext>;
    /** Adds the recorded ends to the reply to a report. */
    addRecordedGangs(report: Report, reply: ReportReply): Promise<ReportReply>;
    /** Claims the jobs of an entry whose registration has ended, and those that were handed over. */
    claimJobs(owner: string): void;
    /** Leaves the waiting jobs to other entries; gives up after a time limit if the platform is down. */
    handOverJobs(): Promise<void>;
}

/** Starts and connects the jobs task of an entry. */
export function startJobService(options: JobServiceOptions): JobService {
    const { entry, environment, store, clients, clock, log, dispatch, metrics } = options;
    const task = startJobTask({
        entry,
        clock,
        log: log.part("jobs"),
        random: Math.random,
        newId: nanoid,
        calls: createCoordinatorCalls(clients),
        records: createJobRecords(store, environment, clock),
        dispatch,
        metrics,
    });
    // A restarted entry finds the jobs of its former incarnation under its own name.
    task.send({ kind: "claim", owner: entry });

    return {
        task,
        routes: createJobRoutes({
            submit: job => task.ask((reply: Reply<JobReply>) => ({ kind: "submit", job, reply })),
            status: job => task.ask((reply: Reply<JobReply>) => ({ kind: "status", job, reply })),
            cancel: job => task.ask((reply: Reply<JobReply>) => ({ kind: "cancel", job, reply })),
        }),
        async addRecordedGangs({ gangs }, reply) {
            if (gangs.length === 0 || !reply.accepted) {
                return reply;
            }
            const recorded = await task.ask((done: Reply<string[]>) => ({
                kind: "gangs",
                gangs,
                reply: done,
            }));
            return { ...reply, recordedGangs: [...reply.recordedGangs, ...recorded] };
        },
        claimJobs(owner) {
            task.send({ kind: "claim", owner });
        },
        handOverJobs: () =>
            Promise.race([
                task.ask((reply: Reply<void>) => ({ kind: "hand-over", reply })),
                new Promise<void>(resolve => clock.startTimer(HAND_OVER_TIMEOUT_MS, resolve)),
            ]),
    };
}
