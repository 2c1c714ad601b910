import { build, type Histogram } from "hdr-histogram-js";
import { computeBindings } from "@tanagerdeck/decisions/binding/bindingSearch";
import type { Priority } from "@tanagerdeck/decisions/document/documentTypes";
import { indexPlacement, type PlacementIndex } from "@tanagerdeck/decisions/placement/placementIndex";
import type { Placement, WorkerView } from "@tanagerdeck/decisions/placement/placementTypes";
import type { PlannedPlacement, RunTimes } from "@tanagerdeck/decisions/queue/queueTypes";
import { recordRun } from "@tanagerdeck/decisions/queue/runTimes";
import type { BenchJob, Workload } from "./placementWorkload.ts";

/** A gang that runs in the simulation. */
export interface SimulatedRun {
    id: string;
    kind: string;
    limitMs: number;
    members: Placement["members"];
    startedAtMs: number;
    endMs: number;
    job: BenchJob;
}

/** State of the simulation, on which a policy decides. */
export interface SimulationState {
    nowMs: number;
    workers: WorkerView[];
    waiting: BenchJob[];
    running: SimulatedRun[];
    runTimes: RunTimes;
    index: PlacementIndex;
    plan?: PlannedPlacement;
}

/** The jobs that a policy starts now and the placement that it plans ahead. */
export interface PolicyDecision {
    starts: { job: BenchJob; placement: Placement }[];
    plan?: PlannedPlacement;
}

/** Decides which waiting jobs start now. */
export type Policy = (state: SimulationState) => PolicyDecision;

/** Measurements of one simulation. */
export interface SimulationResult {
    /** Size of the largest adjacent gang that could start divided by the free accelerators, averaged over time. */
    fragmentation: number;
    completionMs: Record<Priority, Histogram>;
    /** Time from acceptance to each start, by kind. */
    waitMs: Map<string, Histogram>;
    reclaims: number;
    /** Number of starts on accelerators that are not as close together as the job's shape asks. */
    notAdjacent: number;
    jobs: number;
}

interface Totals {
    weightedFragmentation: number;
    measuredMs: number;
    waitMs: Map<string, Histogram>;
    reclaims: number;
    notAdjacent: number;
}

/** Worst-case duration of a reclaim, by which the end of the owner's gang is delayed. */
const MAX_RECLAIM_MS = 3_500;

/** Time of the work that a gang repeats after it was checkpointed and stopped. */
const REPEATED_WORK_MS = 30_000;

/** Simulates a workload under a policy until all jobs have ended: only their arrivals, ends and displacements. */
export function simulatePlacement({ document, jobs }: Workload, policy: Policy): SimulationResult {
    const index = indexPlacement({ document, bindings: computeBindings(document).unsafeCoerce() });
    const state: SimulationState = {
        nowMs: 0,
        workers: freeWorkers(index),
        waiting: [],
        running: [],
        runTimes: {},
        index,
    };
    const totals: Totals = {
        weightedFragmentation: 0,
        measuredMs: 0,
        waitMs: new Map(),
        reclaims: 0,
        notAdjacent: 0,
    };
    const completionMs = { urgent: build(), normal: build(), batch: build() };
    let arrived = 0;
    while (arrived < jobs.length || state.running.length > 0) {
        const nextEnd = state.running.reduce((end, run) => Math.min(end, run.endMs), Infinity);
        const nextMs = Math.min(jobs[arrived]?.acceptedAtMs ?? Infinity, nextEnd);
        sampleFragmentation(state, totals, nextMs - state.nowMs);
        state.nowMs = nextMs;
        for (const run of state.running.filter(({ endMs }) => endMs <= nextMs)) {
            releaseRun(state, run);
            state.runTimes = recordRun(state.runTimes, run.kind, nextMs - run.startedAtMs);
            completionMs[run.job.priority].recordValue(Math.round(nextMs - run.job.acceptedAtMs));
        }
        for (; jobs[arrived] && jobs[arrived]!.acceptedAtMs <= nextMs; arrived++) {
            state.waiting.push(jobs[arrived]!);
        }
        const { starts, plan } = policy(state);
        state.plan = plan;
        for (const { job, placement } of starts) {
            startJob(state, totals, job, placement);
        }
    }
    if (state.waiting.length > 0) {
        throw new Error(`${state.waiting.length} jobs of the workload never started`);
    }
    const fragmentation = totals.weightedFragmentation / totals.measuredMs;
    return { ...totals, fragmentation, completionMs, jobs: jobs.length };
}

function freeWorkers(index: PlacementIndex): WorkerView[] {
    return index.racks.flatMap(({ name, bound }) =>
        bound.map((indexes, slot): WorkerView => {
            const accelerators = indexes.map(() => ({ kind: "free" as const }));
            const place = { rack: name, slot, availabilityZone: "" };
            return { agent: `${name}-${slot}`, address: "", ...place, accelerators, usable: true };
        }),
    );
}

function sampleFragmentation({ workers, index }: SimulationState, totals: Totals, elapsedMs: number): void {
    const freeByRack = index.racks.map(() => 0);
    let free = 0;
    for (const { rack, accelerators } of workers) {
        const count = accelerators.filter(({ kind }) => kind === "free").length;
        freeByRack[index.rackPositions.get(rack)!]! += count;
        free += count;
    }
    if (free > 0) {
        const pairs = index.racks.map(({ next }, rack) => freeByRack[rack]! + (freeByRack[next ?? -1] ?? 0));
        totals.weightedFragmentation += (Math.max(...pairs) / free) * elapsedMs;
        totals.measuredMs += elapsedMs;
    }
}

function startJob(state: SimulationState, totals: Totals, job: BenchJob, placement: Placement): void {
    const displaced = placement.displaced ?? [];
    const isDisplaced = ({ members }: SimulatedRun) =>
        members.some(member =>
            displaced.some(({ agent, index }) => member.agent === agent && member.indexes.includes(index)),
        );
    for (const run of state.running.filter(isDisplaced)) {
        releaseRun(state, run);
        const remainingMs = Math.max(0, run.endMs - state.nowMs) + REPEATED_WORK_MS;
        state.waiting.push({ ...run.job, runMs: remainingMs });
        totals.reclaims += 1;
    }
    totals.notAdjacent += isAdjacent(state.index, job, placement) ? 0 : 1;
    state.waiting.splice(state.waiting.indexOf(job), 1);
    const { id, kind, limitMs, clientAccount, runMs } = job;
    const waits = totals.waitMs.get(kind) ?? build();
    waits.recordValue(Math.round(state.nowMs - job.acceptedAtMs));
    totals.waitMs.set(kind, waits);
    const endMs = state.nowMs + runMs + (displaced.length > 0 ? MAX_RECLAIM_MS : 0);
    const { members } = placement;
    state.running.push({ id, kind, limitMs, members, startedAtMs: state.nowMs, endMs, job });
    for (const { agent, indexes } of members) {
        const { accelerators } = state.workers.find(worker => worker.agent === agent)!;
        for (const index of indexes) {
            accelerators[index] = {
                kind: "used",
                clientAccount,
                reclaimable: placement.tenure === "borrowed",
            };
        }
    }
}

function releaseRun(state: SimulationState, run: SimulatedRun): void {
    state.running.splice(state.running.indexOf(run), 1);
    for (const { agent, indexes } of run.members) {
        const { accelerators } = state.workers.find(worker => worker.agent === agent)!;
        for (const index of indexes) {
            accelerators[index] = { kind: "free" };
        }
    }
}

function isAdjacent(index: PlacementIndex, { shape }: BenchJob, { members }: Placement): boolean {
    const racks = [...new Set(members.map(({ rack }) => index.rackPositions.get(rack)!))];
    if (shape.span === "worker" || racks.length === 1) {
        return members.length === 1 || (shape.span !== "worker" && racks.length === 1);
    }
    const [first, second] = racks.sort((left, right) => left - right);
    return shape.span === "neighbouring-racks" && racks.length === 2 && index.racks[first!]!.next === second;
}
