import type { EmulatedDeployment } from "@tanagerdeck/standins/emulator/emulatorTypes";
import {
    queryJobState,
    cancelJob,
    submitJob,
    type CallerJob,
    type CallStatus,
} from "@tanagerdeck/standins/emulator/emulatedCaller";
import type { InvariantChecker } from "@tanagerdeck/standins/emulator/invariantChecker";
import type { ProgressCheck } from "./soakProgressCheck.ts";
import type { SoakRandom } from "./soakRandom.ts";
import type { JobGenerator } from "./soakWorkloads.ts";

/** A job and what its caller knows about it. `unclear` means that the job may have been accepted. */
export interface SoakJob {
    job: CallerJob;
    outcome: "open" | "accepted" | "refused" | "unclear";
    acceptedAtMs?: number;
    cancelSentAtMs?: number;
    cancelledAtMs?: number;
    state?: string | undefined;
}

/** The emulated callers of a soak: they submit, cancel and query jobs and check every reply. */
export interface SoakCallers {
    jobs: Map<string, SoakJob>;
    /** Submits a random job and retries until the outcome is clear or the attempts are used up; cancels some jobs. */
    submitRandomJob(): Promise<void>;
    /** Queries the state of a random accepted job and checks the reply. */
    queryRandomJob(): Promise<void>;
    /** Queries all accepted jobs and returns the ids of those that are not in a final state. */
    queryAllJobs(): Promise<string[]>;
    /** Queries all accepted jobs at every entry and reports those that are unknown or not answered. */
    queryAllEntries(): Promise<void>;
}

/** Time after its acceptance at which every entry must know a job. */
const VISIBILITY_BOUND_MS = 3_000;
const MAX_SUBMIT_ATTEMPTS = 5;
const FINAL_STATES = new Set(["completed", "failed", "cancelled"]);
const REFUSAL_STATUSES: ReadonlySet<CallStatus> = new Set<CallStatus>([429, 503]);

/** Creates the callers. `now` must be the clock that the checker uses. */
export function createSoakCallers(
    deployment: EmulatedDeployment,
    checker: InvariantChecker,
    progressCheck: ProgressCheck,
    randomJob: JobGenerator,
    random: SoakRandom,
    jobs: Map<string, SoakJob>,
    now: () => number,
): SoakCallers {
    const randomEntryAddress = (): string => random.pick(deployment.entries).callerProxy.address;

    async function submitUntilClear(soakJob: SoakJob): Promise<void> {
        let areAllRefused = true;
        for (let attempt = 0; attempt < MAX_SUBMIT_ATTEMPTS; attempt++) {
            const { status } = await submitJob(randomEntryAddress(), soakJob.job);
            if (status === 200) {
                soakJob.outcome = "accepted";
                soakJob.acceptedAtMs = now();
                return;
            }
            if (status === 401) {
                // The manifest loop replaced the account's key meanwhile.
                soakJob.outcome = areAllRefused ? "refused" : "unclear";
                return;
            }
            areAllRefused &&= REFUSAL_STATUSES.has(status);
            await new Promise(resolve => setTimeout(resolve, random.between(50, 500)));
        }
        soakJob.outcome = areAllRefused ? "refused" : "unclear";
    }

    async function cancel(soakJob: SoakJob): Promise<void> {
        soakJob.cancelSentAtMs = now();
        const { status } = await cancelJob(randomEntryAddress(), soakJob.job);
        if (status === 200) {
            soakJob.cancelledAtMs = now();
        }
    }

    async function queryState(
        soakJob: SoakJob,
        queriedEntry = random.pick(deployment.entries),
    ): Promise<CallStatus> {
        const askedAt = now();
        const { status, state } = await queryJobState(queriedEntry.callerProxy.address, soakJob.job);
        const { job } = soakJob;
        const mustBeKnown =
            soakJob.acceptedAtMs !== undefined && askedAt - soakJob.acceptedAtMs > VISIBILITY_BOUND_MS;
        if (status === 410 && mustBeKnown) {
            checker.reportViolation(
                "kept",
                `${job.id} is unknown ${askedAt - soakJob.acceptedAtMs!} ms after its acceptance`,
                askedAt,
            );
        }
        progressCheck.checkState(soakJob, state, askedAt);
        if (soakJob.state === "completed" && state !== undefined && state !== "completed") {
            checker.reportViolation(
                "true-state",
                `${job.id} was shown as completed and then as ${state} at ${queriedEntry.name}`,
                askedAt,
            );
        }
        soakJob.state = state ?? soakJob.state;
        return status;
    }

    function acceptedJobs(): SoakJob[] {
        return [...jobs.values()].filter(soakJob => soakJob.outcome === "accepted");
    }

    return {
        jobs,
        async submitRandomJob() {
            const id = (jobs.size + 1).toString(16).padStart(16, "0");
            const soakJob: SoakJob = { job: randomJob(id, deployment.accounts, random), outcome: "open" };
            jobs.set(soakJob.job.id, soakJob);
            const isCancelled = random.chance(0.1);
            await submitUntilClear(soakJob);
            if (isCancelled && soakJob.outcome === "accepted") {
                await cancel(soakJob);
            }
        },
        async queryRandomJob() {
            const candidates = acceptedJobs();
            if (candidates.length > 0) {
                await queryState(random.pick(candidates));
            }
        },
        async queryAllJobs() {
            const unfinished: string[] = [];
            for (const soakJob of acceptedJobs()) {
                if (soakJob.state === "completed") {
                    continue;
                }
                await queryState(soakJob);
                if (!FINAL_STATES.has(soakJob.state ?? "")) {
                    unfinished.push(soakJob.job.id);
                }
            }
            return unfinished;
        },
        async queryAllEntries() {
            for (const soakJob of acceptedJobs()) {
                const { id } = soakJob.job;
                for (const entry of deployment.entries) {
                    const status = await queryState(soakJob, entry);
                    if (status !== 200 && status !== 410) {
                        const detail = `the state of ${id} is answered with ${status} at ${entry.name}`;
                        checker.reportViolation("kept", `${detail} after the recovery`, now());
                    }
                }
            }
        },
    };
}
