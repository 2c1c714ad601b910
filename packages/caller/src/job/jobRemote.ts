import { attemptKey } from "@tanagerdeck/decisions/gang/gangTypes";
import { isEnded, type JobEnd, type JobRecord } from "@tanagerdeck/decisions/gang/jobTypes";
import { failure, type Verdict } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { StoredJob } from "@tanagerdeck/store/record/jobRecords";
import { jobStatus } from "./jobState.ts";
import type { JobOptions, JobReference, JobReply } from "./jobTaskTypes.ts";

const NOT_FOUND = failure("not-run", "not-found", "The job is not known.");

/** Reads the status of a job that another entry coordinates from its stored record. */
export async function remoteStatus(options: JobOptions, reference: JobReference): Promise<JobReply> {
    const read = await options.records.read(reference.clientAccount, reference.id);
    return read.caseOf<JobReply>({
        Left: problem => ({ ...problem, verdict: "may-have-run" }),
        Right: stored => (stored ? { kind: "status", status: jobStatus(stored.record, true) } : NOT_FOUND),
    });
}

/** Cancels a job that another entry coordinates: at its anchor, then in its record, so that the owner drops it. */
export async function remoteCancel(options: JobOptions, reference: JobReference): Promise<JobReply> {
    const read = await options.records.read(reference.clientAccount, reference.id);
    if (read.isLeft()) {
        return { ...read.extract(), verdict: "may-have-run" };
    }
    const stored = read.unsafeCoerce();
    if (!stored) {
        return NOT_FOUND;
    }
    if (isEnded(stored.record.state)) {
        return { kind: "status", status: jobStatus(stored.record, true) };
    }
    const verdict = await cancelAtAnchor(options, stored.record);
    return writeCancelled(options, stored, verdict);
}

/** Asks the anchor to cancel the recorded attempt; returns whether the job has run. */
async function cancelAtAnchor(options: JobOptions, record: JobRecord): Promise<Verdict> {
    const verdictBefore: Verdict = record.started ? "ran" : "not-run";
    if (!record.anchor || (record.state !== "placing" && record.state !== "running")) {
        return verdictBefore;
    }
    const { address, incarnation } = record.anchor;
    const gang = `${record.clientAccount}/${record.id}`;
    const { attempt } = record;
    const settled = await options.calls.settleGang(address, { gang, attempt, incarnation, action: "cancel" });
    const reply = settled.toMaybe().extract();
    options.log.info("Asked the anchor to cancel a job.", { attempt: attemptKey({ gang, attempt }) });
    if (!reply || reply.kind === "unknown") {
        return "may-have-run";
    }
    if (reply.kind === "not-run") {
        return verdictBefore;
    }
    return reply.report.end && !reply.report.end.started ? verdictBefore : "ran";
}

async function writeCancelled(options: JobOptions, stored: StoredJob, verdict: Verdict): Promise<JobReply> {
    const end: JobEnd = { verdict, reason: "cancelled", detail: "The job was cancelled." };
    const { record } = stored;
    const cancelled: JobRecord = { ...record, state: "cancelled", end, writeId: options.newId() };
    const written = await options.records.write(cancelled, stored.version);
    if (written.kind === "written") {
        return { kind: "status", status: jobStatus(cancelled, true) };
    }
    if (written.kind === "conflict" && written.stored && isEnded(written.stored.record.state)) {
        return { kind: "status", status: jobStatus(written.stored.record, true) };
    }
    return failure("may-have-run", "conflict", "The job changed while it was cancelled; try again.");
}
