import { expect } from "chai";
import { computeBindings } from "../binding/bindingSearch.ts";
import type { ConfigurationDocument, Shape } from "../document/documentTypes.ts";
import { indexPlacement } from "../placement/placementIndex.ts";
import type { Placement, WorkerView } from "../placement/placementTypes.ts";
import { dispatchRound } from "./dispatchRound.ts";
import type { PlannedPlace, RunningGang, RunTimes, WaitingJob } from "./queueTypes.ts";
import { recordRun } from "./runTimes.ts";

type Step = "the gang is planned" | "the gang waits for its place" | "the planned start is reached";
type Fault =
    | "burst of small jobs with a large gang waiting"
    | "learned run times 10 times too short"
    | "learned run times 10 times too long";

const STEPS: Step[] = ["the gang is planned", "the gang waits for its place", "the planned start is reached"];
const SECOND = 1_000;
const LIMIT_MS = 100 * SECOND;
const LARGE: Shape = { span: "neighbouring-racks", accelerators: 12 };
const GUARANTEE: Shape = { span: "rack", accelerators: 6 };
/** Factor by which the learned run times are off. */
const LEARNED: Record<Fault, number> = {
    "burst of small jobs with a large gang waiting": 1,
    "learned run times 10 times too short": 0.1,
    "learned run times 10 times too long": 10,
};
/** Seconds of the burst. In the first step it is over when the gang arrives; otherwise it does not end. */
const BURSTS: Record<Step, [number, number]> = {
    "the gang is planned": [0, 20],
    "the gang waits for its place": [21, 1_000],
    "the planned start is reached": [0, 1_000],
};
const GANG_ARRIVES_S = 20;

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

/** One fleet with its queue, advanced by `tick` once a second. */
interface Scene {
    nowMs: number;
    workers: WorkerView[];
    waiting: WaitingJob[];
    running: Run[];
    runTimes: RunTimes;
    plan?: PlannedPlace;
    /** Latest time by which the rule lets the gang start once its place is planned. */
    boundMs?: number;
    started: Map<string, number>;
}

const index = indexPlacement({ document: DOCUMENT, bindings: computeBindings(DOCUMENT).unsafeCoerce() });
const accountWeights = new Map(DOCUMENT.clientAccounts.map(({ name, weight }) => [name, weight]));

function newScene(fault: Fault): Scene {
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
        runTimes = recordRun(runTimes, "small", runMs(run) * LEARNED[fault]);
    }
    return { nowMs: 0, workers, waiting: [], running: [], runTimes, started: new Map() };
}

/** Actual run times from 10% to 100% of the limit, in a fixed order. */
function runMs(number: number): number {
    return LIMIT_MS * (((number * 7) % 10) / 10 + 0.1);
}

function submit(scene: Scene, id: string, clientAccount: string, shape: Shape): void {
    const kind = shape === LARGE ? "large" : "small";
    const { nowMs: acceptedAtMs } = scene;
    scene.waiting.push({
        id,
        clientAccount,
        kind,
        priority: "normal",
        shape,
        acceptedAtMs,
        limitMs: LIMIT_MS,
    });
}

function submitBurst(scene: Scene, second: number): void {
    for (const number of [0, 1]) {
        submit(scene, `small-${second}-${number}`, "routes", {
            span: "worker",
            accelerators: 1 + (second % 2),
        });
    }
}

function tick(scene: Scene): void {
    scene.nowMs += SECOND;
    stop(scene, run => run.endMs <= scene.nowMs);
    const { starts, plan } = dispatchRound({ ...scene, index, accountWeights });
    if (plan?.job === "gang" && scene.boundMs === undefined) {
        scene.boundMs = boundOf(scene, plan);
    }
    scene.plan = plan;
    for (const { job, placement } of starts) {
        const displaced = new Set(placement.displaced?.map(({ agent, index: at }) => `${agent}/${at}`));
        stop(scene, run => keysOf(run.placement).some(key => displaced.has(key)));
        scene.waiting.splice(scene.waiting.indexOf(job), 1);
        scene.started.set(job.id, scene.nowMs);
        const endMs = scene.nowMs + runMs(scene.started.size);
        const { members } = placement;
        scene.running.push({ ...job, members, placement, startedAtMs: scene.nowMs, endMs });
        setState(scene, placement, job.clientAccount);
    }
}

/** The bound that `dispatchRound` states, and one round. */
function boundOf({ running, workers }: Scene, { accelerators, startMs, plannedAtMs }: PlannedPlace): number {
    const agents = new Map(workers.map(({ rack, slot, agent }) => [`${rack}/${slot}`, agent]));
    const place = new Set(
        accelerators.map(({ rack, slot, index: at }) => `${agents.get(`${rack}/${slot}`)}/${at}`),
    );
    const ends = running
        .filter(run => keysOf(run.placement).some(key => place.has(key)))
        .map(run => run.endMs);
    return Math.max(2 * startMs - plannedAtMs, ...ends) + SECOND;
}

function stop(scene: Scene, isEnded: (run: Run) => boolean): void {
    for (const run of scene.running.filter(isEnded)) {
        setState(scene, run.placement, undefined);
    }
    scene.running = scene.running.filter(run => !isEnded(run));
}

function setState(
    { workers }: Scene,
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

function keysOf({ members }: Placement): string[] {
    return members.flatMap(({ agent, indexes }) => indexes.map(at => `${agent}/${at}`));
}

function runScene(
    fault: Fault,
    step: Step,
    seconds: number,
    onTick: (scene: Scene) => void = () => {},
): Scene {
    const scene = newScene(fault);
    const [from, to] = BURSTS[step];
    for (let second = 0; second < seconds; second++) {
        if (second >= from && second < to) {
            submitBurst(scene, second);
        }
        if (second === GANG_ARRIVES_S) {
            submit(scene, "gang", "forecasts", LARGE);
        }
        if (second === 0 && step === "the gang waits for its place") {
            submit(scene, "first", "forecasts", { ...LARGE, accelerators: 16 });
        }
        tick(scene);
        onTick(scene);
    }
    return scene;
}

describe("head-of-line rule: a small job passes a waiting gang only where it does not delay its place", () => {
    for (const step of STEPS) {
        describe(`step: ${step}`, () => {
            for (const fault of Object.keys(LEARNED) as Fault[]) {
                it(`fault: ${fault}: the gang starts within the stated bound`, () => {
                    const { started, boundMs } = runScene(fault, step, 300);
                    expect(boundMs, "the gang had to wait").not.to.equal(undefined);
                    expect(started.get("gang"), "start of the gang").to.be.at.most(boundMs!);
                });

                it(`fault: ${fault}: no small job waits for an accelerator that the gang cannot use`, () => {
                    runScene(fault, step, 100, ({ plan, workers, waiting }) => {
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
            for (const fault of Object.keys(LEARNED) as Fault[]) {
                it(`fault: ${fault}: the owner's claim is placed in the next round`, () => {
                    const claimAt = step === "the planned start is reached" ? 60 : GANG_ARRIVES_S + 5;
                    const { started } = runScene(fault, step, claimAt + 2, scene => {
                        if (scene.nowMs === claimAt * SECOND) {
                            submit(scene, "claim", "owner", GUARANTEE);
                        }
                    });
                    expect(started.get("claim")).to.equal((claimAt + 1) * SECOND);
                });
            }
        });
    }
});
