import type { Either } from "purify-ts/Either";
import { isEnded } from "@tanagerdeck/decisions/gang/jobTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { StoredJob } from "@tanagerdeck/store/record/jobRecords";
import { saveJob } from "./jobRecording.ts";
import { createJob, jobKey } from "./jobState.ts";
import type { JobContext, JobsState } from "./jobTaskTypes.ts";

const CLAIM_RETRY_MS = 2_000;

/** Claims the unfinished jobs of a departed owner, and jobs without an owner, by compare-and-swap. */
export function claimListedJobs(
    state: JobsState,
    owner: string,
    result: Either<Failure, StoredJob[]>,
    context: JobContext,
): void {
    if (result.isLeft() || !state.configuration) {
        context.after(CLAIM_RETRY_MS, { kind: "claim", owner });
        return;
    }
    for (const { record, version } of result.unsafeCoerce()) {
        const isClaimable = record.owner === undefined || record.owner === owner;
        if (!isClaimable || isEnded(record.state) || state.jobs.has(jobKey(record))) {
            continue;
        }
        const job = createJob(state, { ...record, owner: state.options.entry }, version);
        if (job) {
            state.options.log.info("A job is claimed.", { job: job.key, owner });
            state.jobs.set(job.key, job);
            saveJob(state, job, context);
        }
    }
}
