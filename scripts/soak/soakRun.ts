import { startEmulatedDeployment } from "@tanagerdeck/standins/emulator/emulatedDeployment";
import { askState } from "@tanagerdeck/standins/emulator/emulatedCaller";
import type { EmulatedDeployment } from "@tanagerdeck/standins/emulator/emulatorTypes";
import {
    createPromiseJudge,
    type BrokenPromise,
    type PromiseJudge,
} from "@tanagerdeck/standins/emulator/promiseJudge";
import { createSoakCallers, type SoakCallers, type SoakJob } from "./soakCallers.ts";
import { FAULT_INJECTORS, type ActiveFault } from "./soakFaults.ts";
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
    broken: BrokenPromise[];
    output: string;
}

const MEAN_SUBMIT_INTERVAL_MS = 800;
/** Distance of the callers' seed from that of the faults. */
const CALLER_SEED_OFFSET = 1_000_003;
const QUERY_INTERVAL_MS = 100;
const MAX_MANIFEST_INTERVAL_MS = 3_000;
/** Pauses between the begins of two faults; they overlap. */
const FAULT_INTERVAL_MS = [200, 2_500] as const;
/** Time after the last fault in which every accepted job has to end. */
const JOBS_END_LIMIT_MS = 60_000;
/** Undisturbed time before and after which bounds hold. */
const FAULT_FREE_MARGIN_MS = 4_000;
const MANIFEST_BOUND_MS = 2_500;
/** From the acknowledgement of a cancellation until nothing runs: the bound and the time to stop. */
const CANCEL_BOUND_MS = 3_200;

interface Soak {
    deployment: EmulatedDeployment;
    checker: PromiseJudge;
    callers: SoakCallers;
    random: SoakRandom;
    callerRandom: SoakRandom;
    faults: string[];
    /** Time at which the last fault was undone; undefined while one is active. */
    faultFreeSince: number | undefined;
    activeFaults: Set<ActiveFault>;
    isOver: boolean;
    startedAt: number;
    progress: (line: string) => void;
}

/** Runs one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    // Each loop has choices of its own, so that the faults of a seed do not depend on the callers' timing.
    const random = createSoakRandom(options.seed);
    const callerRandom = createSoakRandom(options.seed + CALLER_SEED_OFFSET);
    const jobs = new Map<string, SoakJob>();
    const checker = createPromiseJudge(id => jobs.has(id));
    const deployment = await startEmulatedDeployment(
        {
            programs: options.programs,
            entries: options.entries,
            workers: options.workers,
            workersPerRack: 3,
            longestHoldMs: 6_000,
            stopMs: 200,
            gangMs: 3_000,
            heartbeatMs: 500,
        },
        event => checker.note(event),
    );
    const now = () => performance.now();
    const callers = createSoakCallers(deployment, checker, callerRandom, jobs, now);
    const soak: Soak = {
        deployment,
        checker,
        callers,
        random,
        callerRandom,
        faults: [],
        faultFreeSince: now(),
        activeFaults: new Set(),
        isOver: false,
        startedAt: now(),
        progress: options.progress ?? (() => undefined),
    };
    await pause(3_000);
    const loops = [submitLoop(soak), queryLoop(soak), manifestLoop(soak), faultLoop(soak)];
    await pause(options.seconds * 1_000);
    soak.isOver = true;
    await Promise.all(loops);
    await waitForJobsToEnd(soak);
    const result = resultOf(soak, options.seed);
    await deployment.stop();
    return result;
}

async function submitLoop(soak: Soak): Promise<void> {
    const submissions: Promise<void>[] = [];
    while (!soak.isOver) {
        submissions.push(soak.callers.submitRandomJob());
        await pause(soak.callerRandom.between(1, 2 * MEAN_SUBMIT_INTERVAL_MS));
    }
    await Promise.all(submissions);
}

async function queryLoop(soak: Soak): Promise<void> {
    while (!soak.isOver) {
        await soak.callers.queryRandomJob();
        checkCancelled(soak);
        await pause(QUERY_INTERVAL_MS);
    }
}

/** Replaces an account's key and checks that the new manifest comes into force and stays so. */
async function manifestLoop(soak: Soak): Promise<void> {
    const { deployment, callerRandom, checker } = soak;
    const account = deployment.accounts[1]!;
    /** Highest version that each life of an entry has shown to be in force. */
    const appliedVersions = new Map<number, number>();
    for (let version = 1; !soak.isOver; version++) {
        const [oldKey] = account.keys;
        account.keys = [`key-caroni-${version}`];
        const writtenAt = performance.now();
        deployment.writeManifest();
        await pause(callerRandom.between(500, MAX_MANIFEST_INTERVAL_MS));
        for (const { name, child, callerAddress } of deployment.entries) {
            const { pid } = child;
            const askedAt = performance.now();
            const probe = { id: "f".repeat(16), queue: "urgent", tasks: 1 };
            const script = { job: "", durationMs: 0, cpuMillis: 0, gpus: 0, gang: 1, failures: 0 };
            const newKeyReply = await askState(callerAddress, { ...probe, script, account });
            const oldKeyReply = await askState(callerAddress, {
                ...probe,
                script,
                account: { keys: [oldKey!] },
            });
            const isNewKeyInForce = newKeyReply.status === 410 && oldKeyReply.status === 401;
            const isNewKeyRejected = newKeyReply.status === 401;
            if (isNewKeyRejected && (appliedVersions.get(pid) ?? 0) >= version) {
                checker.accuse("manifest", `${name} went back from version ${version}`, askedAt);
            }
            if (
                isNewKeyRejected &&
                askedAt - writtenAt > MANIFEST_BOUND_MS &&
                wasFaultFree(soak, writtenAt - FAULT_FREE_MARGIN_MS)
            ) {
                checker.accuse("manifest", `${name} is behind version ${version}`, askedAt);
            }
            if (isNewKeyInForce) {
                appliedVersions.set(pid, version);
            }
        }
    }
}

async function faultLoop(soak: Soak): Promise<void> {
    const { random, deployment } = soak;
    const pendingReverts: Promise<void>[] = [];
    while (!soak.isOver) {
        await pause(random.between(...FAULT_INTERVAL_MS));
        const fault = await random.pick(FAULT_INJECTORS)(deployment, random);
        if (fault) {
            soak.activeFaults.add(fault);
            soak.faultFreeSince = undefined;
            const line = `${elapsedSeconds(soak)} ${fault.name} for ${fault.durationMs} ms`;
            soak.faults.push(line);
            soak.progress(line);
            pendingReverts.push(endFault(soak, fault));
        }
    }
    await Promise.all(pendingReverts);
    clearAllFaults(soak);
}

async function endFault(soak: Soak, fault: ActiveFault): Promise<void> {
    await pause(fault.durationMs);
    await fault.undo();
    soak.activeFaults.delete(fault);
    if (soak.activeFaults.size === 0) {
        soak.faultFreeSince = performance.now();
    }
}

/** Faults that overlapped may have undone each other in the wrong order. */
function clearAllFaults({ deployment }: Soak): void {
    deployment.store.faults.mode = "none";
    deployment.store.faults.pausesLeases = false;
    for (const { child, storeProxy } of [...deployment.entries, ...deployment.agents]) {
        child.signal("SIGCONT");
        storeProxy.faultFor = () => "none";
    }
    for (const { server, worker } of deployment.agents) {
        server.mood = "well";
        worker.setHung(false);
    }
}

function wasFaultFree(soak: Soak, sinceMs: number): boolean {
    return soak.faultFreeSince !== undefined && soak.faultFreeSince <= sinceMs;
}

function checkCancelled(soak: Soak): void {
    const now = performance.now();
    for (const { job, cancelledAtMs } of soak.callers.jobs.values()) {
        if (cancelledAtMs === undefined || now - cancelledAtMs < CANCEL_BOUND_MS) {
            continue;
        }
        const running = soak.checker.runningTasks(job.id);
        if (running.length > 0 && wasFaultFree(soak, now - FAULT_FREE_MARGIN_MS - CANCEL_BOUND_MS)) {
            soak.checker.accuse("cancelled", `${running.join(" ")} runs on`, now);
        }
    }
}

/** Waits until all accepted jobs have ended, and checks what was refused. */
async function waitForJobsToEnd(soak: Soak): Promise<void> {
    const { callers, checker } = soak;
    const limit = performance.now() + JOBS_END_LIMIT_MS;
    let unfinished = await callers.queryAllJobs();
    while (unfinished.length > 0 && performance.now() < limit) {
        await pause(500);
        unfinished = await callers.queryAllJobs();
    }
    for (const id of unfinished) {
        checker.accuse(
            "kept",
            `${id} does not end; its state is ${callers.jobs.get(id)?.state}`,
            performance.now(),
        );
    }
    for (const { job, outcome } of callers.jobs.values()) {
        if (outcome === "refused" && checker.hasStarted(job.id)) {
            checker.accuse("asked", `${job.id} was refused and runs`, performance.now());
        }
    }
    checkCancelled(soak);
}

function resultOf({ callers, checker, deployment, faults }: Soak, seed: number): SoakResult {
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
        ends: Object.fromEntries(checker.ends),
        faults,
        broken: checker.broken,
        output: deployment.output(),
    };
}

function elapsedSeconds({ startedAt }: Soak): string {
    return ((performance.now() - startedAt) / 1_000).toFixed(2);
}

function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
