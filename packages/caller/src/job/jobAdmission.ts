import { findAccount, jobRefusal } from "@tanagerdeck/decisions/gang/jobAdmission";
import type { JobRecord } from "@tanagerdeck/decisions/gang/jobTypes";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { saveJobWithTimeout, isSameJob } from "./jobRecording.ts";
import { createJob, jobKey, jobStatus } from "./jobState.ts";
import type { CallerJob, JobContext, JobReply, JobsState } from "./jobTaskTypes.ts";
import type { Reply } from "@tanagerdeck/runtime/task/task";

/** Admits a new job, answers a repeated submission with the job's status, or refuses the job. */
export function admitJob(
    state: JobsState,
    job: CallerJob,
    reply: Reply<JobReply>,
    context: JobContext,
): void {
    const record = newRecord(state, job);
    const existing = state.jobs.get(jobKey(job));
    if (existing && !isSameJob(existing.record, record)) {
        reply(failure("not-run", "conflict", "Another job has this id."));
        return;
    }
    if (existing) {
        reply({ kind: "status", status: jobStatus(existing.record, existing.recorded) });
        return;
    }
    const refusal = findRefusal(state, job);
    if (refusal) {
        reply(refusal);
        return;
    }
    const created = createJob(state, record, 0);
    if (created) {
        created.waiters.push(reply);
        state.jobs.set(created.key, created);
        saveJobWithTimeout(state, created, context);
    }
}

/** Checks a new job against the configuration and the account's queue limit; undefined if it is admitted. */
function findRefusal(state: JobsState, job: CallerJob): Failure | undefined {
    if (!state.configuration) {
        return failure("not-run", "no-configuration", "No configuration is known yet.");
    }
    if (state.handOver) {
        return failure("not-run", "draining", "The entry is stopping.");
    }
    const { document } = state.configuration;
    const bodyBytes = Buffer.byteLength(job.body);
    const refusal = jobRefusal(document, { ...job, bodyBytes });
    if (refusal) {
        return refusal;
    }
    let waiting = 0;
    for (const { record, phase } of state.jobs.values()) {
        const isWaiting = phase === "accepting" || phase === "queued";
        waiting += isWaiting && record.clientAccount === job.clientAccount ? 1 : 0;
    }
    if (waiting >= (findAccount(document, job.clientAccount)?.quota.waiting ?? 0)) {
        return failure("not-run", "limit-exceeded", "Too many jobs of the client account are waiting.");
    }
    return undefined;
}

function newRecord(state: JobsState, job: CallerJob): JobRecord {
    const { id, clientAccount, kind, shape, seconds, body } = job;
    return {
        id,
        clientAccount,
        kind,
        shape,
        seconds,
        body,
        owner: state.options.entry,
        attempt: 0,
        state: "queued",
        ranMs: 0,
        started: false,
        acceptedAt: state.options.clock.wall(),
        writeId: "",
    };
}
