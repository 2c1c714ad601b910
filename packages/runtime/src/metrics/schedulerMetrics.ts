import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Clock } from "../clock/clock.ts";

/** Result of a caller's submission or cancellation. */
export type ApiCallOutcome = "accepted" | "repeated" | "refused" | "unclear" | "denied" | "unavailable";

/** Kinds of calls to the store, which count differently against its rate limits. */
export type StoreOperation = "read" | "watch" | "write" | "lease";

/** Result of a call to the store or to a worker. */
export type RemoteCallResult = "answered" | "turned-away" | "unanswered";

/** Number of workers by condition, and of task groups that wait for a placement or have one. */
export interface FleetCounts {
    workers: Record<string, number>;
    waitingGroups: number;
    placedGroups: number;
}

/** Receives measurements from the parts of the scheduler. Labels have a bounded number of values. */
export interface SchedulerMetrics {
    submitted(outcome: ApiCallOutcome, seconds: number): void;
    cancelled(outcome: ApiCallOutcome): void;
    /** Records that a job reached its final state `seconds` after its acceptance. */
    jobEnded(state: string, priority: number, seconds: number): void;
    /** Records that the last task of a group started `seconds` after the group was allowed to start. */
    groupStarted(priority: number, seconds: number): void;
    groupPlaced(isFar: boolean): void;
    groupPreempted(): void;
    /** Counts a group that is stopped because a worker of it leaves. */
    groupMoved(): void;
    /** Duration of a scheduling round with its records and orders, in seconds. */
    roundEnded(seconds: number): void;
    runEnded(end: string): void;
    /** Records that the end of a run was stored `seconds` after its report. */
    endRecorded(seconds: number): void;
    /** Counts a run that a worker listed and the leader did not open. */
    strayRunFound(): void;
    /** Sets the term in which this process leads; undefined if it does not lead. */
    leaderTerm(term: number | undefined): void;
    /** Records a call to the store with its duration and the size of its reply's body. */
    storeCalled(operation: StoreOperation, result: RemoteCallResult, seconds: number, bytes: number): void;
    manifestRevision(revision: number): void;
    /** Records that the manifest in force was confirmed to be the store's newest. */
    manifestConfirmed(): void;
    /** Sets the evacuated availability zones with the store revisions of their requests. */
    zonesEvacuated(revisions: ReadonlyMap<string, number>): void;
    /** Sets the number of tasks that still run in evacuated zones; 0 if this process does not lead. */
    tasksInEvacuatedZones(count: number): void;
    fleet(load: FleetCounts): void;
    /** Sets the number of workers by learned speed. */
    workerSpeeds(counts: Record<"slow" | "normal" | "fast", number>): void;
    workerCalled(call: "hold" | "start" | "stop", result: RemoteCallResult | "refused"): void;
    /** Counts a start that the worker or its agent refused. */
    startRefused(reason: string): void;
}

/** Metrics that record nothing, for tests. */
export const noopSchedulerMetrics: SchedulerMetrics = {
    submitted() {},
    cancelled() {},
    jobEnded() {},
    groupStarted() {},
    groupPlaced() {},
    groupPreempted() {},
    groupMoved() {},
    roundEnded() {},
    runEnded() {},
    endRecorded() {},
    strayRunFound() {},
    leaderTerm() {},
    storeCalled() {},
    manifestRevision() {},
    manifestConfirmed() {},
    zonesEvacuated() {},
    tasksInEvacuatedZones() {},
    fleet() {},
    workerSpeeds() {},
    workerCalled() {},
    startRefused() {},
};

const CALL_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5];
const JOB_BUCKETS_SECONDS = [1, 2.5, 5, 10, 20, 40, 80, 160, 600, 3_600];
const ROUND_BUCKETS_SECONDS = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1];
const START_BUCKETS_SECONDS = [0.05, 0.1, 0.25, 0.5, 1, 2, 3.4, 4.9, 10, 30];

/** Registers the scheduler's metrics. `droppedLines` is called each time the metrics are read. */
export function createSchedulerMetrics(
    registry: Registry,
    clock: Clock,
    droppedLines: () => number,
): SchedulerMetrics {
    const registers = [registry];
    const submissions = new Histogram({
        name: "tanagerdeck_submission_seconds",
        help: "Time to answer a submission, by outcome.",
        labelNames: ["outcome"],
        buckets: CALL_BUCKETS_SECONDS,
        registers,
    });
    const cancellations = new Counter({
        name: "tanagerdeck_cancellations_total",
        help: "Cancellations, by outcome.",
        labelNames: ["outcome"],
        registers,
    });
    const jobs = new Histogram({
        name: "tanagerdeck_job_seconds",
        help: "Time from acceptance to the final state of a job.",
        labelNames: ["state", "priority"],
        buckets: JOB_BUCKETS_SECONDS,
        registers,
    });
    const starts = new Histogram({
        name: "tanagerdeck_group_start_seconds",
        help: "Time from when a group may start until all its tasks have.",
        labelNames: ["priority"],
        buckets: START_BUCKETS_SECONDS,
        registers,
    });
    const placements = new Counter({
        name: "tanagerdeck_placements_total",
        help: "Groups placed; far ones run away from their data or from each other.",
        labelNames: ["far"],
        registers,
    });
    const preemptions = new Counter({
        name: "tanagerdeck_preemptions_total",
        help: "Groups closed to make room for others.",
        registers,
    });
    const moves = new Counter({
        name: "tanagerdeck_moves_total",
        help: "Groups stopped because a worker of theirs leaves.",
        registers,
    });
    const rounds = new Histogram({
        name: "tanagerdeck_round_seconds",
        help: "Time of scheduling rounds, with building the records and orders that follow from them.",
        buckets: ROUND_BUCKETS_SECONDS,
        registers,
    });
    const runs = new Counter({
        name: "tanagerdeck_run_ends_total",
        help: "Ends of runs, by how they ended.",
        labelNames: ["end"],
        registers,
    });
    const endRecords = new Histogram({
        name: "tanagerdeck_end_recorded_seconds",
        help: "Time from the report of a run's end until the store has it.",
        buckets: CALL_BUCKETS_SECONDS,
        registers,
    });
    const strays = new Counter({
        name: "tanagerdeck_stray_runs_total",
        help: "Runs listed by a worker that the leader did not open.",
        registers,
    });
    const term = new Gauge({
        name: "tanagerdeck_leader_term",
        help: "Term in which this process leads; 0 if it does not.",
        registers,
    });
    const storeCalls = new Histogram({
        name: "tanagerdeck_store_call_seconds",
        help: "Time of calls to the store, by operation and result.",
        labelNames: ["operation", "result"],
        buckets: CALL_BUCKETS_SECONDS,
        registers,
    });
    const storeReplyBytes = new Counter({
        name: "tanagerdeck_store_reply_bytes_total",
        help: "Bytes of the store's replies, by operation.",
        labelNames: ["operation"],
        registers,
    });
    let manifestConfirmedAtMs: number | undefined;
    new Gauge({
        name: "tanagerdeck_manifest_age_seconds",
        help: "Time since the manifest in force was confirmed to be the store's newest; -1 before the first.",
        registers,
        collect() {
            this.set(
                manifestConfirmedAtMs === undefined ? -1 : (clock.now() - manifestConfirmedAtMs) / 1_000,
            );
        },
    });
    const revision = new Gauge({
        name: "tanagerdeck_manifest_revision",
        help: "Store revision of the manifest in force; 0 before the first.",
        registers,
    });
    const zones = new Gauge({
        name: "tanagerdeck_zone_evacuated",
        help: "Evacuated availability zones; the value is the store revision of the request.",
        labelNames: ["zone"],
        registers,
    });
    const evacuatedTasks = new Gauge({
        name: "tanagerdeck_tasks_in_evacuated_zones",
        help: "Tasks known to the leader that still run in evacuated availability zones.",
        registers,
    });
    const workers = new Gauge({
        name: "tanagerdeck_workers",
        help: "Workers known to the leader, by condition.",
        labelNames: ["condition"],
        registers,
    });
    const speeds = new Gauge({
        name: "tanagerdeck_worker_speeds",
        help: "Workers known to the leader, by learned speed.",
        labelNames: ["speed"],
        registers,
    });
    const groups = new Gauge({
        name: "tanagerdeck_groups",
        help: "Task groups known to the leader that wait for a place or have one.",
        labelNames: ["phase"],
        registers,
    });
    const workerCalls = new Counter({
        name: "tanagerdeck_worker_calls_total",
        help: "Calls of an agent to its worker, by result.",
        labelNames: ["call", "result"],
        registers,
    });
    const refusedStarts = new Counter({
        name: "tanagerdeck_starts_refused_total",
        help: "Starts refused by the worker or its agent, by reason.",
        labelNames: ["reason"],
        registers,
    });
    new Gauge({
        name: "tanagerdeck_log_lines_dropped",
        help: "Log lines dropped because of the budget or a stopped reader.",
        registers,
        collect() {
            this.set(droppedLines());
        },
    });

    return {
        submitted: (outcome, seconds) => submissions.observe({ outcome }, seconds),
        cancelled: outcome => cancellations.inc({ outcome }),
        jobEnded: (state, priority, seconds) => jobs.observe({ state, priority }, seconds),
        groupStarted: (priority, seconds) => starts.observe({ priority }, seconds),
        groupPlaced: isFar => placements.inc({ far: String(isFar) }),
        groupPreempted: () => preemptions.inc(),
        groupMoved: () => moves.inc(),
        roundEnded: seconds => rounds.observe(seconds),
        runEnded: end => runs.inc({ end }),
        endRecorded: seconds => endRecords.observe(seconds),
        strayRunFound: () => strays.inc(),
        leaderTerm: value => term.set(value ?? 0),
        storeCalled(operation, result, seconds, bytes) {
            storeCalls.observe({ operation, result }, seconds);
            storeReplyBytes.inc({ operation }, bytes);
        },
        manifestRevision: value => revision.set(value),
        manifestConfirmed() {
            manifestConfirmedAtMs = clock.now();
        },
        zonesEvacuated(revisions) {
            zones.reset();
            for (const [zone, requestRevision] of revisions) {
                zones.set({ zone }, requestRevision);
            }
        },
        tasksInEvacuatedZones: count => evacuatedTasks.set(count),
        fleet(load) {
            workers.reset();
            for (const [condition, count] of Object.entries(load.workers)) {
                workers.set({ condition }, count);
            }
            groups.set({ phase: "waiting" }, load.waitingGroups);
            groups.set({ phase: "placed" }, load.placedGroups);
        },
        workerSpeeds(counts) {
            for (const [speed, count] of Object.entries(counts)) {
                speeds.set({ speed }, count);
            }
        },
        workerCalled: (call, result) => workerCalls.inc({ call, result }),
        startRefused: reason => refusedStarts.inc({ reason }),
    };
}
