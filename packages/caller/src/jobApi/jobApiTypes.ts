import type { JobRequest, JobState } from "@tanagerdeck/decisions/job/jobTypes";
import type { Queue } from "@tanagerdeck/decisions/manifest/manifestTypes";

/** Queue and client account of an API call; the listener has checked the API key. */
export interface QueueCall {
    queue: Queue;
    clientAccount: string | undefined;
}

/** Result of a submission. */
export type SubmitReply =
    /** The job is stored. */
    | { kind: "accepted" }
    /** The job is not stored and never runs under this submission. */
    | { kind: "refused"; reason: "store-unavailable" | "cancelled" | "conflict"; retryAfterMs: number }
    /** The job may be stored; a repeated submission with the same id shows whether it is. */
    | { kind: "unclear" };

/** The state of a job, or the reason why it is not available. */
export type StateReply =
    | { kind: "state"; state: JobState }
    | { kind: "unknown-job" }
    | { kind: "denied" }
    | { kind: "unavailable"; retryAfterMs: number };

/** Result of a cancellation. */
export type CancelReply =
    | { kind: "cancelled" }
    | { kind: "unknown-job" }
    | { kind: "denied" }
    | { kind: "unavailable"; retryAfterMs: number };

/** The number of a queue's accepted jobs that have not started; not available while the copy of the store is old. */
export type WaitingReply = { kind: "waiting"; count: number } | { kind: "unavailable"; retryAfterMs: number };

/** Job operations that listeners call; independent of any wire format. `waitMs` is the time within which they answer. */
export interface JobApi {
    submit(call: QueueCall, request: JobRequest, waitMs: number): Promise<SubmitReply>;
    state(call: QueueCall, id: string, waitMs: number): Promise<StateReply>;
    cancel(call: QueueCall, id: string, waitMs: number): Promise<CancelReply>;
    /** Returns the number of the queue's accepted jobs that have not started. */
    waiting(call: QueueCall): Promise<WaitingReply>;
}
