import type { Shape } from "../document/documentTypes.ts";
import type { FailureReason, Verdict } from "../verdict/verdictTypes.ts";

/** State of a job. */
export type JobState = "queued" | "placing" | "running" | "finished" | "failed" | "cancelled";

/** The end of a job. */
export interface JobEnd {
    verdict: Verdict;
    reason?: FailureReason;
    detail: string;
}

/** The agent that anchors an attempt. */
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
    /** Name of the entry that coordinates the job; undefined after a graceful handover. */
    owner: string | undefined;
    attempt: number;
    state: JobState;
    anchor?: JobAnchor;
    checkpoint?: string;
    /** Time computed up to the checkpoint. */
    ranMs: number;
    /** True if a part may have computed in any attempt. */
    started: boolean;
    acceptedAt: number;
    end?: JobEnd;
    /** Identifies the last write, so that a lost reply is resolved by reading back. */
    writeId: string;
}

/** What a caller sees of its job. */
export interface JobStatus {
    id: string;
    state: JobState;
    attempt: number;
    /** False while the platform has not stored the latest state. */
    recorded: boolean;
    end?: JobEnd;
}

/** True if the job will not run again. */
export function isEnded(state: JobState): boolean {
    return state === "finished" || state === "failed" || state === "cancelled";
}
