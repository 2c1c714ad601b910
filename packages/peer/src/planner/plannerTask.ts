import { Left, type Either } from "purify-ts/Either";
import type { Job, QueueTerms } from "@tanagerdeck/decisions/job/jobTypes";
import { closeRun, groupProgress } from "@tanagerdeck/decisions/job/progressChange";
import type { Progress } from "@tanagerdeck/decisions/job/progressTypes";
import { dueAtMs, parseTaskName } from "@tanagerdeck/decisions/job/taskGroups";
import type { ManifestIndex } from "@tanagerdeck/decisions/manifest/access";
import { closedAfterMs, type LeaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import {
    addJob,
    changeGroup,
    createPlanBook,
    isClosed,
    noteFault,
    workerEntry,
    type JobEntry,
    type PlanBook,
} from "@tanagerdeck/decisions/plan/planBook";
import { ordersOf } from "@tanagerdeck/decisions/plan/planOrders";
import { applyReport, closeUnheard, type PlanEvent } from "@tanagerdeck/decisions/plan/planReport";
import { closeStalled } from "@tanagerdeck/decisions/plan/planStalls";
import { applyDecision, roundInput } from "@tanagerdeck/decisions/plan/planRound";
import type { Decision } from "@tanagerdeck/decisions/schedule/scheduleTypes";
import type { RoundInput } from "@tanagerdeck/decisions/schedule/schedulingRound";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { SyncReport } from "@tanagerdeck/decisions/worker/workerReport";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { SchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import { startTask, type Reply, type Task, type TaskContext } from "@tanagerdeck/runtime/task/task";
import type { Change, CommitReply, Item, Transaction } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import type { Listing } from "@tanagerdeck/store/keyvalue/listing";
import { decodeContent, type Registration } from "@tanagerdeck/store/replica/recordCodec";
import { jobKey, LEADER_KEY, parseStoreKey } from "@tanagerdeck/store/replica/storeKeys";
import type { AgentOrders } from "../session/sessionTask.ts";
import { noteRecorded, settleFinals, takeWrites, type RecordWrite } from "./recording.ts";

/** Messages of the planner's task. */
export type PlannerMessage =
    | { kind: "loaded"; result: Either<Failure, Listing> }
    | { kind: "changed"; change: Change }
    | { kind: "manifest"; index: ManifestIndex }
    | { kind: "report"; agent: string; report: SyncReport }
    | { kind: "suspend" }
    | { kind: "resume" }
    | { kind: "plan" }
    | { kind: "tick" }
    | { kind: "recorded"; write: RecordWrite; result: Either<Failure, CommitReply> }
    | { kind: "halt"; reply: Reply<void> };

/** The planner's side of the sessions with the agents. */
export interface Sessions {
    /** Opens a session, or tells an open one of a new address. */
    open(agent: string, address: string): void;
    order(agent: string, orders: AgentOrders): void;
    grants(isAllowed: boolean): void;
}

/** Dependencies of the planner's task. */
export interface PlannerOptions {
    term: number;
    times: LeaseTimes;
    clock: Clock;
    log: Log;
    metrics: SchedulerMetrics;
    newWriteId: () => string;
    list: () => Promise<Either<Failure, Listing>>;
    commit: (transaction: Transaction) => Promise<Either<Failure, CommitReply>>;
    sessions: Sessions;
    schedule: (input: RoundInput) => Decision[];
    /** Called when the store shows that the term has ended. */
    termEnded: () => void;
    /** How many times slower tasks run far from their data or from each other. */
    farFactor: number;
    /** For how long the state of an ended job is kept. */
    keepMs: number;
}

interface PlannerState {
    book: PlanBook;
    index: ManifestIndex | undefined;
    isLoaded: boolean;
    isSuspended: boolean;
    isHalted: boolean;
    isPlanDue: boolean;
    startedAt: number;
    /** Orders last sent to each agent, as text, so that unchanged ones are not sent again. */
    sentOrders: Map<string, string>;
    /** Changes that arrived before the book was loaded. */
    early: Change[];
}

const TICK_MS = 100;
/** Events that arrive within this time share one round. */
const PLAN_DELAY_MS = 10;
const RETRY_MS = 200;
/** After this time without all tasks started a run is closed; gangs wait for each other 3 s or more. */
const START_LIMIT_MS = 2_200;
/** A new leader plans when all agents have reported, or after this time. */
const SETTLE_MS = 600;

type Context = TaskContext<PlannerMessage>;

const EVENT_SENTENCES: Record<PlanEvent["kind"], string> = {
    started: "A run has started.",
    "all-started": "All tasks of a run have started.",
    ended: "A run has ended.",
    closed: "A run can no longer be running.",
    refused: "A start was refused.",
    stray: "A worker runs what this leader did not order.",
};

/** Starts the task that plans for one term: it owns the book, records progress and orders through the sessions. */
export function startPlannerTask(options: PlannerOptions): Task<PlannerMessage> {
    const { term, times, clock, log, newWriteId, commit, sessions, schedule, termEnded, keepMs, metrics } =
        options;

    function requestPlan(state: PlannerState, context: Context): void {
        if (!state.isPlanDue) {
            state.isPlanDue = true;
            context.after(PLAN_DELAY_MS, { kind: "plan" });
        }
    }

    function noteStart(state: PlannerState, id: string, occurrence: number): void {
        const entry = state.book.jobs.get(id);
        if (entry) {
            const sinceMs = Math.max(entry.job.acceptedAtMs, dueAtMs(entry.job, occurrence));
            metrics.groupStarted(termsOf(state, entry).priority, (clock.wall() - sinceMs) / 1_000);
        }
    }

    function logEvents(state: PlannerState, events: PlanEvent[]): void {
        for (const { kind, job, task, run, worker, detail } of events) {
            log.info(EVENT_SENTENCES[kind], { term, job, task, run, worker, detail });
            if (kind === "ended" || kind === "closed") {
                metrics.runEnded(detail ?? "lost");
            } else if (kind === "stray") {
                metrics.strayFound();
            } else if (kind === "all-started") {
                noteStart(state, job, parseTaskName(task)?.occurrence ?? 0);
            }
        }
    }

    function termsOf(state: PlannerState, { job }: JobEntry): QueueTerms {
        return state.index?.queuesByName.get(job.queue)?.terms ?? job.terms;
    }

    function guaranteedGpus(state: PlannerState, clientAccount: string): number {
        const accounts = state.index?.manifest.clientAccounts ?? [];
        return accounts.find(account => account.name === clientAccount)?.guaranteedGpus ?? 0;
    }

    function load(state: PlannerState, listing: Listing): void {
        const progress = new Map<string, { progress: Progress; revision: number }>();
        const jobs: Job[] = [];
        for (const item of listing.items) {
            const key = parseStoreKey(item.key);
            if (key?.kind === "agent") {
                register(state, item);
            }
            if (key?.kind !== "job") {
                continue;
            }
            if (key.part === "cancel") {
                state.book.cancelledEarly.add(key.id);
            }
            if (key.part === "definition") {
                const job = decodeContent("definition", item.value);
                jobs.push(...(job ? [job] : []));
            }
            if (key.part === "progress") {
                const content = decodeContent("progress", item.value);
                if (content) {
                    progress.set(key.id, { progress: content, revision: item.revision });
                }
            }
        }
        for (const job of jobs) {
            const entry = addJob(state.book, job, progress.get(job.id), clock.now());
            closeRuns(entry);
        }
        for (const entry of state.book.jobs.values()) {
            for (const group of Object.values(entry.progress.groups)) {
                for (const placement of group.placements) {
                    workerEntry(state.book, placement.worker, state.startedAt);
                }
            }
        }
    }

    function register(state: PlannerState, item: { key: string; value: string }): void {
        const registration: Registration | undefined = decodeContent("registration", item.value);
        if (!registration) {
            log.warn("A registration is unreadable and names no agent.", { key: item.key });
            return;
        }
        workerEntry(state.book, registration.name, state.startedAt);
        sessions.open(registration.name, registration.address);
    }

    /** Closes all open runs of a job that is cancelled or has failed. */
    function closeRuns(entry: JobEntry): void {
        if (!isClosed(entry)) {
            return;
        }
        for (const { key } of entry.groups) {
            const progress = groupProgress(entry.progress, key);
            changeGroup(entry, key, closeRun(progress));
        }
    }

    function applyChange(state: PlannerState, change: Change): void {
        const key = parseStoreKey(change.key);
        if (key?.kind === "agent" && change.value !== undefined) {
            register(state, { key: change.key, value: change.value });
        }
        if (key?.kind === "leader" && change.revision > term) {
            endTerm(state);
        }
        if (key?.kind !== "job" || change.value === undefined) {
            return;
        }
        const entry = state.book.jobs.get(key.id);
        if (key.part === "definition" && !entry) {
            const job = decodeContent("definition", change.value);
            if (job) {
                addJob(state.book, job, undefined, clock.now());
            }
        }
        if (key.part === "cancel") {
            cancel(state, key.id);
        }
    }

    function cancel(state: PlannerState, id: string): void {
        const entry = state.book.jobs.get(id);
        if (!entry) {
            state.book.cancelledEarly.add(id);
            return;
        }
        if (!entry.isCancelled) {
            entry.isCancelled = true;
            entry.version += 1;
            closeRuns(entry);
            log.info("A job is cancelled.", { term, job: id, openRuns: entry.runs.size });
        }
    }

    function endTerm(state: PlannerState): void {
        if (!state.isHalted) {
            state.isHalted = true;
            termEnded();
        }
    }

    function mayPlan(state: PlannerState): boolean {
        if (!state.isLoaded || state.isSuspended || state.isHalted) {
            return false;
        }
        if (clock.now() - state.startedAt >= SETTLE_MS) {
            return true;
        }
        for (const worker of state.book.workers.values()) {
            if (!worker.hasReported) {
                return false;
            }
        }
        return true;
    }

    function plan(state: PlannerState): void {
        const input = roundInput(state.book, {
            now: clock.now(),
            wallMs: clock.wall(),
            termsOf: entry => termsOf(state, entry),
            guaranteedGpus: account => guaranteedGpus(state, account),
            farFactor: options.farFactor,
        });
        metrics.fleet({
            workers: conditionsOf(state.book),
            waitingGroups: input.waiting.length,
            placedGroups: input.placed.length,
        });
        for (const decision of schedule(input)) {
            applyDecision(state.book, decision, clock.now());
            if (decision.kind === "place") {
                metrics.groupPlaced(decision.isFar);
                const workers = decision.places.map(place => place.worker).join(" ");
                log.info("A group was placed.", {
                    term,
                    job: decision.job,
                    group: decision.group,
                    workers,
                    isFar: decision.isFar,
                });
            } else {
                metrics.groupPreempted();
                log.info("A group gives way.", {
                    term,
                    job: decision.job,
                    group: decision.group,
                    for: decision.for,
                });
            }
        }
    }

    function record(state: PlannerState, context: Context): void {
        for (const entry of settleFinals(state.book, clock.wall())) {
            closeRuns(entry);
            const { final = "failed" } = entry.progress;
            const seconds = (clock.wall() - entry.job.acceptedAtMs) / 1_000;
            metrics.jobEnded(final, termsOf(state, entry).priority, seconds);
            log.info("A job has ended.", { term, job: entry.job.id, state: final, seconds });
        }
        for (const write of takeWrites(state.book, term, newWriteId)) {
            send(write, context);
        }
    }

    function send(write: RecordWrite, context: Context): void {
        context.start(
            () => commit(write.transaction),
            result => ({ kind: "recorded", write, result }),
            error => ({
                kind: "recorded",
                write,
                result: Left({
                    kind: "failure",
                    verdict: "may-have-run",
                    reason: "platform-unavailable",
                    detail: String(error),
                }),
            }),
        );
    }

    function order(state: PlannerState): void {
        for (const worker of state.book.workers.values()) {
            const orders = ordersOf(state.book, worker);
            const text = JSON.stringify(orders);
            if (state.sentOrders.get(worker.name) !== text) {
                state.sentOrders.set(worker.name, text);
                sessions.order(worker.name, orders);
            }
        }
    }

    /** After a conflict the jobs of a write are taken from the store again; nothing was ordered for them yet. */
    function reload(state: PlannerState, write: RecordWrite, items: Item[]): void {
        for (const id of write.versions.keys()) {
            const entry = state.book.jobs.get(id);
            if (!entry) {
                continue;
            }
            entry.isWriting = false;
            if (items.some(item => item.key === jobKey(id, "cancel"))) {
                cancel(state, id);
            }
            const found = items.find(item => item.key === jobKey(id, "progress"));
            if (found && found.revision !== entry.progressRevision) {
                const progress = decodeContent("progress", found.value);
                log.warn("A job's progress was changed by another writer.", { term, job: id });
                if (progress) {
                    addJob(state.book, entry.job, { progress, revision: found.revision }, clock.now());
                }
            }
        }
    }

    function closeStuckStarts(state: PlannerState): void {
        const now = clock.now();
        for (const entry of state.book.jobs.values()) {
            for (const [key, run] of entry.runs) {
                const progress = groupProgress(entry.progress, key);
                const isWaiting =
                    progress.phase === "placed" &&
                    entry.recordedVersion >= run.version &&
                    run.tasks.size < progress.placements.length;
                if (!isWaiting || now - run.openedAt < START_LIMIT_MS) {
                    continue;
                }
                for (const placement of progress.placements) {
                    if (!run.tasks.has(placement.index)) {
                        const worker = state.book.workers.get(placement.worker);
                        if (worker) {
                            noteFault(worker, entry, key, { now, isStall: false });
                        }
                    }
                }
                log.warn("A run did not start in time.", { term, job: entry.job.id, group: key });
                changeGroup(entry, key, closeRun(progress));
            }
        }
    }

    function forgetOld(state: PlannerState, context: Context): void {
        const limit = clock.wall() - keepMs;
        for (const [id, entry] of state.book.jobs) {
            const { endedAtMs } = entry.progress;
            if (endedAtMs === undefined || endedAtMs > limit || entry.runs.size > 0 || entry.isWriting) {
                continue;
            }
            state.book.jobs.delete(id);
            const removes = [jobKey(id, "definition"), jobKey(id, "progress"), jobKey(id, "cancel")];
            const expected = [{ key: LEADER_KEY, revision: term }];
            context.start(
                () => commit({ expected, puts: [], removes }),
                () => ({ kind: "plan" }),
            );
        }
    }

    const task = startTask<PlannerState, PlannerMessage>({
        name: "planner",
        clock,
        report: (name, error) => log.error("A handler failed.", { task: name, error: describeError(error) }),
        state: {
            book: createPlanBook(),
            index: undefined,
            isLoaded: false,
            isSuspended: false,
            isHalted: false,
            isPlanDue: false,
            startedAt: clock.now(),
            sentOrders: new Map(),
            early: [],
        },
        handlers: {
            loaded(state, { result }, context) {
                result.caseOf({
                    Left(problem) {
                        log.warn("The jobs cannot be read.", { term, detail: problem.detail });
                        context.after(RETRY_MS, { kind: "tick" });
                    },
                    Right(listing) {
                        load(state, listing);
                        state.isLoaded = true;
                        for (const change of state.early) {
                            applyChange(state, change);
                        }
                        log.info("The book is loaded.", {
                            term,
                            jobs: state.book.jobs.size,
                            agents: state.book.workers.size,
                        });
                        requestPlan(state, context);
                        context.after(TICK_MS, { kind: "tick" });
                    },
                });
            },
            changed(state, { change }, context) {
                if (!state.isLoaded) {
                    state.early.push(change);
                    return;
                }
                applyChange(state, change);
                requestPlan(state, context);
            },
            manifest(state, { index }, context) {
                state.index = index;
                requestPlan(state, context);
            },
            report(state, { agent, report }, context) {
                const worker = workerEntry(state.book, agent, state.startedAt);
                logEvents(state, applyReport(state.book, worker, report, clock.now()));
                requestPlan(state, context);
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
                if (!mayPlan(state)) {
                    return;
                }
                plan(state);
                record(state, context);
                order(state);
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
                    logEvents(state, closeUnheard(state.book, closedAfterMs(times), clock.now()));
                    closeStuckStarts(state);
                    for (const { job, group, workers, stalledMs } of closeStalled(state.book, clock.now())) {
                        const suspects = workers.join(" ");
                        log.warn("A run does not progress.", { term, job, group, suspects, stalledMs });
                    }
                    forgetOld(state, context);
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
                            jobs: write.versions.size,
                            detail: problem.detail,
                        });
                        // The same transaction again: its earlier copy may have been executed.
                        send(write, context);
                    },
                    Right(reply) {
                        if (reply.kind === "committed") {
                            noteRecorded(state.book, write, reply.revision, clock.now());
                        } else if (reply.kind === "conflict") {
                            if (
                                !reply.items.some(item => item.key === LEADER_KEY && item.revision === term)
                            ) {
                                endTerm(state);
                                return;
                            }
                            reload(state, write, reply.items);
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

/** Number of workers by condition; one that has not been described yet counts as unknown. */
function conditionsOf(book: PlanBook): Record<string, number> {
    const counts: Record<string, number> = { ready: 0, draining: 0, silent: 0, gone: 0, unknown: 0 };
    for (const { description } of book.workers.values()) {
        const condition = description?.condition ?? "unknown";
        counts[condition] = (counts[condition] ?? 0) + 1;
    }
    return counts;
}

function describeError(error: unknown): string {
    return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
