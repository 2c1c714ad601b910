import type { WorkForm } from "@tanagerdeck/decisions/document/documentTypes";
import type { AgentState } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { FailureReason, Verdict } from "@tanagerdeck/decisions/verdict/verdictTypes";

/** Kinds of calls to the platform's service, which count differently against its limits. */
export type PlatformOperation = "read" | "write" | "watch";

/** How a request or a job ended. */
export interface WorkEnd {
    verdict: Verdict;
    reason?: FailureReason | undefined;
}

/** Number of requests or jobs that wait and run in one process. */
export interface WorkLoad {
    waiting: number;
    running: number;
}

/**
 * Receives measurements from the parts of a process. Labels are string unions, so that the number of time series
 * is bounded and no token, id or account secret can become a label.
 */
export interface Metrics {
    /** Counts the end of a request or job; a failure with `not-run` also counts as refused. */
    ended(form: WorkForm, end: WorkEnd): void;
    /** Counts a refusal before a request or job was created, such as one because of a wrong token. */
    refused(reason: FailureReason): void;
    /** Counts a second or later attempt of a request or job. */
    retried(form: WorkForm): void;
    platformCalled(operation: PlatformOperation): void;
    load(form: WorkForm, load: WorkLoad): void;
    configurationRevision(revision: number): void;
    /** Sets the fleet view. Its states are counted when the metrics are read, so the array must not be modified. */
    agents(fleet: readonly { state: AgentState }[]): void;
}

/** Metrics that record nothing, for tests. */
export const noopMetrics: Metrics = {
    ended() {},
    refused() {},
    retried() {},
    platformCalled() {},
    load() {},
    configurationRevision() {},
    agents() {},
};
