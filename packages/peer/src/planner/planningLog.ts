import type { QueueTerms } from "@tanagerdeck/decisions/job/jobTypes";
import { dueAtMs, parseTaskName } from "@tanagerdeck/decisions/job/taskGroups";
import type { JobEntry, ClusterState } from "@tanagerdeck/decisions/plan/clusterState";
import type { PlanEvent } from "@tanagerdeck/decisions/plan/planReport";
import type { StalledRun, StuckStart, UnlistedRun } from "@tanagerdeck/decisions/plan/stallDetection";
import type { Decision } from "@tanagerdeck/decisions/schedule/scheduleTypes";
import type { RoundInput } from "@tanagerdeck/decisions/schedule/schedulingRound";
import type { RunId } from "@tanagerdeck/decisions/worker/workerReport";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { SchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";

/** Reports a planner's decisions and observations to the log and the metrics. */
export interface PlanningLog {
    events(cluster: ClusterState, events: PlanEvent[]): void;
    round(cluster: ClusterState, input: RoundInput): void;
    /** Must be called before the decision, which was made on the input, is applied to the cluster state. */
    decision(cluster: ClusterState, decision: Decision, input: RoundInput): void;
    stalled(run: StalledRun): void;
    stuckStart(run: StuckStart): void;
    unlisted(run: UnlistedRun): void;
    quarantine(workers: ReadonlySet<string>): void;
    ended(entry: JobEntry): void;
    /** Reports the ends of these jobs' runs that are now recorded. */
    recorded(cluster: ClusterState, jobs: Iterable<string>): void;
}

/** An end of a run that the store does not have yet. */
interface UnrecordedEnd extends RunId {
    /** Version of the job that must be recorded. */
    version: number;
    reportedAt: number;
}

/** Dependencies of a planning log. */
export interface PlanningLogOptions {
    term: number;
    clock: Clock;
    log: Log;
    metrics: SchedulerMetrics;
    termsOf: (entry: JobEntry) => QueueTerms;
}

const EVENT_MESSAGES: Record<PlanEvent["kind"], string> = {
    started: "A run has started.",
    "all-started": "All tasks of a run have started.",
    ended: "A run has ended.",
    closed: "A run can no longer be running.",
    refused: "A start was refused.",
    stray: "A worker runs a task that this leader did not order.",
    "given-up": "A task is given up because workers crash under it.",
};

/** Creates the planning log for one leader term. */
export function createPlanningLog({ term, clock, log, metrics, termsOf }: PlanningLogOptions): PlanningLog {
    let quarantined: ReadonlySet<string> = new Set();
    const unrecordedEnds = new Map<string, UnrecordedEnd[]>();

    function noteEnd(cluster: ClusterState, job: string, { task, run }: RunId): void {
        const entry = cluster.jobs.get(job);
        if (entry) {
            const ends = unrecordedEnds.get(job) ?? [];
            ends.push({ task, run, version: entry.version, reportedAt: clock.now() });
            unrecordedEnds.set(job, ends);
        }
    }

    function observeStartDelay(entry: JobEntry | undefined, occurrence: number): void {
        if (entry) {
            const sinceMs = Math.max(entry.job.acceptedAtMs, dueAtMs(entry.job, occurrence));
            metrics.groupStarted(termsOf(entry).priority, (clock.wall() - sinceMs) / 1_000);
        }
    }

    function logPlacement(
        cluster: ClusterState,
        { job, group, places, isFar }: Decision & { kind: "place" },
    ): void {
        metrics.groupPlaced(isFar);
        const entry = cluster.jobs.get(job);
        let reportAgeMs = 0;
        for (const { worker } of places) {
            const heardAt = cluster.workers.get(worker)?.lastReportAt ?? 0;
            reportAgeMs = Math.max(reportAgeMs, clock.now() - heardAt);
        }
        log.info("A group was placed.", {
            term,
            job,
            group,
            workers: places.map(place => place.worker).join(" "),
            isFar,
            priority: entry && termsOf(entry).priority,
            waitedMs: entry && Math.round(clock.wall() - entry.job.acceptedAtMs),
            failedOn: [...(entry?.failedOn.get(group)?.keys() ?? [])].join(" ") || undefined,
            reportAgeMs: Math.round(reportAgeMs),
        });
    }

    function logPreemption(cluster: ClusterState, decision: Decision & { kind: "preempt" }): void {
        metrics.groupPreempted();
        const entry = cluster.jobs.get(decision.job);
        const beneficiary = cluster.jobs.get(decision.for);
        const openedAt = entry?.runs.get(decision.group)?.openedAt;
        log.info("A group is preempted.", {
            term,
            job: decision.job,
            group: decision.group,
            for: decision.for,
            priority: entry && termsOf(entry).priority,
            forPriority: beneficiary && termsOf(beneficiary).priority,
            openMs: openedAt === undefined ? undefined : Math.round(clock.now() - openedAt),
        });
    }

    function logMove({ job, group }: Decision & { kind: "move" }, { placed }: RoundInput): void {
        metrics.groupMoved();
        const moved = placed.find(candidate => candidate.job.id === job && candidate.group.key === group);
        log.info("A group is moved from a worker that leaves.", {
            term,
            job,
            group,
            workers: moved?.workers.join(" "),
            leftMs: moved?.leavesInMs === undefined ? undefined : Math.round(moved.leavesInMs),
            expectedMs: moved && Math.round(moved.remainingMs),
        });
    }

    function logRecordedEnds(job: string, ends: UnrecordedEnd[]): void {
        let delayMs = 0;
        for (const { reportedAt } of ends) {
            metrics.endRecorded((clock.now() - reportedAt) / 1_000);
            delayMs = Math.max(delayMs, Math.round(clock.now() - reportedAt));
        }
        const [first] = ends;
        if (first) {
            const { task, run } = first;
            log.info("The ends of runs are recorded.", { term, job, task, run, ends: ends.length, delayMs });
        }
    }

    return {
        events(cluster, events) {
            for (const { kind, job, task, run, worker, detail } of events) {
                const fields = { term, job, task, run, worker, detail };
                if (kind === "given-up") {
                    log.warn(EVENT_MESSAGES[kind], fields);
                    continue;
                }
                log.info(EVENT_MESSAGES[kind], fields);
                if (kind === "ended" || kind === "closed") {
                    metrics.runEnded(detail ?? "lost");
                    noteEnd(cluster, job, { task, run });
                } else if (kind === "stray") {
                    metrics.strayRunFound();
                } else if (kind === "all-started") {
                    observeStartDelay(cluster.jobs.get(job), parseTaskName(task)?.occurrence ?? 0);
                }
            }
        },
        round(cluster, { waiting, placed }) {
            const workers = countByCondition(cluster);
            metrics.fleet({ workers, waitingGroups: waiting.length, placedGroups: placed.length });
        },
        decision(cluster, decision, input) {
            if (decision.kind === "place") {
                logPlacement(cluster, decision);
            } else if (decision.kind === "move") {
                logMove(decision, input);
            } else {
                logPreemption(cluster, decision);
            }
        },
        stalled({ job, group, workers, stalledMs }) {
            log.warn("A run does not progress.", {
                term,
                job,
                group,
                suspects: workers.join(" "),
                stalledMs,
            });
        },
        stuckStart({ job, group, workers }) {
            log.warn("A run did not start in time.", { term, job, group, suspects: workers.join(" ") });
        },
        unlisted({ job, group, workers }) {
            const fields = { term, job, group, workers: workers.join(" ") };
            log.warn("A worker lists a started run neither as running nor as ended.", fields);
        },
        quarantine(workers) {
            for (const worker of workers) {
                if (!quarantined.has(worker)) {
                    log.warn("A worker is quarantined after repeated failures.", {
                        term,
                        worker,
                    });
                }
            }
            for (const worker of quarantined) {
                if (!workers.has(worker)) {
                    log.info("A worker is no longer quarantined.", { term, worker });
                }
            }
            quarantined = workers;
        },
        ended(entry) {
            const { final = "failed" } = entry.progress;
            const seconds = (clock.wall() - entry.job.acceptedAtMs) / 1_000;
            metrics.jobEnded(final, termsOf(entry).priority, seconds);
            log.info("A job has ended.", { term, job: entry.job.id, state: final, seconds });
        },
        recorded(cluster, jobs) {
            for (const job of jobs) {
                const recordedVersion = cluster.jobs.get(job)?.recordedVersion ?? Infinity;
                const recorded: UnrecordedEnd[] = [];
                const unrecorded: UnrecordedEnd[] = [];
                for (const end of unrecordedEnds.get(job) ?? []) {
                    (end.version <= recordedVersion ? recorded : unrecorded).push(end);
                }
                if (unrecorded.length > 0) {
                    unrecordedEnds.set(job, unrecorded);
                } else {
                    unrecordedEnds.delete(job);
                }
                logRecordedEnds(job, recorded);
            }
        },
    };
}

/** Counts workers by condition; a worker without a description counts as unknown. */
function countByCondition(cluster: ClusterState): Record<string, number> {
    const counts: Record<string, number> = { ready: 0, draining: 0, silent: 0, gone: 0, unknown: 0 };
    for (const { description } of cluster.workers.values()) {
        const condition = description?.condition ?? "unknown";
        counts[condition] = (counts[condition] ?? 0) + 1;
    }
    return counts;
}
