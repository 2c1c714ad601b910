import { choosePlacementIn, PREFERENCE } from "../placement/choosePlacement.ts";
import {
    type FleetSummary,
    replaceWorkers,
    summarizeFleet,
    usableWorkers,
    withoutAgents,
    workerAt,
} from "../placement/fleetSummary.ts";
import type { PlacementIndex } from "../placement/placementIndex.ts";
import type { Placement, Stage, WorkerView } from "../placement/placementTypes.ts";
import { levelOf, orderJobs, type AccountShare } from "./jobOrder.ts";
import { isPlaceUsable, planPlace, withoutPlace } from "./placePlan.ts";
import type { JobStart, PlannedPlace, RunningGang, RunTimes, WaitingJob } from "./queueTypes.ts";
import { cautiousRunMs } from "./runTimes.ts";

/** Everything one round depends on. */
export interface RoundInput {
    nowMs: number;
    waiting: WaitingJob[];
    running: RunningGang[];
    workers: WorkerView[];
    index: PlacementIndex;
    runTimes: RunTimes;
    /** Weight by client account. */
    accountWeights: Map<string, number>;
    /** The plan that the previous round returned. */
    plan?: PlannedPlace;
    preference?: Stage[];
    /** Starts after which the round ends, `MAX_STARTS` by default. */
    maxStarts?: number;
}

/** What starts now, and the place that is kept for the first job that does not fit. */
export interface RoundResult {
    starts: JobStart[];
    plan?: PlannedPlace;
    /** False if the round ended at its limit of starts; the caller starts another one after its other messages. */
    isComplete: boolean;
}

/** State of a round while it goes through the jobs. */
interface Round extends RoundInput {
    starts: JobStart[];
    /** The fleet after the starts of this round. */
    fleet: FleetSummary;
    /** Smallest demand that did not fit, by client account, span and view. */
    tooLarge: Map<string, number>;
    /** Client accounts whose first job waits for their quota; their later jobs may not use it up. */
    blockedByQuota: Set<string>;
}

/** Bounds the time of one round, so that urgent jobs do not wait for the placement of a whole burst. */
export const MAX_STARTS = 50;

const OWN_STAGES: Stage[] = PREFERENCE.filter(stage => stage.includes("own-lent-out"));

/**
 * Decides which waiting jobs start now. The first job that does not fit gets a planned place. A later job may
 * use accelerators of that place only if it is expected to end before the planned start and its limit ends at
 * most once more the planned wait after it.
 *
 * Bound: let a place be planned at t for the start s. Apart from jobs of a higher level and claims on own
 * bindings, everything that runs in the place after max(2s - t, end of the tasks that ran there at t) was
 * admitted before t, so the gang starts by then, however wrong the expected run times are. Runs must be stopped
 * at their limit. A batch gang has no higher level than urgent above it once `PROMOTION_MS` have passed.
 */
export function dispatchRound(input: RoundInput): RoundResult {
    const { plan, waiting, workers } = input;
    const fleet = summarizeFleet(workers, input.index);
    const round: Round = { ...input, starts: [], fleet, tooLarge: new Map(), blockedByQuota: new Set() };
    if (plan && !(waiting.some(({ id }) => id === plan.job) && isPlaceUsable(plan, workers))) {
        round.plan = undefined;
    }
    const { weights } = input.index;
    const shares = accountShares(round);
    for (const job of orderJobs(waiting, { ...round, weights, shares, plannedJob: round.plan?.job })) {
        if (round.starts.length >= (input.maxStarts ?? MAX_STARTS)) {
            return { starts: round.starts, plan: round.plan, isComplete: false };
        }
        considerJob(round, job);
    }
    return { starts: round.starts, plan: round.plan, isComplete: true };
}

function considerJob(round: Round, job: WaitingJob): void {
    const placement = round.blockedByQuota.has(job.clientAccount)
        ? tryPlace(round, job, "own", OWN_STAGES)
        : placeJob(round, job);
    if (placement) {
        start(round, job, placement);
    } else if (!isWithinQuota(round, job)) {
        round.blockedByQuota.add(job.clientAccount);
    } else if (!round.plan) {
        planFor(round, job);
    }
}

function planFor(round: Round, job: WaitingJob): void {
    const { span, accelerators } = job.shape;
    const key = `${span}/plan${avoidanceKey(job)}`;
    if (accelerators < (round.tooLarge.get(key) ?? Infinity)) {
        round.plan = planPlace(job, { ...round, workers: usableWorkers(fleetFor(round, job)) });
        round.tooLarge.set(key, round.plan ? Infinity : accelerators);
    }
}

/** Places a job beside the planned place, or in it where that is allowed. */
function placeJob(round: Round, job: WaitingJob): Placement | undefined {
    const { plan } = round;
    if (!plan || plan.job === job.id) {
        return tryPlace(round, job, "all", round.preference);
    }
    const beside = tryPlace(round, job, "beside", round.preference);
    if (beside) {
        return beside;
    }
    const mayUsePlace = outranksPlan(round, job, plan) || endsBeforePlan(round, job, plan);
    return mayUsePlace
        ? tryPlace(round, job, "all", round.preference)
        : tryPlace(round, job, "own", OWN_STAGES);
}

function outranksPlan({ waiting, nowMs }: Round, job: WaitingJob, plan: PlannedPlace): boolean {
    const planned = waiting.find(({ id }) => id === plan.job)!;
    return levelOf(job, nowMs) < levelOf(planned, nowMs);
}

function endsBeforePlan({ nowMs, runTimes }: Round, job: WaitingJob, plan: PlannedPlace): boolean {
    const latestEndMs = plan.startMs + (plan.startMs - plan.plannedAtMs);
    return nowMs + cautiousRunMs(runTimes, job) <= plan.startMs && nowMs + job.limitMs <= latestEndMs;
}

function tryPlace(
    round: Round,
    job: WaitingJob,
    view: "all" | "beside" | "own",
    preference: Stage[] | undefined,
): Placement | undefined {
    const { clientAccount, shape } = job;
    const key = `${clientAccount}/${shape.span}/${view}${avoidanceKey(job)}`;
    if (shape.accelerators >= (round.tooLarge.get(key) ?? Infinity)) {
        return undefined;
    }
    const { plan, index } = round;
    const fleet = fleetFor(round, job);
    const placement =
        view === "beside" && plan
            ? choosePlacementIn(
                  { clientAccount, shape },
                  withoutPlace(fleet, index, plan),
                  quotaBeside(round),
                  preference,
              )
            : choosePlacementIn({ clientAccount, shape }, fleet, index, preference);
    if (!placement) {
        round.tooLarge.set(key, shape.accelerators);
    }
    return placement;
}

function fleetFor({ fleet }: Round, { avoidedAgents }: WaitingJob): FleetSummary {
    return avoidedAgents?.size ? withoutAgents(fleet, avoidedAgents) : fleet;
}

/** Separates jobs that may use different workers; what does not fit one may fit the other. */
function avoidanceKey({ avoidedAgents }: WaitingJob): string {
    return avoidedAgents?.size ? `/${[...avoidedAgents].sort().join(",")}` : "";
}

/** The index with the quota that the planned job needs taken out. */
function quotaBeside({ index, plan, waiting }: Round): PlacementIndex {
    const planned = waiting.find(({ id }) => id === plan?.job);
    if (!planned) {
        return index;
    }
    const { clientAccount, shape } = planned;
    const rest = (index.quotas.get(clientAccount) ?? 0) - shape.accelerators;
    return { ...index, quotas: new Map(index.quotas).set(clientAccount, rest) };
}

function isWithinQuota({ fleet, index }: Round, { clientAccount, shape }: WaitingJob): boolean {
    return (
        (fleet.inUse.get(clientAccount) ?? 0) + shape.accelerators <= (index.quotas.get(clientAccount) ?? 0)
    );
}

function start(round: Round, job: WaitingJob, placement: Placement): void {
    const { clientAccount } = job;
    round.starts.push({ job, placement });
    if (round.plan?.job === job.id) {
        round.plan = undefined;
        round.tooLarge.clear();
    }
    const started: WorkerView[] = [];
    for (const { rack, slot, indexes } of placement.members) {
        const worker = workerAt(round.fleet, round.index, rack, slot)!;
        const accelerators = [...worker.accelerators];
        for (const index of indexes) {
            accelerators[index] = { kind: "held", clientAccount };
        }
        started.push({ ...worker, accelerators });
    }
    round.fleet = replaceWorkers(round.fleet, started, round.index);
}

function accountShares({ fleet, accountWeights }: Round): Map<string, AccountShare> {
    const shares = new Map<string, AccountShare>();
    for (const [account, weight] of accountWeights) {
        shares.set(account, { inUse: fleet.inUse.get(account) ?? 0, weight });
    }
    return shares;
}
