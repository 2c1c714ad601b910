import {
    CAPACITY,
    DEFAULT_ATTEMPTS,
    QUEUES,
    startEmulatedDeployment,
} from "@tanagerdeck/standins/emulator/emulatedDeployment";
import { queryJobState } from "@tanagerdeck/standins/emulator/emulatedCaller";
import type { EmulatedDeployment } from "@tanagerdeck/standins/emulator/emulatorTypes";
import {
    createInvariantChecker,
    type InvariantViolation,
    type InvariantChecker,
} from "@tanagerdeck/standins/emulator/invariantChecker";
import { createSoakCallers, type SoakCallers, type SoakJob } from "./soakCallers.ts";
import { runClosing } from "./soakClosing.ts";
import { runEvacuations } from "./soakEvacuations.ts";
import { runSoakCrowds } from "./soakCrowd.ts";
import { createFaultRunner, type FaultRunner } from "./soakFaultRunner.ts";
import { createProgressCheck, type CheckedWorker, type ProgressCheck } from "./soakProgressCheck.ts";
import { createSoakRandom, type SoakRandom } from "./soakRandom.ts";
import { startStarvationMonitor, type Starvation } from "./soakStarvation.ts";
import type { SoakWorkload } from "./soakWorkloads.ts";

/**
 * Options of a soak run, which submits random jobs and injects random faults for a set time: seed, deployment size and
 * duration. `programs` is the folder of the bundled programs.
 */
export interface SoakOptions {
    seed: number;
    programs: string;
    seconds: number;
    entries: number;
    workers: number;
    workload: SoakWorkload;
    /** Called with a description of each fault when it is injected. */
    progress?: (line: string) => void;
}

/** Job counts, injected faults and broken guarantees of a soak; `output` holds the logs of the processes. */
export interface SoakResult {
    seed: number;
    jobs: number;
    accepted: number;
    refused: number;
    unclear: number;
    completed: number;
    ends: Record<string, number>;
    checkedMs: ProgressCheck["checkedMs"];
    /** Processes that waited for a processor, the soak itself included. */
    starved: Starvation[];
    /** Faults in order of injection, each with its time since the start in seconds. */
    faults: string[];
    /** Evacuations in order of request, each with its time since the start in seconds. */
    evacuations: string[];
    broken: InvariantViolation[];
    output: string;
}

/** Added to the seed of the faults to get the seed of the callers. */
const CALLER_SEED_OFFSET = 1_000_003;
/** Added to the seed of the faults to get the seed of the evacuations. */
const EVACUATION_SEED_OFFSET = 2_000_003;
const QUERY_INTERVAL_MS = 100;
const MAX_MANIFEST_INTERVAL_MS = 3_000;
/** Time within which every accepted job must end, counted from the end of the loops, when all faults are undone. */
const JOBS_END_LIMIT_MS = 60_000;
/** Time from the last fault until every job must be known and placed in time at every entry. */
const RECOVERY_MS = 14_000;
const CHECK_INTERVAL_MS = 100;
const STATE_QUERY_INTERVAL_MS = 1_000;
/** Time without faults before a bounded time may begin, so that all processes have reconnected. */
const FAULT_FREE_MARGIN_MS = 4_000;
/** Time from the write of a manifest within which every entry must apply it. */
const MANIFEST_APPLY_LIMIT_MS = 2_500;
/**
 * Time from the acknowledgement of a cancellation within which all tasks of the job must have stopped. It includes the
 * time that a task takes to stop.
 */
const CANCEL_LIMIT_MS = 3_200;

interface Soak {
    deployment: EmulatedDeployment;
    checker: InvariantChecker;
    progressCheck: ProgressCheck;
    workload: SoakWorkload;
    callers: SoakCallers;
    callerRandom: SoakRandom;
    faultRunner: FaultRunner;
    evacuations: string[];
    /** Time at which the recovery from the last fault had to be complete. */
    recoveredSince: number | undefined;
    areLoopsEnding: boolean;
}

/** Runs one seed: starts a deployment, injects faults while callers submit jobs, then waits for the jobs to end. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    // Separate random sources, so that the faults of a seed do not depend on the timing of the callers.
    const random = createSoakRandom(options.seed);
    const callerRandom = createSoakRandom(options.seed + CALLER_SEED_OFFSET);
    const jobs = new Map<string, SoakJob>();
    const checker = createInvariantChecker(id => jobs.has(id));
    const { workload } = options;
    const now = () => performance.now();
    const { attempts, capacity = CAPACITY } = workload.deployment;
    const workers: CheckedWorker[] = [];
    const progressCheck = createProgressCheck({
        jobs,
        workers,
        attemptsOf: queue => attempts?.[QUEUES.findIndex(name => name === queue)] ?? DEFAULT_ATTEMPTS,
        clockOriginMs: Date.now() - now(),
        reportViolation: checker.reportViolation,
    });
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
            followsEvacuations: true,
            ...workload.deployment,
        },
        event => {
            checker.observe(event);
            progressCheck.observe(event);
        },
    );
    workers.push(...deployment.agents.map(({ name, labels }) => ({ name, labels, capacity })));
    const callers = createSoakCallers(
        deployment,
        checker,
        progressCheck,
        workload.randomJob,
        callerRandom,
        jobs,
        now,
    );
    const faultRunner = createFaultRunner(deployment, random, options.progress ?? (() => undefined));
    const soak: Soak = {
        deployment,
        checker,
        progressCheck,
        workload,
        callers,
        callerRandom,
        faultRunner,
        evacuations: [],
        recoveredSince: undefined,
        areLoopsEnding: false,
    };
    await pause(3_000);
    const monitor = startStarvationMonitor(() => [
        { name: "soak", pid: process.pid },
        ...[...deployment.entries, ...deployment.agents].map(({ name, child }) => ({ name, pid: child.pid })),
    ]);
    const checkTimer = setInterval(() => checkPlacements(soak), CHECK_INTERVAL_MS);
    const loops = [submitLoop(soak), queryLoop(soak), manifestLoop(soak), evacuationLoop(soak, options)];
    if (workload.hasCrowd) {
        const isEnding = () => soak.areLoopsEnding;
        loops.push(...runSoakCrowds({ deployment, checker, seed: options.seed, isEnding }));
    }
    const phases = workload.calmMs > 0 ? 2 : 1;
    await faultRunner.runRandomFaults((options.seconds * 1_000) / phases);
    if (workload.calmMs > 0) {
        await pause(workload.calmMs);
        await faultRunner.runRandomFaults((options.seconds * 1_000) / phases);
    }
    if (workload.endsWithPowerLoss) {
        await runClosing(deployment, random, faultRunner.runFault);
    }
    soak.areLoopsEnding = true;
    await Promise.all(loops);
    if (workload.progressMs > 0) {
        await checkRecovery(soak);
    } else {
        await waitForJobsToEnd(soak);
    }
    clearInterval(checkTimer);
    monitor.stop();
    checkRefusedJobs(soak);
    const result = resultOf(soak, options.seed, monitor.samples);
    await deployment.stop();
    return result;
}

async function submitLoop(soak: Soak): Promise<void> {
    const submissions: Promise<void>[] = [];
    while (!soak.areLoopsEnding) {
        submissions.push(soak.callers.submitRandomJob());
        await pause(soak.callerRandom.between(1, 2 * soak.workload.meanSubmitIntervalMs));
    }
    await Promise.all(submissions);
}

async function queryLoop(soak: Soak): Promise<void> {
    while (!soak.areLoopsEnding) {
        await soak.callers.queryRandomJob();
        checkCancelledJobsStopped(soak);
        await pause(QUERY_INTERVAL_MS);
    }
}

/** Replaces an account's key and checks that every entry applies the new manifest in time and never reverts. */
async function manifestLoop(soak: Soak): Promise<void> {
    const { deployment, callerRandom, checker } = soak;
    const account = deployment.accounts[1]!;
    /** Highest manifest version that each entry process, by pid, has been seen to apply. */
    const appliedVersions = new Map<number, number>();
    for (let version = 1; !soak.areLoopsEnding; version++) {
        const [oldKey] = account.keys;
        account.keys = [`key-caroni-${version}`];
        const writtenAt = performance.now();
        deployment.writeManifest();
        await pause(callerRandom.between(500, MAX_MANIFEST_INTERVAL_MS));
        for (const { name, child, callerAddress } of deployment.entries) {
            const { pid } = child;
            const askedAt = performance.now();
            // Queries a job that does not exist: 410 means that the key was accepted, 401 that it was rejected.
            const probe = { id: "f".repeat(16), queue: "urgent", tasks: 1 };
            // Required by the type, but not sent with a query.
            const script = { job: "", durationMs: 0, cpuMillis: 0, gpus: 0, gang: 1, failures: 0 };
            const newKeyReply = await queryJobState(callerAddress, { ...probe, script, account });
            const oldKeyReply = await queryJobState(callerAddress, {
                ...probe,
                script,
                account: { keys: [oldKey!] },
            });
            const isNewKeyInForce = newKeyReply.status === 410 && oldKeyReply.status === 401;
            const isNewKeyRejected = newKeyReply.status === 401;
            if (isNewKeyRejected && (appliedVersions.get(pid) ?? 0) >= version) {
                checker.reportViolation(
                    "manifest",
                    `${name} reverted from manifest version ${version}`,
                    askedAt,
                );
            }
            if (
                isNewKeyRejected &&
                askedAt - writtenAt > MANIFEST_APPLY_LIMIT_MS &&
                isFaultFreeSince(soak, writtenAt - FAULT_FREE_MARGIN_MS)
            ) {
                checker.reportViolation(
                    "manifest",
                    `${name} has not applied manifest version ${version} in time`,
                    askedAt,
                );
            }
            if (isNewKeyInForce) {
                appliedVersions.set(pid, version);
            }
        }
    }
}

function evacuationLoop(soak: Soak, { seed, progress }: SoakOptions): Promise<void> {
    return runEvacuations({
        deployment: soak.deployment,
        random: createSoakRandom(seed + EVACUATION_SEED_OFFSET),
        isEnding: () => soak.areLoopsEnding,
        note(line) {
            soak.evacuations.push(line);
            progress?.(line);
        },
    });
}

function isFaultFreeSince({ faultRunner }: Soak, sinceMs: number): boolean {
    const calmSince = faultRunner.calmSince();
    return calmSince !== undefined && calmSince <= sinceMs;
}

function checkCancelledJobsStopped(soak: Soak): void {
    const now = performance.now();
    for (const { job, cancelledAtMs } of soak.callers.jobs.values()) {
        if (cancelledAtMs === undefined || now - cancelledAtMs < CANCEL_LIMIT_MS) {
            continue;
        }
        const running = soak.checker.runningTasks(job.id);
        if (running.length > 0 && isFaultFreeSince(soak, now - FAULT_FREE_MARGIN_MS - CANCEL_LIMIT_MS)) {
            soak.checker.reportViolation(
                "cancelled",
                `${running.join(" ")} still runs after the cancellation`,
                now,
            );
        }
    }
}

function checkPlacements({ progressCheck, faultRunner, recoveredSince }: Soak): void {
    progressCheck.check(performance.now(), { calmSince: faultRunner.calmSince(), recoveredSince });
}

/** Checks after the recovery time that all jobs are known at every entry, and then their placements for a set time. */
async function checkRecovery(soak: Soak): Promise<void> {
    const { callers, workload } = soak;
    await pause(RECOVERY_MS);
    soak.recoveredSince = performance.now();
    await callers.queryAllEntries();
    while (performance.now() < soak.recoveredSince + workload.progressMs) {
        await pause(STATE_QUERY_INTERVAL_MS);
        await callers.queryAllJobs();
        checkCancelledJobsStopped(soak);
    }
    await callers.queryAllEntries();
}

/** Waits until all accepted jobs have ended. */
async function waitForJobsToEnd(soak: Soak): Promise<void> {
    const { callers, checker } = soak;
    const limit = performance.now() + JOBS_END_LIMIT_MS;
    let unfinished = await callers.queryAllJobs();
    while (unfinished.length > 0 && performance.now() < limit) {
        await pause(500);
        unfinished = await callers.queryAllJobs();
    }
    for (const id of unfinished) {
        checker.reportViolation(
            "kept",
            `${id} has not ended in time; its state is ${callers.jobs.get(id)?.state}`,
            performance.now(),
        );
    }
    checkCancelledJobsStopped(soak);
}

function checkRefusedJobs({ callers, checker }: Soak): void {
    for (const { job, outcome } of callers.jobs.values()) {
        if (outcome === "refused" && checker.hasStarted(job.id)) {
            checker.reportViolation(
                "asked",
                `${job.id} was refused but a task of it has started`,
                performance.now(),
            );
        }
    }
}

function resultOf(
    { callers, checker, progressCheck, deployment, faultRunner, evacuations }: Soak,
    seed: number,
    starved: Starvation[],
): SoakResult {
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
        checkedMs: progressCheck.checkedMs,
        starved,
        faults: faultRunner.faults,
        evacuations,
        broken: checker.violations,
        output: deployment.output(),
    };
}

function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
