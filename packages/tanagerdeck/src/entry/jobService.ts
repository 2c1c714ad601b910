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

/** Timeout of the hand-over when an entry stops; it bounds the wait for an unreachable platform. */
const HAND_OVER_TIMEOUT_MS = 3_000;

/** Dependencies of the job service. */
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

/** The job task of an entry and the operations that its listeners use. */
export interface JobService {
    task: Task<JobMessage>;
    routes: Routes<CallerContext>;
    /** Adds the gangs whose ends are recorded on the platform to the reply to an agent's report. */
    addRecordedGangs(report: Report, reply: ReportReply): Promise<ReportReply>;
    /** Takes over the jobs of an entry whose registration has ended, and the jobs that entries have handed over. */
    claimJobs(owner: string): void;
    /** Hands the queued jobs over to other entries; stops waiting after a timeout if the platform is down. */
    handOverJobs(): Promise<void>;
}

/** Starts the job task of an entry and claims the jobs that a former process of the same name has left. */
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
    // The jobs of a former incarnation of this entry are recorded under the same entry name.
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
