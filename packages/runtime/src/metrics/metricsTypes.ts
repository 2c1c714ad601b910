import type { WorkForm } from "@tanagerdeck/decisions/document/documentTypes";
import type { AgentState } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { FailureReason, Verdict } from "@tanagerdeck/decisions/verdict/verdictTypes";

/** Calls to the platform's service, by their effect on its budget. */
export type PlatformOperation = "read" | "write" | "watch";

/** How a request or a job ended. */
export interface WorkEnd {
    verdict: Verdict;
    reason?: FailureReason | undefined;
}

/** Work of one form at one process. */
export interface WorkLoad {
    waiting: number;
    running: number;
}

/**
 * What the parts of a process tell its metrics. Labels are string unions only, so that their number is bounded
 * and no token, id or account secret can become one.
 */
export interface Metrics {
    /** Counts the end of a request or job; a failure with `not-run` also counts as refused. */
    ended(form: WorkForm, end: WorkEnd): void;
    /** Counts work that was refused before it became a request or job, such as a wrong token. */
    refused(reason: FailureReason): void;
    /** Counts a second or later attempt of a request or job. */
    retried(form: WorkForm): void;
    platformCalled(operation: PlatformOperation): void;
    load(form: WorkForm, load: WorkLoad): void;
    configurationRevision(revision: number): void;
    /** Takes the fleet view; its states are counted when the metrics are read. The array must not change. */
    agents(fleet: readonly { state: AgentState }[]): void;
}

/** Metrics that drop everything, for tests. */
export const noopMetrics: Metrics = {
    ended() {},
    refused() {},
    retried() {},
    platformCalled() {},
    load() {},
    configurationRevision() {},
    agents() {},
};
