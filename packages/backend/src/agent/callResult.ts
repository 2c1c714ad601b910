import type { Either } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { RemoteCallResult } from "@tanagerdeck/runtime/metrics/schedulerMetrics";

/** Result under which a call to the worker is counted in the metrics. */
export function callResult(result: Either<Failure, { kind: string }>): RemoteCallResult | "refused" {
    return result.caseOf<RemoteCallResult | "refused">({
        Left: () => "unanswered",
        Right: ({ kind }) => (kind === "refused" ? "refused" : "answered"),
    });
}
