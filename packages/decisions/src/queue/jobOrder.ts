import type { Priority, Weights } from "../document/documentTypes.ts";
import type { RunTimes, WaitingJob } from "./queueTypes.ts";
import { expectedRunMs } from "./runTimes.ts";

/** Input of `orderJobs` apart from the jobs. */
export interface OrderContext {
    nowMs: number;
    runTimes: RunTimes;
    weights: Weights;
    /** Use and weight by client account. */
    shares: Map<string, AccountShare>;
    /** Id of the job with a planned placement; it comes first among the jobs of its level. */
    plannedJob?: string;
}

/** Accelerators that a client account uses, and its fair-share weight in the document. */
export interface AccountShare {
    inUse: number;
    weight: number;
}

/** Waiting time that outweighs the largest possible difference of one other cost term. */
export const AGEING_MS = 30 * 60 * 1_000;

/**
 * A batch job that has waited this long gets the level of normal jobs, never that of urgent ones. At 30 minutes,
 * promoted batch jobs (forecasts) blocked normal jobs behind their planned placements.
 */
export const PROMOTION_MS = 8 * 60 * 60 * 1_000;

/** Run time at which the run length term of the cost is 0.5. */
const HALF_COST_RUN_MS = 10 * 60 * 1_000;

/** Multiple of the fair share at which the fair-share term reaches its maximum of 1, that of the other terms. */
const FAIR_SHARE_CAP = 2;

const LEVELS: Record<Priority, number> = { urgent: 0, normal: 1, batch: 2 };

/** Priority level of a job: 0 for urgent, 1 for normal or promoted batch, 2 for batch. */
export function priorityLevel({ priority, acceptedAtMs }: WaitingJob, nowMs: number): number {
    const isAged = priority === "batch" && nowMs - acceptedAtMs >= PROMOTION_MS;
    return isAged ? LEVELS.normal : LEVELS[priority];
}

/**
 * Sorts the waiting jobs in the order in which a round tries to place them: by priority level, then the job with a
 * planned placement, then by cost. The cost rises with the account's use of its fair share and falls with waiting
 * time; the weights set how much it favours short runs (completion time) and large gangs (fragmentation). Only the
 * waiting time term is unbounded, so no job starves within its level.
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

/** Use of each client account relative to its fair share, from 0 (no use) to 1 (twice the fair share or more). */
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
