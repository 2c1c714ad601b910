import { choosePlacementFromSummary, DEFAULT_PREFERENCE } from "../placement/choosePlacement.ts";
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
import { type AccountShare, orderJobs, priorityLevel } from "./jobOrder.ts";
import { isPlannedPlacementUsable, planPlacement, withoutPlannedAccelerators } from "./plannedPlacement.ts";
import type { JobStart, PlannedPlacement, RunningGang, RunTimes, WaitingJob } from "./queueTypes.ts";
import { conservativeRunMs } from "./runTimes.ts";

/** Input of one dispatch round: the waiting and running gangs, the fleet and the configuration. */
export interface RoundInput {
    nowMs: number;
    waiting: WaitingJob[];
    running: RunningGang[];
    workers: WorkerView[];
    index: PlacementIndex;
    runTimes: RunTimes;
    /** Fair-share weight by client account. */
    accountWeights: Map<string, number>;
    /** The plan that the previous round returned. */
    plan?: PlannedPlacement;
    preference?: Stage[];
    /** Maximum number of starts in this round; `MAX_STARTS_PER_ROUND` by default. */
    maxStarts?: number;
}

/** The jobs that start now, and the placement planned for the first job that does not fit. */
export interface RoundResult {
    starts: JobStart[];
    plan?: PlannedPlacement;
    /**
     * False if the round reached its limit of starts. The caller runs another round after it has handled its other
     * messages.
     */
    isComplete: boolean;
}

/** Mutable state of a round. */
interface Round extends RoundInput {
    starts: JobStart[];
    /** The fleet after the starts of this round. */
    fleet: FleetSummary;
    /**
     * Smallest number of accelerators that did not fit, by client account, span, scope and avoided agents.
     * Larger demands with the same key are not searched again.
     */
    smallestUnplaceable: Map<string, number>;
    /** Client accounts whose first job waits for quota; their later jobs must not use up that quota. */
    blockedByQuota: Set<string>;
}

/** Limits the duration of one round, so that an urgent job does not wait until a whole burst is placed. */
export const MAX_STARTS_PER_ROUND = 50;

const OWN_STAGES: Stage[] = DEFAULT_PREFERENCE.filter(stage => stage.includes("own-lent-out"));

/**
 * Decides which waiting jobs start now, with backfill. The first job that does not fit gets a planned placement
 * with a start time s, fixed at planning time t. A later job may use accelerators of that placement only if its
 * conservative run time ends by s and its run time limit ends by 2s - t, that is, delays the start by at most s - t.
 *
 * Bound: the planned gang starts by max(2s - t, end of the tasks that ran on its accelerators at t), however wrong
 * the expected run times are, because backfilled jobs have ended by then. This requires that runs are stopped at
 * their limit. Two kinds of jobs are exempt from the bound: jobs of a higher priority level, and jobs on their client
 * account's own bindings. Once a batch gang has waited for `PROMOTION_MS`, only urgent jobs have a higher level.
 */
export function dispatchRound(input: RoundInput): RoundResult {
    const { plan, waiting, workers } = input;
    const fleet = summarizeFleet(workers, input.index);
    const round: Round = {
        ...input,
        starts: [],
        fleet,
        smallestUnplaceable: new Map(),
        blockedByQuota: new Set(),
    };
    if (plan && !(waiting.some(({ id }) => id === plan.job) && isPlannedPlacementUsable(plan, workers))) {
        round.plan = undefined;
    }
    const { weights } = input.index;
    const shares = accountShares(round);
    for (const job of orderJobs(waiting, { ...round, weights, shares, plannedJob: round.plan?.job })) {
        if (round.starts.length >= (input.maxStarts ?? MAX_STARTS_PER_ROUND)) {
            return { starts: round.starts, plan: round.plan, isComplete: false };
        }
        scheduleJob(round, job);
    }
    return { starts: round.starts, plan: round.plan, isComplete: true };
}

function scheduleJob(round: Round, job: WaitingJob): void {
    const placement = round.blockedByQuota.has(job.clientAccount)
        ? tryPlace(round, job, "own", OWN_STAGES)
        : placeJob(round, job);
    if (placement) {
        startJob(round, job, placement);
    } else if (!isWithinQuota(round, job)) {
        round.blockedByQuota.add(job.clientAccount);
    } else if (!round.plan) {
        planPlacementFor(round, job);
    }
}

function planPlacementFor(round: Round, job: WaitingJob): void {
    const { span, accelerators } = job.shape;
    const key = `${span}/plan${avoidanceKey(job)}`;
    if (accelerators < (round.smallestUnplaceable.get(key) ?? Infinity)) {
        round.plan = planPlacement(job, { ...round, workers: usableWorkers(fleetFor(round, job)) });
        round.smallestUnplaceable.set(key, round.plan ? Infinity : accelerators);
    }
}

/** Places a job outside the planned placement, or inside it if the job has a higher level or may backfill. */
function placeJob(round: Round, job: WaitingJob): Placement | undefined {
    const { plan } = round;
    if (!plan || plan.job === job.id) {
        return tryPlace(round, job, "all", round.preference);
    }
    const outsidePlan = tryPlace(round, job, "outside-plan", round.preference);
    if (outsidePlan) {
        return outsidePlan;
    }
    const mayUsePlannedAccelerators = outranksPlan(round, job, plan) || mayBackfill(round, job, plan);
    return mayUsePlannedAccelerators
        ? tryPlace(round, job, "all", round.preference)
        : tryPlace(round, job, "own", OWN_STAGES);
}

function outranksPlan({ waiting, nowMs }: Round, job: WaitingJob, plan: PlannedPlacement): boolean {
    const planned = waiting.find(({ id }) => id === plan.job)!;
    return priorityLevel(job, nowMs) < priorityLevel(planned, nowMs);
}

function mayBackfill({ nowMs, runTimes }: Round, job: WaitingJob, plan: PlannedPlacement): boolean {
    const latestEndMs = plan.startMs + (plan.startMs - plan.plannedAtMs);
    return nowMs + conservativeRunMs(runTimes, job) <= plan.startMs && nowMs + job.limitMs <= latestEndMs;
}

/**
 * Places a job on the accelerators in `scope`: all, those outside the planned placement, or the client account's own
 * bindings. Remembers demands that do not fit in `smallestUnplaceable`.
 */
function tryPlace(
    round: Round,
    job: WaitingJob,
    scope: "all" | "outside-plan" | "own",
    preference: Stage[] | undefined,
): Placement | undefined {
    const { clientAccount, shape } = job;
    const key = `${clientAccount}/${shape.span}/${scope}${avoidanceKey(job)}`;
    if (shape.accelerators >= (round.smallestUnplaceable.get(key) ?? Infinity)) {
        return undefined;
    }
    const { plan, index } = round;
    const fleet = fleetFor(round, job);
    const placement =
        scope === "outside-plan" && plan
            ? choosePlacementFromSummary(
                  { clientAccount, shape },
                  withoutPlannedAccelerators(fleet, index, plan),
                  withPlannedQuotaReserved(round),
                  preference,
              )
            : choosePlacementFromSummary({ clientAccount, shape }, fleet, index, preference);
    if (!placement) {
        round.smallestUnplaceable.set(key, shape.accelerators);
    }
    return placement;
}

function fleetFor({ fleet }: Round, { avoidedAgents }: WaitingJob): FleetSummary {
    return avoidedAgents?.size ? withoutAgents(fleet, avoidedAgents) : fleet;
}

/** Part of the `smallestUnplaceable` key: jobs that avoid different agents have different workers to choose from. */
function avoidanceKey({ avoidedAgents }: WaitingJob): string {
    return avoidedAgents?.size ? `/${[...avoidedAgents].sort().join(",")}` : "";
}

/** The index with its quotas reduced by the accelerators that the planned job needs. */
function withPlannedQuotaReserved({ index, plan, waiting }: Round): PlacementIndex {
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

function startJob(round: Round, job: WaitingJob, placement: Placement): void {
    const { clientAccount } = job;
    round.starts.push({ job, placement });
    if (round.plan?.job === job.id) {
        round.plan = undefined;
        round.smallestUnplaceable.clear();
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
