import { isEnded, type JobRecord } from "@tanagerdeck/decisions/gang/jobTypes";
import { failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { RecordWriteResult, StoredJob } from "@tanagerdeck/store/record/jobRecords";
import { commitAttempt, releaseHolds } from "./jobAttempt.ts";
import { beginSettle, cancelAttempt } from "./jobSettle.ts";
import { enterPhase, jobStatus, requeue } from "./jobState.ts";
import type { Job, JobContext, JobReply, JobsState } from "./jobTaskTypes.ts";

const WRITE_RETRY_MS = 2_000;
/** Longest time that a job which may continue unrecorded waits for its write. */
const RECORD_WAIT_MS = 300;
/** Time after a failed write during which repeatable jobs do not wait for the platform. */
const PLATFORM_DOWN_MS = 5_000;

/** Writes the job's current record to the store, with at most one write per job in flight. */
export function saveJob(state: JobsState, job: Job, context: JobContext): void {
    job.recorded = false;
    if (job.writing) {
        return;
    }
    job.writing = true;
    const record: JobRecord = { ...job.record, writeId: state.options.newId() };
    job.record = record;
    job.unresolvedWrites.add(record.writeId);
    const { version } = job;
    context.start(
        () => state.options.records.write(record, version),
        result => ({ kind: "written", key: job.key, record, result }),
    );
}

/** Saves a job that waits for the write; after the wait limit the job continues unrecorded if it may. */
export function saveJobWithTimeout(state: JobsState, job: Job, context: JobContext): void {
    saveJob(state, job, context);
    context.after(RECORD_WAIT_MS, { kind: "record-overdue", key: job.key, epoch: job.epoch });
}

/** Handles the result of a write; writes again if the record has changed since. */
export function handleWriteResult(
    state: JobsState,
    job: Job,
    written: JobRecord,
    result: RecordWriteResult,
    context: JobContext,
): void {
    job.writing = false;
    if (result.kind === "unavailable") {
        handleUnavailableStore(state, job, context);
        return;
    }
    state.platformDownUntil = 0;
    if (result.kind === "conflict") {
        handleWriteConflict(state, job, result.stored, context);
        return;
    }
    job.version = result.version;
    job.unresolvedWrites.clear();
    job.recordedAttempt = written.attempt;
    if (job.record !== written) {
        saveJob(state, job, context);
    } else {
        job.recorded = true;
    }
    handleStoredRecord(state, job, written, context);
}

/** Replies to the waiting callers and continues a job that waited for its record. */
function handleStoredRecord(state: JobsState, job: Job, written: JobRecord, context: JobContext): void {
    if (job.recorded) {
        answerWaiters(job, { kind: "status", status: jobStatus(job.record, true) });
    }
    if (job.phase === "accepting") {
        startStoredJob(state, job, context);
        return;
    }
    if (job.phase === "recording" && written.attempt === job.record.attempt) {
        commitAttempt(state, job, context);
    }
}

/** Queues a newly stored job; a claimed job first asks for the outcome of its earlier attempt. */
function startStoredJob(state: JobsState, job: Job, context: JobContext): void {
    const { anchor, state: stored } = job.record;
    if (anchor && (stored === "placing" || stored === "running")) {
        beginSettle(state, job, context);
        return;
    }
    enterPhase(job, "queued");
}

/** Continues a job without a stored record if it allows that, so that a slow platform does not delay urgent work. */
export function continueUnrecorded(state: JobsState, job: Job, context: JobContext): void {
    answerWaiters(job, { kind: "status", status: jobStatus(job.record, false) });
    // A claimed job still belongs to its former owner until the claim is stored.
    if (job.phase === "accepting" && job.version === 0) {
        enterPhase(job, "queued");
    }
    if (job.phase === "recording" && job.repeatable) {
        commitAttempt(state, job, context);
    }
}

function handleUnavailableStore(state: JobsState, job: Job, context: JobContext): void {
    state.platformDownUntil = context.clock.now() + PLATFORM_DOWN_MS;
    context.after(WRITE_RETRY_MS, { kind: "write-again", key: job.key });
    if (job.phase === "recording" && !job.repeatable) {
        releaseHolds(state, job, context);
        requeue(state, job, context, WRITE_RETRY_MS);
    }
    continueUnrecorded(state, job, context);
}

/** Handles a version conflict: continues after an own earlier write, otherwise drops the job. */
function handleWriteConflict(
    state: JobsState,
    job: Job,
    stored: StoredJob | undefined,
    context: JobContext,
): void {
    if (stored && job.unresolvedWrites.has(stored.record.writeId)) {
        job.version = stored.version;
        saveJob(state, job, context);
        return;
    }
    if (stored && job.version === 0) {
        const isRepeat = isSameJob(stored.record, job.record);
        answerWaiters(
            job,
            isRepeat
                ? { kind: "status", status: jobStatus(stored.record, true) }
                : failure("not-run", "conflict", "Another job has this id."),
        );
    }
    dropJob(state, job, stored, context);
}

/** Stops coordinating a job whose record another entry has changed, by a claim or a cancellation. */
function dropJob(state: JobsState, job: Job, stored: StoredJob | undefined, context: JobContext): void {
    state.options.log.warn("Another entry has taken over a job.", { job: job.key });
    if (job.phase === "reserving" || job.phase === "recording") {
        releaseHolds(state, job, context);
    }
    const storedRecord = stored?.record;
    const isSameAttempt = storedRecord?.attempt === job.record.attempt && !isEnded(storedRecord.state);
    const isCommitted = job.phase === "committing" || job.phase === "running" || job.phase === "settling";
    if (isCommitted && !isSameAttempt) {
        cancelAttempt(state, job, context);
    }
    answerWaiters(job, failure("may-have-run", "conflict", "Another entry owns this job."));
    state.jobs.delete(job.key);
}

/** Tells whether two records declare the same job, so that a submission with the same id is a repeat. */
export function isSameJob(a: JobRecord, b: JobRecord): boolean {
    const declaration = ({ kind, shape, seconds, body }: JobRecord) =>
        JSON.stringify([kind, shape.span, shape.accelerators, seconds, body]);
    return declaration(a) === declaration(b);
}

function answerWaiters(job: Job, reply: JobReply): void {
    for (const waiter of job.waiters) {
        waiter(reply);
    }
    job.waiters = [];
}
