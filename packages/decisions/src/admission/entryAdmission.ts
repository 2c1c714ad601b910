import type { KindLimits, Quota } from "../document/documentTypes.ts";
import { failure, type Failure } from "../verdict/verdictTypes.ts";
import { nextStartSlot, takeToken, type TokenBucket } from "./tokenBucket.ts";

/** Properties of a request that decide on its admission. Times are in milliseconds. */
export interface AdmissionDemand {
    bodyBytes: number;
    deadlineAt: number;
    limits: KindLimits;
    quota: Quota;
}

/** Admission decision: the request may be sent at `startAt`, or it is refused. */
export type Admission = { kind: "admitted"; startAt: number } | { kind: "refused"; failure: Failure };

/** Checks the body limit, the account's limit of waiting requests at its rate, and the deadline, in this order. */
export function admitAtEntry(bucket: TokenBucket, demand: AdmissionDemand, now: number): Admission {
    const { limits, quota } = demand;
    if (demand.bodyBytes > limits.bytes) {
        return refused("too-large", `The body is longer than ${limits.bytes} bytes.`);
    }
    const slot = nextStartSlot(bucket, quota.requestsPerSecond, now);
    if (slot.ahead > quota.waiting) {
        return refused("limit-exceeded", "Too many requests of this client account are waiting.");
    }
    if (slot.startAt >= demand.deadlineAt) {
        return refused("infeasible", "The request cannot start before its deadline.");
    }
    takeToken(bucket, quota.requestsPerSecond, now);
    return { kind: "admitted", startAt: slot.startAt };
}

function refused(reason: Failure["reason"], detail: string): Admission {
    return { kind: "refused", failure: failure("not-run", reason, detail) };
}
