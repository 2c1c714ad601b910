import { Right, type Either } from "purify-ts/Either";
import type { Job, JobRequest } from "@tanagerdeck/decisions/job/jobTypes";
import { visibleState, type JobRecord } from "@tanagerdeck/decisions/job/jobState";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { ApiCallOutcome, SchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import { startTask, type Reply, type Task, type TaskContext } from "@tanagerdeck/runtime/task/task";
import type { Change, CommitReply, Item, KeyValueStore } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { commitWithRetry } from "@tanagerdeck/store/keyvalue/commitWithRetry";
import { decodeContent, encodeContent } from "@tanagerdeck/store/replica/storedValueCodec";
import { jobKey, jobPrefix, parseStoreKey } from "@tanagerdeck/store/replica/storeKeys";
import type { QueueCall, CancelReply, JobApi, StateReply, SubmitReply, WaitingReply } from "./jobApiTypes.ts";
import { applyToIndex, countWaiting, findRecord, type JobIndex } from "./jobIndex.ts";
import { startTimedAnswer } from "./timedAnswer.ts";

/** A job that a caller submits, and the time that the caller waits for the reply. */
interface Submission {
    call: QueueCall;
    request: JobRequest;
    waitMs: number;
}

/** Messages of the job API's task. */
export type JobApiMessage =
    | { kind: "changed"; change: Change }
    /** The copy of the store was up to date at this time of the monotonic clock. */
    | { kind: "confirmed"; atMs: number }
    | (Submission & { kind: "submit"; reply: Reply<SubmitReply> })
    | { kind: "state"; call: QueueCall; id: string; waitMs: number; reply: Reply<StateReply> }
    | { kind: "cancel"; call: QueueCall; id: string; waitMs: number; reply: Reply<CancelReply> }
    | { kind: "waiting"; call: QueueCall; reply: Reply<WaitingReply> }
    /** A write of this job's submission, sent by this entry or another, got no answer and may still take effect. */
    | { kind: "doubt"; id: string }
    | { kind: "answered" };

/** Dependencies of the job API's task. */
export interface JobApiOptions {
    store: KeyValueStore;
    clock: Clock;
    log: Log;
    newWriteId: () => string;
    /** Announces an item that was just written to this process and the leader. */
    announce: (item: Item) => void;
    /** Announces to all entries, including this one, that the submission of a job may be stored. */
    announceUncertainWrite: (id: string) => void;
    metrics: SchedulerMetrics;
    /**
     * Whether the latest call to the store got no answer. Submissions are then refused without a write: the outcome of
     * a write would probably stay unknown, whereas such a refusal is definite and tells the caller when to retry.
     */
    isStoreFailing: () => boolean;
}

/** Longest time for which a write that failed or whose outcome is unknown is retried; after it the caller must retry. */
const WRITE_LIMIT_MS = 700;
/** Delay after which a caller may repeat a call that was refused or could not be answered. */
const RETRY_AFTER_MS = 1_000;

/**
 * Time after an unanswered write of a submission during which the job is not reported as refused because of the store,
 * as the write may still take effect.
 */
const UNCERTAIN_WRITE_MS = 30_000;

/**
 * Largest age of the copy of the store from which a state that is not final is answered. If the copy is older, the state
 * is read from the store, since other entries may already have shown a newer one. While the watch works and nothing
 * changes, it confirms the copy every second.
 */
const MAX_STATE_AGE_MS = 1_100;
/** Largest age of the copy in which waiting jobs are counted. The platform allows this number to be 2 s old. */
const MAX_COUNT_AGE_MS = 2_000;

interface JobApiState {
    index: JobIndex;
    /** Time of the monotonic clock at which the index was last known to be up to date; -Infinity before it is loaded. */
    confirmedAtMs: number;
    /** By job id: time until which an unanswered write of its submission may still take effect. */
    uncertainUntil: Map<string, number>;
}

/** A job as it was looked up, in the copy or in the store. */
interface Lookup {
    record: JobRecord | undefined;
    /** What the store held of the job when it was read; undefined if the copy was enough. */
    stored: { items: number; revision: number } | undefined;
}

type LookupResult = Either<Failure, Lookup>;

/** Starts the task that stores submitted jobs and cancellations, and answers queries from a copy of the store. */
export function startJobApiTask(options: JobApiOptions): Task<JobApiMessage> {
    const { store, clock, log, newWriteId, announce, announceUncertainWrite, metrics, isStoreFailing } =
        options;

    /** Writes a key that must not exist, on condition that the `absent` keys do not exist either. */
    async function createKey(
        key: string,
        value: string,
        absent: string[],
        waitMs: number,
    ): Promise<Either<Failure, CommitReply>> {
        const expected = [key, ...absent].map(name => ({ key: name, revision: 0 }));
        const giveUpAt = clock.now() + Math.min(waitMs, WRITE_LIMIT_MS);
        const transaction = { expected, puts: [{ key, value }], removes: [] };
        const reply = await commitWithRetry(store, transaction, { clock, giveUpAt });
        return reply.ifRight(result => {
            if (result.kind === "committed") {
                announce({ key, value, revision: result.revision });
            }
        });
    }

    /** Returns `known` if given; otherwise reads the job's record from the store. */
    async function findJob(known: JobRecord | undefined, id: string): Promise<LookupResult> {
        if (known) {
            return Right({ record: known, stored: undefined });
        }
        const page = await store.page(jobPrefix(id), undefined, false);
        return page.map(({ items, revision }) => {
            const index: JobIndex = new Map();
            for (const item of items) {
                applyToIndex(index, item);
            }
            return { record: findRecord(index, id), stored: { items: items.length, revision } };
        });
    }

    async function submit({ call, request, waitMs }: Submission, isDoubtful: boolean): Promise<SubmitReply> {
        const { queue, clientAccount } = call;
        const fields = { job: request.id, queue: queue.name, clientAccount, waitMs };
        if (isStoreFailing()) {
            log.warn("A job is refused because the store is unavailable.", { ...fields, isDoubtful });
            return isDoubtful ? { kind: "unclear" } : storeUnavailable();
        }
        const job = createAcceptedJob(call, request, clock.wall());
        const key = jobKey(request.id, "definition");
        const value = encodeContent("definition", job, newWriteId());
        const reply = await createKey(key, value, [jobKey(request.id, "cancel")], waitMs);
        return reply.caseOf<SubmitReply>({
            Left({ verdict, detail }) {
                log.warn("A job could not be stored.", { ...fields, verdict, detail, isDoubtful });
                if (verdict !== "not-run") {
                    announceUncertainWrite(request.id);
                }
                return verdict === "not-run" && !isDoubtful ? storeUnavailable() : { kind: "unclear" };
            },
            Right(result) {
                if (result.kind === "committed") {
                    log.info("A job was accepted.", {
                        ...fields,
                        revision: result.revision,
                        priority: queue.terms.priority,
                        shape: describeSteps(request),
                        unsupported: request.unsupported?.join(" "),
                    });
                    return { kind: "accepted" };
                }
                const outcome = replyToConflict(result.kind === "conflict" ? result.items : [], job);
                log.info("A job with this id is already stored or cancelled.", {
                    ...fields,
                    outcome: outcome.kind,
                });
                return outcome;
            },
        });
    }

    /** Returns the state of a job from the copy's `record`, or from the store if the copy is older than its limit. */
    async function readState(
        record: JobRecord | undefined,
        copyAgeMs: number,
        call: QueueCall,
        id: string,
    ): Promise<StateReply> {
        // A final state never changes, so a stale copy may show it.
        const canAnswerFromCopy = copyAgeMs <= MAX_STATE_AGE_MS || record?.progress.final !== undefined;
        if (!canAnswerFromCopy && isStoreFailing()) {
            log.warn("A state is unavailable because the copy is stale and the store does not answer.", {
                job: id,
                copyAgeMs,
            });
            return unavailable();
        }
        const found = await findJob(canAnswerFromCopy ? record : undefined, id);
        return found.caseOf<StateReply>({
            Left({ verdict, detail }) {
                log.warn("A state could not be read.", { job: id, copyAgeMs, verdict, detail });
                return unavailable();
            },
            Right({ record: foundRecord, stored }) {
                if (!foundRecord) {
                    log.info("A job that was asked for is not known.", {
                        job: id,
                        queue: call.queue.name,
                        copyAgeMs,
                        storedItems: stored?.items,
                        storeRevision: stored?.revision,
                    });
                    return { kind: "unknown-job" };
                }
                return isDenied(foundRecord.job, call)
                    ? { kind: "denied" }
                    : { kind: "state", state: visibleState(foundRecord) };
            },
        });
    }

    async function cancel(
        known: JobRecord | undefined,
        call: QueueCall,
        id: string,
        waitMs: number,
    ): Promise<CancelReply> {
        const found = await findJob(known, id);
        const record = found.toMaybe().extract()?.record;
        if (found.isLeft()) {
            log.warn("A cancellation could not be looked up.", { job: id });
            return unavailable();
        }
        if (record && isDenied(record.job, call)) {
            return { kind: "denied" };
        }
        // Also stored for an unknown job: its submission may still arrive and must then be refused.
        const value = encodeContent("cancel", { atMs: clock.wall() }, newWriteId());
        const reply = await createKey(jobKey(id, "cancel"), value, [], waitMs);
        if (reply.isLeft()) {
            log.warn("A cancellation could not be stored.", { job: id });
            return unavailable();
        }
        log.info("A cancellation was stored.", { job: id, isKnown: record !== undefined });
        return record ? { kind: "cancelled" } : { kind: "unknown-job" };
    }

    /** Starts the work for a call; `fallback` is the reply if there is no result in time. */
    function startAnswer<R>(
        context: TaskContext<JobApiMessage>,
        { job, waitMs }: { job: string; waitMs: number },
        work: () => Promise<R>,
        reply: Reply<R>,
        fallback: () => R,
    ): void {
        startTimedAnswer<JobApiMessage, R>(context, {
            work,
            reply,
            waitMs,
            fallback,
            ended: { kind: "answered" },
            job,
            clock,
            log,
        });
    }

    return startTask<JobApiState, JobApiMessage>({
        // The name of this task in the logs.
        name: "desk",
        clock,
        reportError: (name, error) => log.error("A handler failed.", { task: name, error: String(error) }),
        state: { index: new Map(), confirmedAtMs: -Infinity, uncertainUntil: new Map() },
        handlers: {
            changed(state, { change }) {
                applyToIndex(state.index, change);
            },
            confirmed(state, { atMs }) {
                state.confirmedAtMs = atMs;
            },
            submit(state, message, context) {
                const isDoubtful = (state.uncertainUntil.get(message.request.id) ?? 0) > clock.now();
                const startedAt = clock.now();
                startAnswer<SubmitReply>(
                    context,
                    { job: message.request.id, waitMs: message.waitMs },
                    () => submit(message, isDoubtful),
                    reply => {
                        metrics.submitted(reply.kind, (clock.now() - startedAt) / 1_000);
                        message.reply(reply);
                    },
                    () => {
                        announceUncertainWrite(message.request.id);
                        return { kind: "unclear" };
                    },
                );
            },
            state({ index, confirmedAtMs }, { call, id, waitMs, reply }, context) {
                const copyAgeMs = Math.round(clock.now() - confirmedAtMs);
                startAnswer(
                    context,
                    { job: id, waitMs },
                    () => readState(findRecord(index, id), copyAgeMs, call, id),
                    reply,
                    unavailable,
                );
            },
            cancel: ({ index }, { call, id, waitMs, reply }, context) =>
                startAnswer(
                    context,
                    { job: id, waitMs },
                    () => cancel(findRecord(index, id), call, id, waitMs),
                    result => {
                        metrics.cancelled(outcomeOfCancel(result));
                        reply(result);
                    },
                    unavailable,
                ),
            waiting({ index, confirmedAtMs }, { call, reply }) {
                const isRecent = clock.now() - confirmedAtMs <= MAX_COUNT_AGE_MS;
                const count = isRecent ? countWaiting(index, call.queue.name) : undefined;
                reply(count === undefined ? unavailable() : { kind: "waiting", count });
            },
            doubt(state, { id }) {
                for (const [jobId, uncertainUntilMs] of state.uncertainUntil) {
                    if (uncertainUntilMs <= clock.now()) {
                        state.uncertainUntil.delete(jobId);
                    }
                }
                state.uncertainUntil.set(id, clock.now() + UNCERTAIN_WRITE_MS);
            },
            answered() {},
        },
    });
}

/** Creates the interface through which listeners call the job API's task. */
export function createJobApi(task: Task<JobApiMessage>): JobApi {
    return {
        submit: (call, request, waitMs) =>
            task.ask((reply: Reply<SubmitReply>) => ({ kind: "submit", call, request, waitMs, reply })),
        state: (call, id, waitMs) =>
            task.ask((reply: Reply<StateReply>) => ({ kind: "state", call, id, waitMs, reply })),
        cancel: (call, id, waitMs) =>
            task.ask((reply: Reply<CancelReply>) => ({ kind: "cancel", call, id, waitMs, reply })),
        waiting: call => task.ask((reply: Reply<WaitingReply>) => ({ kind: "waiting", call, reply })),
    };
}

/** Describes the steps for the log, each as `<tasks>x<gpus>gpu` with its properties. */
function describeSteps({ steps, schedule }: JobRequest): string {
    const parts: string[] = [];
    for (const { count, resources, gang, sameRack, longRunning, dataRack, requiredLabel } of steps) {
        const kind = `${gang ? " gang" : ""}${sameRack ? " rack" : ""}${longRunning ? " long-running" : ""}`;
        const where = `${dataRack ? ` near ${dataRack}` : ""}${requiredLabel ? ` on ${requiredLabel}` : ""}`;
        parts.push(`${count}x${resources.gpus}gpu${kind}${where}`);
    }
    return parts.join(", ") + (schedule ? `, ${schedule.occurrences} times` : "");
}

function outcomeOfCancel({ kind }: CancelReply): ApiCallOutcome {
    if (kind === "cancelled") {
        return "accepted";
    }
    return kind === "unknown-job" ? "refused" : kind;
}

/** The reply to a query or a cancellation that the caller should repeat. */
function unavailable(): { kind: "unavailable"; retryAfterMs: number } {
    return { kind: "unavailable", retryAfterMs: RETRY_AFTER_MS };
}

function storeUnavailable(): SubmitReply {
    return { kind: "refused", reason: "store-unavailable", retryAfterMs: RETRY_AFTER_MS };
}

function createAcceptedJob({ queue, clientAccount }: QueueCall, request: JobRequest, wallMs: number): Job {
    const { id, spec, steps, schedule } = request;
    return {
        id,
        spec,
        steps,
        schedule,
        queue: queue.name,
        service: queue.service,
        clientAccount,
        terms: queue.terms,
        acceptedAtMs: wallMs,
    };
}

/**
 * Returns the reply to a submission whose keys already exist: accepted if the same job is stored, refused if a different
 * job is stored or the id was cancelled.
 */
function replyToConflict(items: Item[], job: Job): SubmitReply {
    for (const item of items) {
        const key = parseStoreKey(item.key);
        if (key?.kind !== "job" || key.part !== "definition") {
            continue;
        }
        const known = decodeContent("definition", item.value);
        if (known?.queue === job.queue && known.spec === job.spec) {
            return { kind: "accepted" };
        }
        return { kind: "refused", reason: "conflict", retryAfterMs: RETRY_AFTER_MS };
    }
    return { kind: "refused", reason: "cancelled", retryAfterMs: RETRY_AFTER_MS };
}

function isDenied(job: Job, { clientAccount }: QueueCall): boolean {
    return job.clientAccount !== undefined && job.clientAccount !== clientAccount;
}
