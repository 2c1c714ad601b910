import type { JobRequest, JobState } from "@tanagerdeck/decisions/job/jobTypes";
import type { Queue } from "@tanagerdeck/decisions/manifest/manifestTypes";

/** Who calls about which queue; the key has been checked. */
export interface QueueCall {
    queue: Queue;
    clientAccount: string | undefined;
}

/** What became of a submission. */
export type SubmitReply =
    /** The job is stored. */
    | { kind: "accepted" }
    /** The job is not stored and never runs under this submission. */
    | { kind: "refused"; reason: "store-unavailable" | "cancelled" | "conflict"; retryAfterMs: number }
    /** The job may be stored; a repeat with the same id finds out. */
    | { kind: "unclear" };

/** The state of a job, or why it cannot be told. */
export type StateReply =
    | { kind: "state"; state: JobState }
    | { kind: "unknown-job" }
    | { kind: "denied" }
    | { kind: "unavailable"; retryAfterMs: number };

/** What became of a cancellation. */
export type CancelReply =
    | { kind: "cancelled" }
    | { kind: "unknown-job" }
    | { kind: "denied" }
    | { kind: "unavailable"; retryAfterMs: number };

/** The desk as listeners use it; independent of any wire format. */
export interface JobApi {
    submit(call: QueueCall, request: JobRequest, waitMs: number): Promise<SubmitReply>;
    state(call: QueueCall, id: string): Promise<StateReply>;
    cancel(call: QueueCall, id: string, waitMs: number): Promise<CancelReply>;
    /** Number of the queue's accepted jobs of which nothing has started. */
    waiting(call: QueueCall): Promise<number>;
}
