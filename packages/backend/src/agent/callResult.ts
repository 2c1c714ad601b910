import type { Either } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { CallResult } from "@tanagerdeck/runtime/metrics/schedulerMetrics";

/** How a call to the worker counts in the metrics. */
export function callResult(result: Either<Failure, { kind: string }>): CallResult | "refused" {
    return result.caseOf<CallResult | "refused">({
        Left: () => "unanswered",
        Right: ({ kind }) => (kind === "refused" ? "refused" : "answered"),
    });
}
