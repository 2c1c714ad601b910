import { startEmulatedDeployment } from "@tanagerdeck/standins/emulator/emulatedDeployment";
import { queryJobState } from "@tanagerdeck/standins/emulator/emulatedCaller";
import type { EmulatedDeployment } from "@tanagerdeck/standins/emulator/emulatorTypes";
import {
    createInvariantChecker,
    type InvariantViolation,
    type InvariantChecker,
} from "@tanagerdeck/standins/emulator/invariantChecker";
import { createSoakCallers, type SoakCallers, type SoakJob } from "./soakCallers.ts";
import { FAULT_MAKERS, type ActiveFault } from "./soakFaults.ts";
import { createSoakRandom, type SoakRandom } from "./soakRandom.ts";

/** Size and length of a soak. */
export interface SoakOptions {
    seed: number;
    programs: string;
    seconds: number;
    entries: number;
    workers: number;
    /** Called with each fault as it begins. */
    progress?: (line: string) => void;
}

/** What a soak found. */
export interface SoakResult {
    seed: number;
    jobs: number;
    accepted: number;
    refused: number;
    unclear: number;
    completed: number;
    ends: Record<string, number>;
    /** Faults in their order, with their times in seconds. */
    faults: string[];
    broken: InvariantViolation[];
    output: string;
}

const SUBMIT_EVERY_MS = 800;
/** Distance of the callers' seed from that of the faults. */
const CALLER_SEED = 1_000_003;
const ASK_EVERY_MS = 100;
const MANIFEST_EVERY_MS = 3_000;
/** Pauses between the begins of two faults; they overlap. */
const FAULT_PAUSE_MS = [200, 2_500] as const;
/** Time after the last fault in which every accepted job has to end. */
const SETTLE_LIMIT_MS = 60_000;
/** Undisturbed time before and after which bounds hold. */
const CONTACT_MS = 4_000;
const MANIFEST_BOUND_MS = 2_500;
/** From the acknowledgement of a cancellation until nothing runs: the bound and the time to stop. */
const CANCEL_BOUND_MS = 3_200;

interface Soak {
    deployment: EmulatedDeployment;
    judge: InvariantChecker;
    callers: SoakCallers;
    random: SoakRandom;
    callerRandom: SoakRandom;
    faults: string[];
    /** Time at which the last fault was undone; undefined while one is active. */
    calmSince: number | undefined;
    active: Set<ActiveFault>;
    isOver: boolean;
    startedAt: number;
    progress: (line: string) => void;
}

/** Runs one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    // Each loop has choices of its own, so that the faults of a seed do not depend on the callers' timing.
    const random = createSoakRandom(options.seed);
    const callerRandom = createSoakRandom(options.seed + CALLER_SEED);
    const jobs = new Map<string, SoakJob>();
    const judge = createInvariantChecker(id => jobs.has(id));
    const deployment = await startEmulatedDeployment(
        {
            programs: options.programs,
            entries: options.entries,
            workers: options.workers,
            workersPerRack: 3,
            longestHoldMs: 6_000,
            stopDurationMs: 200,
            gangTimeoutMs: 3_000,
            heartbeatIntervalMs: 500,
        },
        event => judge.observe(event),
    );
    const now = () => performance.now();
    const callers = createSoakCallers(deployment, judge, callerRandom, jobs, now);
    const soak: Soak = {
        deployment,
        judge,
        callers,
        random,
        callerRandom,
        faults: [],
        calmSince: now(),
        active: new Set(),
        isOver: false,
        startedAt: now(),
        progress: options.progress ?? (() => undefined),
    };
    await pause(3_000);
    const loops = [submitLoop(soak), askLoop(soak), manifestLoop(soak), faultLoop(soak)];
    await pause(options.seconds * 1_000);
    soak.isOver = true;
    await Promise.all(loops);
    await settle(soak);
    const result = resultOf(soak, options.seed);
    await deployment.stop();
    return result;
}

async function submitLoop(soak: Soak): Promise<void> {
    const submissions: Promise<void>[] = [];
    while (!soak.isOver) {
        submissions.push(soak.callers.submitNext());
        await pause(soak.callerRandom.between(1, 2 * SUBMIT_EVERY_MS));
    }
    await Promise.all(submissions);
}

async function askLoop(soak: Soak): Promise<void> {
    while (!soak.isOver) {
        await soak.callers.askAny();
        checkCancelled(soak);
        await pause(ASK_EVERY_MS);
    }
}

/** Replaces an account's key and checks that the new manifest comes into force and stays so. */
async function manifestLoop(soak: Soak): Promise<void> {
    const { deployment, callerRandom, judge } = soak;
    const account = deployment.accounts[1]!;
    /** Highest version that each life of an entry has shown to be in force. */
    const shown = new Map<number, number>();
    for (let version = 1; !soak.isOver; version++) {
        const [oldKey] = account.keys;
        account.keys = [`key-caroni-${version}`];
        const writtenAt = performance.now();
        deployment.writeManifest();
        await pause(callerRandom.between(500, MANIFEST_EVERY_MS));
        for (const { name, child, callerAddress } of deployment.entries) {
            const { pid } = child;
            const askedAt = performance.now();
            const probe = { id: "f".repeat(16), queue: "urgent", tasks: 1 };
            const script = { job: "", durationMs: 0, cpuMillis: 0, gpus: 0, gang: 1, failures: 0 };
            const fresh = await queryJobState(callerAddress, { ...probe, script, account });
            const old = await queryJobState(callerAddress, {
                ...probe,
                script,
                account: { keys: [oldKey!] },
            });
            const isFresh = fresh.status === 410 && old.status === 401;
            const isOld = fresh.status === 401;
            if (isOld && (shown.get(pid) ?? 0) >= version) {
                judge.reportViolation("manifest", `${name} went back from version ${version}`, askedAt);
            }
            if (isOld && askedAt - writtenAt > MANIFEST_BOUND_MS && wasCalm(soak, writtenAt - CONTACT_MS)) {
                judge.reportViolation("manifest", `${name} is behind version ${version}`, askedAt);
            }
            if (isFresh) {
                shown.set(pid, version);
            }
        }
    }
}

async function faultLoop(soak: Soak): Promise<void> {
    const { random, deployment } = soak;
    const endings: Promise<void>[] = [];
    while (!soak.isOver) {
        await pause(random.between(...FAULT_PAUSE_MS));
        const fault = await random.pick(FAULT_MAKERS)(deployment, random);
        if (fault) {
            soak.active.add(fault);
            soak.calmSince = undefined;
            const line = `${elapsed(soak)} ${fault.name} for ${fault.durationMs} ms`;
            soak.faults.push(line);
            soak.progress(line);
            endings.push(endFault(soak, fault));
        }
    }
    await Promise.all(endings);
    healAll(soak);
}

async function endFault(soak: Soak, fault: ActiveFault): Promise<void> {
    await pause(fault.durationMs);
    await fault.undo();
    soak.active.delete(fault);
    if (soak.active.size === 0) {
        soak.calmSince = performance.now();
    }
}

/** Faults that overlapped may have undone each other in the wrong order. */
function healAll({ deployment }: Soak): void {
    deployment.store.faults.mode = "none";
    deployment.store.faults.pausesLeases = false;
    for (const { child, storeProxy } of [...deployment.entries, ...deployment.agents]) {
        child.signal("SIGCONT");
        storeProxy.faultFor = () => "none";
    }
    for (const { server, worker } of deployment.agents) {
        server.behaviour = "normal";
        worker.setHung(false);
    }
}

function wasCalm(soak: Soak, sinceMs: number): boolean {
    return soak.calmSince !== undefined && soak.calmSince <= sinceMs;
}

function checkCancelled(soak: Soak): void {
    const now = performance.now();
    for (const { job, cancelledAtMs } of soak.callers.jobs.values()) {
        if (cancelledAtMs === undefined || now - cancelledAtMs < CANCEL_BOUND_MS) {
            continue;
        }
        const running = soak.judge.runningTasks(job.id);
        if (running.length > 0 && wasCalm(soak, now - CONTACT_MS - CANCEL_BOUND_MS)) {
            soak.judge.reportViolation("cancelled", `${running.join(" ")} runs on`, now);
        }
    }
}

/** Waits until all accepted jobs have ended, and checks what was refused. */
async function settle(soak: Soak): Promise<void> {
    const { callers, judge } = soak;
    const limit = performance.now() + SETTLE_LIMIT_MS;
    let waiting = await callers.askAll();
    while (waiting.length > 0 && performance.now() < limit) {
        await pause(500);
        waiting = await callers.askAll();
    }
    for (const id of waiting) {
        judge.reportViolation(
            "kept",
            `${id} does not end; its state is ${callers.jobs.get(id)?.state}`,
            performance.now(),
        );
    }
    for (const { job, outcome } of callers.jobs.values()) {
        if (outcome === "refused" && judge.hasStarted(job.id)) {
            judge.reportViolation("asked", `${job.id} was refused and runs`, performance.now());
        }
    }
    checkCancelled(soak);
}

function resultOf({ callers, judge, deployment, faults }: Soak, seed: number): SoakResult {
    const counts = { open: 0, accepted: 0, refused: 0, unclear: 0 };
    let completed = 0;
    for (const { outcome, state } of callers.jobs.values()) {
        counts[outcome] += 1;
        completed += state === "completed" ? 1 : 0;
    }
    return {
        seed,
        jobs: callers.jobs.size,
        accepted: counts.accepted,
        refused: counts.refused,
        unclear: counts.unclear,
        completed,
        ends: Object.fromEntries(judge.ends),
        faults,
        broken: judge.violations,
        output: deployment.output(),
    };
}

function elapsed({ startedAt }: Soak): string {
    return ((performance.now() - startedAt) / 1_000).toFixed(2);
}

function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
