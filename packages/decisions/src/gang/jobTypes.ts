import type { Shape } from "../document/documentTypes.ts";
import type { FailureReason, Verdict } from "../verdict/verdictTypes.ts";

/** State of a job; `finished`, `failed` and `cancelled` are final. */
export type JobState = "queued" | "placing" | "running" | "finished" | "failed" | "cancelled";

/** Result of a job. */
export interface JobEnd {
    verdict: Verdict;
    reason?: FailureReason;
    detail: string;
}

/** The agent that coordinates the parts of an attempt. */
export interface JobAnchor {
    agent: string;
    address: string;
    incarnation: string;
}

/** What the platform stores about a job. */
export interface JobRecord {
    id: string;
    clientAccount: string;
    kind: string;
    shape: Shape;
    /** Run time that the caller declared. */
    seconds: number;
    body: string;
    /** Name of the entry that coordinates the job; undefined after that entry released the job in a graceful stop. */
    owner: string | undefined;
    attempt: number;
    state: JobState;
    anchor?: JobAnchor;
    checkpoint?: string;
    /** Run time that the checkpoint covers. */
    ranMs: number;
    /** True if a part may have computed in any attempt. */
    started: boolean;
    acceptedAt: number;
    end?: JobEnd;
    /** Identifies the last write: if its reply is lost, reading the record shows whether the write succeeded. */
    writeId: string;
}

/** Status of a job as its caller sees it. */
export interface JobStatus {
    id: string;
    state: JobState;
    attempt: number;
    /** False until the platform has stored the latest state. */
    recorded: boolean;
    end?: JobEnd;
}

/** Returns true if a job in this state will not run again. */
export function isEnded(state: JobState): boolean {
    return state === "finished" || state === "failed" || state === "cancelled";
}
