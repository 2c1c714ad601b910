import { expect } from "chai";
import { computeBindings } from "../binding/bindingSearch.ts";
import type { ConfigurationDocument, Shape } from "../document/documentTypes.ts";
import { indexPlacement } from "../placement/placementIndex.ts";
import type { Placement, WorkerView } from "../placement/placementTypes.ts";
import { dispatchRound } from "./dispatchRound.ts";
import type { PlannedPlacement, RunningGang, RunTimes, WaitingJob } from "./queueTypes.ts";
import { recordRun } from "./runTimes.ts";

type Step = "the gang is planned" | "the gang waits for its place" | "the planned start is reached";
type Fault =
    | "burst of small jobs with a large gang waiting"
    | "learned run times 10 times too short"
    | "learned run times 10 times too long";

const STEPS: Step[] = ["the gang is planned", "the gang waits for its place", "the planned start is reached"];
const SECOND_MS = 1_000;
const LIMIT_MS = 100 * SECOND_MS;
const LARGE: Shape = { span: "neighbouring-racks", accelerators: 12 };
const GUARANTEE: Shape = { span: "rack", accelerators: 6 };
/** Ratio of the learned run times to the actual ones. */
const LEARNED_TIME_FACTORS: Record<Fault, number> = {
    "burst of small jobs with a large gang waiting": 1,
    "learned run times 10 times too short": 0.1,
    "learned run times 10 times too long": 10,
};
/**
 * First second of the burst and the second before which it ends. In the first step the burst is over when the gang
 * arrives; otherwise it lasts for the whole test.
 */
const BURSTS: Record<Step, [number, number]> = {
    "the gang is planned": [0, 20],
    "the gang waits for its place": [21, 1_000],
    "the planned start is reached": [0, 1_000],
};
const GANG_ARRIVAL_S = 20;

const DOCUMENT: ConfigurationDocument = {
    clientAccounts: ["forecasts", "routes", "owner"].map(name => ({
        name,
        tokenDigests: [],
        guarantees: name === "owner" ? [GUARANTEE] : [],
        quota: { accelerators: 100, requestsPerSecond: 1, waiting: 1 },
        weight: 1,
    })),
    kinds: [],
    racks: ["a", "b", "c"].map(name => ({
        name,
        availabilityZone: name === "c" ? "san-fernando" : "arima",
        workers: 2,
        acceleratorsPerWorker: 4,
    })),
    weights: { completionTime: 1, fragmentation: 1 },
    whenPlatformUnreachable: "serve",
};

interface Run extends RunningGang {
    clientAccount: string;
    placement: Placement;
    endMs: number;
}

/** A simulated fleet with its queue; `tick` advances it by one second. */
interface Simulation {
    nowMs: number;
    workers: WorkerView[];
    waiting: WaitingJob[];
    running: Run[];
    runTimes: RunTimes;
    plan?: PlannedPlacement;
    /** Latest start of the gang that the bound allows, from the time when its placement is planned. */
    boundMs?: number;
    started: Map<string, number>;
}

const index = indexPlacement({ document: DOCUMENT, bindings: computeBindings(DOCUMENT).unsafeCoerce() });
const accountWeights = new Map(DOCUMENT.clientAccounts.map(({ name, weight }) => [name, weight]));

function newSimulation(fault: Fault): Simulation {
    const workers = DOCUMENT.racks.flatMap(({ name, availabilityZone }) =>
        [0, 1].map((slot): WorkerView => ({
            agent: `${name}-${slot}`,
            address: "",
            availabilityZone,
            rack: name,
            slot,
            accelerators: Array.from({ length: 4 }, () => ({ kind: "free" })),
            usable: true,
        })),
    );
    let runTimes: RunTimes = {};
    for (let run = 0; run < 10; run++) {
        runTimes = recordRun(runTimes, "small", runMs(run) * LEARNED_TIME_FACTORS[fault]);
    }
    return { nowMs: 0, workers, waiting: [], running: [], runTimes, started: new Map() };
}

/** Actual run times from 10% to 100% of the limit, in a fixed order. */
function runMs(number: number): number {
    return LIMIT_MS * (((number * 7) % 10) / 10 + 0.1);
}

function submit(simulation: Simulation, id: string, clientAccount: string, shape: Shape): void {
    const kind = shape === LARGE ? "large" : "small";
    const { nowMs: acceptedAtMs } = simulation;
    simulation.waiting.push({
        id,
        clientAccount,
        kind,
        priority: "normal",
        shape,
        acceptedAtMs,
        limitMs: LIMIT_MS,
    });
}

function submitBurst(simulation: Simulation, second: number): void {
    for (const number of [0, 1]) {
        submit(simulation, `small-${second}-${number}`, "routes", {
            span: "worker",
            accelerators: 1 + (second % 2),
        });
    }
}

function tick(simulation: Simulation): void {
    simulation.nowMs += SECOND_MS;
    stopRuns(simulation, run => run.endMs <= simulation.nowMs);
    const { starts, plan } = dispatchRound({ ...simulation, index, accountWeights });
    if (plan?.job === "gang" && simulation.boundMs === undefined) {
        simulation.boundMs = boundOf(simulation, plan);
    }
    simulation.plan = plan;
    for (const { job, placement } of starts) {
        const displaced = new Set(placement.displaced?.map(({ agent, index: at }) => `${agent}/${at}`));
        stopRuns(simulation, run => acceleratorKeys(run.placement).some(key => displaced.has(key)));
        simulation.waiting.splice(simulation.waiting.indexOf(job), 1);
        simulation.started.set(job.id, simulation.nowMs);
        const endMs = simulation.nowMs + runMs(simulation.started.size);
        const { members } = placement;
        simulation.running.push({ ...job, members, placement, startedAtMs: simulation.nowMs, endMs });
        setState(simulation, placement, job.clientAccount);
    }
}

/** The bound in the doc comment of `dispatchRound` plus one round. */
function boundOf(
    { running, workers }: Simulation,
    { accelerators, startMs, plannedAtMs }: PlannedPlacement,
): number {
    const agents = new Map(workers.map(({ rack, slot, agent }) => [`${rack}/${slot}`, agent]));
    const place = new Set(
        accelerators.map(({ rack, slot, index: at }) => `${agents.get(`${rack}/${slot}`)}/${at}`),
    );
    const ends = running
        .filter(run => acceleratorKeys(run.placement).some(key => place.has(key)))
        .map(run => run.endMs);
    return Math.max(2 * startMs - plannedAtMs, ...ends) + SECOND_MS;
}

function stopRuns(simulation: Simulation, isEnded: (run: Run) => boolean): void {
    for (const run of simulation.running.filter(isEnded)) {
        setState(simulation, run.placement, undefined);
    }
    simulation.running = simulation.running.filter(run => !isEnded(run));
}

function setState(
    { workers }: Simulation,
    { members, tenure }: Placement,
    clientAccount: string | undefined,
): void {
    for (const { agent, indexes } of members) {
        for (const at of indexes) {
            workers.find(worker => worker.agent === agent)!.accelerators[at] = clientAccount
                ? { kind: "used", clientAccount, reclaimable: tenure === "borrowed" }
                : { kind: "free" };
        }
    }
}

function acceleratorKeys({ members }: Placement): string[] {
    return members.flatMap(({ agent, indexes }) => indexes.map(at => `${agent}/${at}`));
}

function runSimulation(
    fault: Fault,
    step: Step,
    seconds: number,
    onTick: (simulation: Simulation) => void = () => {},
): Simulation {
    const simulation = newSimulation(fault);
    const [from, to] = BURSTS[step];
    for (let second = 0; second < seconds; second++) {
        if (second >= from && second < to) {
            submitBurst(simulation, second);
        }
        if (second === GANG_ARRIVAL_S) {
            submit(simulation, "gang", "forecasts", LARGE);
        }
        if (second === 0 && step === "the gang waits for its place") {
            submit(simulation, "first", "forecasts", { ...LARGE, accelerators: 16 });
        }
        tick(simulation);
        onTick(simulation);
    }
    return simulation;
}

describe("head-of-line rule: a small job passes a waiting gang only where it does not delay its place", () => {
    for (const step of STEPS) {
        describe(`step: ${step}`, () => {
            for (const fault of Object.keys(LEARNED_TIME_FACTORS) as Fault[]) {
                it(`fault: ${fault}: the gang starts within the stated bound`, () => {
                    const { started, boundMs } = runSimulation(fault, step, 300);
                    expect(boundMs, "the gang had to wait").not.to.equal(undefined);
                    expect(started.get("gang"), "start of the gang").to.be.at.most(boundMs!);
                });

                it(`fault: ${fault}: no small job waits for an accelerator that the gang cannot use`, () => {
                    runSimulation(fault, step, 100, ({ plan, workers, waiting }) => {
                        const inPlace = new Set(
                            plan?.accelerators.map(({ rack, slot, index: at }) => `${rack}-${slot}/${at}`),
                        );
                        const idle = workers.flatMap(({ agent, accelerators }) =>
                            accelerators.filter(
                                (state, at) => state.kind === "free" && !inPlace.has(`${agent}/${at}`),
                            ),
                        );
                        const small = waiting.filter(({ shape }) => shape.accelerators === 1);
                        expect(Math.min(idle.length, small.length)).to.equal(0);
                    });
                });
            }
        });
    }
});

describe("invariant 1: a client account can always reclaim its guaranteed shape of adjacent accelerators", () => {
    for (const step of STEPS) {
        describe(`step: ${step}`, () => {
            for (const fault of Object.keys(LEARNED_TIME_FACTORS) as Fault[]) {
                it(`fault: ${fault}: the owner's claim is placed in the next round`, () => {
                    const claimAt = step === "the planned start is reached" ? 60 : GANG_ARRIVAL_S + 5;
                    const { started } = runSimulation(fault, step, claimAt + 2, simulation => {
                        if (simulation.nowMs === claimAt * SECOND_MS) {
                            submit(simulation, "claim", "owner", GUARANTEE);
                        }
                    });
                    expect(started.get("claim")).to.equal((claimAt + 1) * SECOND_MS);
                });
            }
        });
    }
});
