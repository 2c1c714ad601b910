import type { QueueTerms } from "@tanagerdeck/decisions/job/jobTypes";
import type { ManifestIndex } from "@tanagerdeck/decisions/manifest/access";
import { closedAfterMs } from "@tanagerdeck/decisions/lease/leaseTimes";
import {
    addJob,
    createClusterState,
    getOrAddWorker,
    markChanged,
    type JobEntry,
    type ClusterState,
} from "@tanagerdeck/decisions/plan/clusterState";
import { buildOrders } from "@tanagerdeck/decisions/plan/planOrders";
import { applyReport } from "@tanagerdeck/decisions/plan/planReport";
import { pauseBeforeRoundMs, startingTasksAfter } from "@tanagerdeck/decisions/plan/planPace";
import { applyDecision, quarantinedWorkers, buildRoundInput } from "@tanagerdeck/decisions/plan/planRound";
import { separateSuspects } from "@tanagerdeck/decisions/plan/suspectGroups";
import type { WorkerDescription } from "@tanagerdeck/decisions/worker/workerReport";
import { startTask, type Task, type TaskContext } from "@tanagerdeck/runtime/task/task";
import type { Change, Item } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import type { Listing } from "@tanagerdeck/store/keyvalue/listing";
import {
    decodeContent,
    decodeRegistration,
    type Registration,
} from "@tanagerdeck/store/replica/storedValueCodec";
import { jobKey, LEADER_KEY, parseStoreKey } from "@tanagerdeck/store/replica/storeKeys";
import { createAbsenceRecorder, createAbsenceState, type AbsenceState } from "./absenceRecording.ts";
import { createStartCommit } from "./commitStart.ts";
import { closeOverdueRuns } from "./overdueRuns.ts";
import { closeRunsOfEndedJob, loadClusterState } from "./clusterStateLoading.ts";
import { removeStoredJob, takeExpiredJobs } from "./jobRemoval.ts";
import { createEvacuationPlanning } from "./evacuationPlanning.ts";
import type { PlannerMessage, PlannerOptions } from "./plannerTypes.ts";
import { createPlanningLog } from "./planningLog.ts";
import { applyCommittedWrite, setFinalStates, createWrites, type RecordWrite } from "./progressRecording.ts";
import { reloadJobs } from "./progressReloading.ts";
import { createSpeedRecorder } from "./speedRecording.ts";

interface PlannerState {
    cluster: ClusterState;
    index: ManifestIndex | undefined;
    isLoaded: boolean;
    /** The lease is not renewed; planning may resume. */
    isSuspended: boolean;
    /** The term has ended; it never plans again. */
    isHalted: boolean;
    isPlanDue: boolean;
    /** End and duration of the latest round, with the recording and the orders that follow it. */
    lastRound: { endedAt: number; durationMs: number };
    startedAt: number;
    /** Orders last sent to each agent, as JSON, so that unchanged ones are not sent again. */
    sentOrders: Map<string, string>;
    absences: AbsenceState;
    /** Store changes that arrived before the cluster state was loaded. */
    earlyChanges: Change[];
}

/** Interval of the checks for lost agents, stalled runs and expired jobs. */
const TICK_MS = 100;
const LOAD_RETRY_MS = 200;
/** A new leader starts planning when all agents have reported, or after this time. */
const INITIAL_REPORT_WAIT_MS = 600;

type Context = TaskContext<PlannerMessage>;

/**
 * Starts the task that plans for one leader term. It owns the cluster state, records progress in the store and sends
 * orders to agents through their sessions.
 */
export function startPlannerTask(options: PlannerOptions): Task<PlannerMessage> {
    const { term, times, clock, log, newWriteId, commit, sessions, schedule, termEnded, keepMs, metrics } =
        options;

    function requestPlan(state: PlannerState, context: Context): void {
        if (!state.isPlanDue) {
            state.isPlanDue = true;
            const sinceEndMs = clock.now() - state.lastRound.endedAt;
            context.after(pauseBeforeRoundMs(state.lastRound.durationMs, sinceEndMs), { kind: "plan" });
        }
    }

    const state: PlannerState = {
        cluster: createClusterState(),
        index: undefined,
        isLoaded: false,
        isSuspended: false,
        isHalted: false,
        isPlanDue: false,
        lastRound: { endedAt: clock.now(), durationMs: 0 },
        startedAt: clock.now(),
        sentOrders: new Map(),
        absences: createAbsenceState(clock.now()),
        earlyChanges: [],
    };
    const planningLog = createPlanningLog({ term, clock, log, metrics, termsOf: queueTermsOf });
    const evacuationPlanning = createEvacuationPlanning(options);
    const startCommit = createStartCommit(commit);
    const halt = () => haltAndNotify(state);
    const absenceRecorder = createAbsenceRecorder({
        term,
        formerTerm: options.formerTerm,
        clock,
        log,
        newWriteId,
        sessions,
        commit: startCommit,
        halt,
    });
    const speedRecorder = createSpeedRecorder({ ...options, commit: startCommit, halt });

    function queueTermsOf({ job }: JobEntry): QueueTerms {
        return state.index?.queuesByName.get(job.queue)?.terms ?? job.terms;
    }

    function guaranteedGpus(state: PlannerState, clientAccount: string): number {
        const accounts = state.index?.manifest.clientAccounts ?? [];
        return accounts.find(account => account.name === clientAccount)?.guaranteedGpus ?? 0;
    }

    function load(state: PlannerState, { items }: Listing): void {
        for (const item of items) {
            const key = parseStoreKey(item.key);
            if (key?.kind === "agent") {
                register(state, key.name, item);
            }
        }
        for (const key of loadClusterState(state.cluster, items, state.startedAt, clock.now())) {
            logUnreadable(key);
        }
        absenceRecorder.load(state, items);
        speedRecorder.load(state, items);
    }

    function register(state: PlannerState, name: string, item: { key: string; value: string }): void {
        const registration: Registration | undefined = decodeRegistration(name, item.value);
        if (!registration) {
            log.warn("An agent registration cannot be decoded.", { key: item.key });
            return;
        }
        getOrAddWorker(state.cluster, registration.name, state.startedAt);
        sessions.open(registration.name, registration.address);
    }

    function logUnreadable(key: string): void {
        log.error("A stored item cannot be decoded; its job is left alone.", { term, key });
    }

    function applyChange(state: PlannerState, change: Change): void {
        const key = parseStoreKey(change.key);
        if (key?.kind === "agent" && change.value !== undefined) {
            register(state, key.name, { key: change.key, value: change.value });
        }
        if (key?.kind === "leader" && change.revision > term) {
            haltAndNotify(state);
        }
        if (key?.kind !== "job" || change.value === undefined) {
            return;
        }
        const jobEntry = state.cluster.jobs.get(key.id);
        if (key.part === "definition" && !jobEntry) {
            const job = decodeContent("definition", change.value);
            if (job) {
                addJob(state.cluster, job, undefined, clock.now());
            } else {
                logUnreadable(change.key);
            }
        }
        if (key.part === "cancel") {
            cancel(state, key.id);
        }
    }

    function cancel(state: PlannerState, id: string): void {
        const jobEntry = state.cluster.jobs.get(id);
        if (!jobEntry) {
            state.cluster.cancelledBeforeAdded.add(id);
            return;
        }
        if (!jobEntry.isCancelled) {
            jobEntry.isCancelled = true;
            markChanged(jobEntry, "head");
            closeRunsOfEndedJob(state.cluster, jobEntry);
            log.info("A job is cancelled.", { term, job: id, openRuns: jobEntry.runs.size });
        }
    }

    function haltAndNotify(state: PlannerState): void {
        if (!state.isHalted) {
            state.isHalted = true;
            termEnded();
        }
    }

    function canPlan(state: PlannerState): boolean {
        if (!state.isLoaded || state.isSuspended || state.isHalted || !evacuationPlanning.isReady()) {
            return false;
        }
        if (clock.now() - state.startedAt >= INITIAL_REPORT_WAIT_MS) {
            return true;
        }
        for (const worker of state.cluster.workers.values()) {
            if (!worker.hasReported) {
                return false;
            }
        }
        return true;
    }

    function plan(state: PlannerState): void {
        const input = buildRoundInput(state.cluster, {
            now: clock.now(),
            wallMs: clock.wall(),
            termsOf: queueTermsOf,
            guaranteedGpus: account => guaranteedGpus(state, account),
            farFactor: options.farFactor,
            startingTasks: startingTasksAfter(state.lastRound.durationMs),
        });
        planningLog.round(state.cluster, input);
        planningLog.quarantine(quarantinedWorkers(state.cluster, clock.now()));
        const decisions = separateSuspects(state.cluster, schedule(input), clock.now());
        evacuationPlanning.round(state.cluster, input.waiting, decisions);
        for (const decision of decisions) {
            planningLog.decision(state.cluster, decision, input);
            applyDecision(state.cluster, decision, clock.now());
        }
    }

    function recordProgress(state: PlannerState, context: Context): void {
        for (const jobEntry of setFinalStates(state.cluster, clock.wall())) {
            closeRunsOfEndedJob(state.cluster, jobEntry);
            planningLog.ended(jobEntry);
        }
        for (const write of createWrites(state.cluster, term, newWriteId)) {
            commitWrite(write, context);
        }
    }

    function commitWrite(write: RecordWrite, context: Context): void {
        startCommit(context, write.transaction, result => ({ kind: "recorded", write, result }));
    }

    function sendOrders(state: PlannerState): void {
        for (const worker of state.cluster.workers.values()) {
            const orders = buildOrders(state.cluster, worker);
            const serializedOrders = JSON.stringify(orders);
            if (state.sentOrders.get(worker.name) !== serializedOrders) {
                state.sentOrders.set(worker.name, serializedOrders);
                sessions.order(worker.name, orders);
            }
        }
    }

    function applyConflict(state: PlannerState, write: RecordWrite, items: Item[]): void {
        const { changed, unreadable, cancelled } = reloadJobs(state.cluster, write, items, clock.now());
        for (const job of changed) {
            log.warn("A job's progress was changed by another writer.", { term, job });
        }
        for (const job of unreadable) {
            logUnreadable(jobKey(job, "progress"));
        }
        for (const job of cancelled) {
            cancel(state, job);
        }
    }

    function removeExpiredJobs(state: PlannerState, context: Context): void {
        for (const jobEntry of takeExpiredJobs(state.cluster, clock, keepMs)) {
            context.start(
                () => removeStoredJob(jobEntry, term, commit),
                // The outcome is not checked: the planner of a later term loads and removes a job that is left.
                () => ({ kind: "plan" }),
            );
        }
    }

    const task = startTask<PlannerState, PlannerMessage>({
        name: "planner",
        clock,
        reportError: (name, error) =>
            log.error("A handler failed.", { task: name, error: describeError(error) }),
        state,
        handlers: {
            withheld: absenceRecorder.withheld,
            "absences-recorded": absenceRecorder["absences-recorded"],
            "speeds-recorded": speedRecorder["speeds-recorded"],
            loaded(state, { result }, context) {
                result.caseOf({
                    Left(problem) {
                        log.warn("The stored jobs cannot be read.", { term, detail: problem.detail });
                        // While the state is not loaded, a tick starts the load again.
                        context.after(LOAD_RETRY_MS, { kind: "tick" });
                    },
                    Right(listing) {
                        load(state, listing);
                        state.isLoaded = true;
                        for (const change of state.earlyChanges) {
                            applyChange(state, change);
                        }
                        log.info("The cluster state is loaded.", {
                            term,
                            jobs: state.cluster.jobs.size,
                            agents: state.cluster.workers.size,
                        });
                        requestPlan(state, context);
                        context.after(TICK_MS, { kind: "tick" });
                    },
                });
            },
            changed(state, { change }, context) {
                if (!state.isLoaded) {
                    state.earlyChanges.push(change);
                    return;
                }
                applyChange(state, change);
                requestPlan(state, context);
            },
            manifest(state, { index }, context) {
                state.index = index;
                requestPlan(state, context);
            },
            evacuations(state, { view }, context) {
                evacuationPlanning.apply(state.cluster, view);
                requestPlan(state, context);
            },
            report(state, { agent, report }, context) {
                const worker = getOrAddWorker(state.cluster, agent, state.startedAt);
                const { hasReported, description } = worker;
                const events = applyReport(state.cluster, worker, report, clock.now());
                planningLog.events(state.cluster, events);
                // A report that only confirms what is known can wait for the round of the next tick.
                const isNews = events.length > 0 || !hasReported || isOtherWorker(description, report.worker);
                if (isNews) {
                    requestPlan(state, context);
                }
            },
            suspend(state) {
                state.isSuspended = true;
                sessions.grants(false);
            },
            resume(state, _message, context) {
                state.isSuspended = false;
                sessions.grants(true);
                requestPlan(state, context);
            },
            plan(state, _message, context) {
                state.isPlanDue = false;
                if (!canPlan(state)) {
                    return;
                }
                const startedAt = clock.now();
                plan(state);
                recordProgress(state, context);
                // A message of its own, as the task may yield between messages, so that the lease is renewed.
                context.post({ kind: "order", plannedMs: clock.now() - startedAt });
            },
            order(state, { plannedMs }) {
                if (!canPlan(state)) {
                    return;
                }
                const startedAt = clock.now();
                sendOrders(state);
                const endedAt = clock.now();
                const durationMs = plannedMs + endedAt - startedAt;
                state.lastRound = { endedAt, durationMs };
                metrics.roundEnded(durationMs / 1_000);
            },
            tick(state, _message, context) {
                if (state.isHalted) {
                    return;
                }
                if (!state.isLoaded) {
                    context.start(options.list, result => ({ kind: "loaded", result }));
                    return;
                }
                if (!state.isSuspended) {
                    const mayStartLate = evacuationPlanning.mayStartLate();
                    const overdue = { now: clock.now(), closedAfterMs: closedAfterMs(times), mayStartLate };
                    closeOverdueRuns(state.cluster, overdue, planningLog);
                    absenceRecorder.update(state, context);
                    speedRecorder.update(state, context);
                    removeExpiredJobs(state, context);
                    requestPlan(state, context);
                }
                context.after(TICK_MS, { kind: "tick" });
            },
            recorded(state, { write, result }, context) {
                if (state.isHalted) {
                    return;
                }
                result.caseOf({
                    Left(problem) {
                        log.warn("Progress cannot be recorded.", {
                            term,
                            jobs: write.jobs.size,
                            detail: problem.detail,
                        });
                        // Retries the identical transaction, as the earlier attempt may have been executed.
                        commitWrite(write, context);
                    },
                    Right(reply) {
                        if (reply.kind === "committed") {
                            applyCommittedWrite(state.cluster, write, reply.revision, clock.now());
                            planningLog.recorded(state.cluster, write.jobs.keys());
                        } else if (reply.kind === "conflict") {
                            if (
                                !reply.items.some(item => item.key === LEADER_KEY && item.revision === term)
                            ) {
                                haltAndNotify(state);
                                return;
                            }
                            applyConflict(state, write, reply.items);
                        }
                        requestPlan(state, context);
                    },
                });
            },
            halt(state, { reply }) {
                state.isHalted = true;
                reply();
            },
        },
    });
    task.send({ kind: "tick" });
    return task;
}

/** Whether a report describes another boot or condition of the worker than the one before it. */
function isOtherWorker(
    known: WorkerDescription | undefined,
    reported: WorkerDescription | undefined,
): boolean {
    return known?.condition !== reported?.condition || known?.boot.bornMs !== reported?.boot.bornMs;
}

function describeError(error: unknown): string {
    return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
