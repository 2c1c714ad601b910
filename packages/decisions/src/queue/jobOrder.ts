import type { Priority, Weights } from "../document/documentTypes.ts";
import type { RunTimes, WaitingJob } from "./queueTypes.ts";
import { expectedRunMs } from "./runTimes.ts";

/** What the order of jobs depends on. */
export interface OrderContext {
    nowMs: number;
    runTimes: RunTimes;
    weights: Weights;
    /** Accelerators in use and weight by client account. */
    shares: Map<string, AccountShare>;
    /** The job with a planned place; it comes first among jobs of its level. */
    plannedJob?: string;
}

/** What a client account uses, and its weight in the document. */
export interface AccountShare {
    inUse: number;
    weight: number;
}

/** Age that outweighs the largest difference of one other term of the order. */
export const AGEING_MS = 30 * 60 * 1_000;

/**
 * A batch job that has waited this long counts as normal; an urgent job is never overtaken by age. With
 * 30 minutes, forecasts that had waited blocked normal work behind their planned places.
 */
export const PROMOTION_MS = 8 * 60 * 60 * 1_000;

/** Run time at which a job counts as half long. */
const HALF_COST_RUN_MS = 10 * 60 * 1_000;

/** Use of twice the fair share costs as much as the longest run. */
const FAIR_SHARE_CAP = 2;

const LEVELS: Record<Priority, number> = { urgent: 0, normal: 1, batch: 2 };

/** Level of a job: 0 urgent, 1 normal or aged batch, 2 batch. */
export function priorityLevel({ priority, acceptedAtMs }: WaitingJob, nowMs: number): number {
    const isAged = priority === "batch" && nowMs - acceptedAtMs >= PROMOTION_MS;
    return isAged ? LEVELS.normal : LEVELS[priority];
}

/**
 * Order in which waiting jobs are tried: by level, then by fair share, the weighted preference for short runs
 * (completion time) and large gangs (fragmentation), and age. Age grows without bound and the other terms do
 * not, so every job becomes the first of its level.
 */
export function orderJobs(jobs: WaitingJob[], context: OrderContext): WaitingJob[] {
    const largest = jobs.reduce((size, { shape }) => Math.max(size, shape.accelerators), 1);
    const fairShares = fairShareTerms(context.shares);
    const ranked = jobs.map(job => ({
        job,
        level: priorityLevel(job, context.nowMs),
        planned: job.id === context.plannedJob ? 0 : 1,
        cost: (fairShares.get(job.clientAccount) ?? 0) + costOf(job, largest, context),
    }));
    ranked.sort(
        (left, right) =>
            left.level - right.level ||
            left.planned - right.planned ||
            left.cost - right.cost ||
            (left.job.id < right.job.id ? -1 : 1),
    );
    return ranked.map(({ job }) => job);
}

function costOf(job: WaitingJob, largest: number, { nowMs, runTimes, weights }: OrderContext): number {
    const run = expectedRunMs(runTimes, job);
    const runLengthTerm = run / (run + HALF_COST_RUN_MS);
    const smallGangTerm = 1 - job.shape.accelerators / largest;
    const sum = Math.max(1, weights.completionTime + weights.fragmentation);
    const weighted = (weights.completionTime * runLengthTerm + weights.fragmentation * smallGangTerm) / sum;
    return weighted - (nowMs - job.acceptedAtMs) / AGEING_MS;
}

/** Use of each client account relative to its fair share, from 0 (none) to 1 (twice its share or more). */
function fairShareTerms(shares: Map<string, AccountShare>): Map<string, number> {
    let inUse = 0;
    let weight = 0;
    for (const share of shares.values()) {
        inUse += share.inUse;
        weight += share.weight;
    }
    const terms = new Map<string, number>();
    for (const [account, share] of shares) {
        const fair = (inUse * share.weight) / weight;
        terms.set(account, fair > 0 ? Math.min(share.inUse / fair, FAIR_SHARE_CAP) / FAIR_SHARE_CAP : 0);
    }
    return terms;
}
