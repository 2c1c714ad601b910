import type { EmulatedDeployment } from "@tanagerdeck/standins/emulator/emulatorTypes";
import {
    queryJobState,
    cancelJob,
    submitJob,
    type CallerJob,
    type CallStatus,
} from "@tanagerdeck/standins/emulator/emulatedCaller";
import { QUEUES } from "@tanagerdeck/standins/emulator/emulatedDeployment";
import type { InvariantChecker } from "@tanagerdeck/standins/emulator/invariantChecker";
import type { SoakRandom } from "./soakRandom.ts";

/** What a caller knows of its job. */
export interface SoakJob {
    job: CallerJob;
    outcome: "open" | "accepted" | "refused" | "unclear";
    acceptedAtMs?: number;
    cancelSentAtMs?: number;
    cancelledAtMs?: number;
    state?: string | undefined;
}

/** What the callers of a soak work with. */
export interface SoakCallers {
    jobs: Map<string, SoakJob>;
    /** Hands a random job in, and goes on with it until its outcome is clear or given up. */
    submitNext(): Promise<void>;
    /** Asks for the state of a random accepted job and judges the reply. */
    askAny(): Promise<void>;
    /** Asks for all jobs; returns the ids of accepted ones that are not in a final state. */
    askAll(): Promise<string[]>;
}

/** An accepted job is known everywhere after this time. */
const VISIBLE_MS = 3_000;
const ATTEMPTS = 5;
const FINAL_STATES = new Set(["completed", "failed", "cancelled"]);
const REFUSALS: ReadonlySet<CallStatus> = new Set<CallStatus>([429, 503]);

/** Builds the callers; `now` is the clock of the judge. */
export function createSoakCallers(
    deployment: EmulatedDeployment,
    judge: InvariantChecker,
    random: SoakRandom,
    jobs: Map<string, SoakJob>,
    now: () => number,
): SoakCallers {
    const anyAddress = (): string => random.pick(deployment.entries).callerProxy.address;

    function nextJob(): CallerJob {
        const id = (jobs.size + 1).toString(16).padStart(16, "0");
        const account = random.pick(deployment.accounts);
        const gang = random.chance(0.4) ? random.between(2, 4) : 1;
        return {
            id,
            queue: random.pick(QUEUES),
            account,
            tasks: gang > 1 ? gang : random.between(1, 6),
            script: {
                job: id,
                durationMs: random.between(200, 4_000),
                cpuMillis: random.between(1, 16) * 1_000,
                gpus: random.pick([1, 1, 2, 4, 8]),
                gang,
                failures: random.chance(0.1) ? random.between(1, 2) : 0,
            },
        };
    }

    async function handIn(entry: SoakJob): Promise<void> {
        let areAllRefused = true;
        for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
            const { status } = await submitJob(anyAddress(), entry.job);
            if (status === 200) {
                entry.outcome = "accepted";
                entry.acceptedAtMs = now();
                return;
            }
            if (status === 401) {
                // The key was replaced meanwhile.
                entry.outcome = areAllRefused ? "refused" : "unclear";
                return;
            }
            areAllRefused &&= REFUSALS.has(status);
            await new Promise(resolve => setTimeout(resolve, random.between(50, 500)));
        }
        entry.outcome = areAllRefused ? "refused" : "unclear";
    }

    async function cancel(entry: SoakJob): Promise<void> {
        entry.cancelSentAtMs = now();
        const { status } = await cancelJob(anyAddress(), entry.job);
        if (status === 200) {
            entry.cancelledAtMs = now();
        }
    }

    async function ask(entry: SoakJob): Promise<void> {
        const askedAt = now();
        const asked = random.pick(deployment.entries);
        const { status, state } = await queryJobState(asked.callerProxy.address, entry.job);
        const { job } = entry;
        const isOld = entry.acceptedAtMs !== undefined && askedAt - entry.acceptedAtMs > VISIBLE_MS;
        if (status === 410 && isOld) {
            judge.reportViolation(
                "kept",
                `${job.id} is unknown ${askedAt - entry.acceptedAtMs!} ms after its acceptance`,
                askedAt,
            );
        }
        if (state === "completed" && judge.doneTasks(job.id).size < (job.script.gang > 1 ? 1 : job.tasks)) {
            judge.reportViolation("true-state", `${job.id} is shown as completed`, askedAt);
        }
        if (state === "failed" && job.script.failures < 4) {
            judge.reportViolation("true-state", `${job.id} is shown as failed`, askedAt);
        }
        if (state === "cancelled" && entry.cancelSentAtMs === undefined) {
            judge.reportViolation("true-state", `${job.id} is shown as cancelled`, askedAt);
        }
        if (entry.state === "completed" && state !== undefined && state !== "completed") {
            judge.reportViolation(
                "true-state",
                `${job.id} was completed and is ${state} at ${asked.name}`,
                askedAt,
            );
        }
        entry.state = state ?? entry.state;
    }

    function accepted(): SoakJob[] {
        return [...jobs.values()].filter(entry => entry.outcome === "accepted");
    }

    return {
        jobs,
        async submitNext() {
            const entry: SoakJob = { job: nextJob(), outcome: "open" };
            jobs.set(entry.job.id, entry);
            const isCancelled = random.chance(0.1);
            await handIn(entry);
            if (isCancelled && entry.outcome === "accepted") {
                await cancel(entry);
            }
        },
        async askAny() {
            const open = accepted();
            if (open.length > 0) {
                await ask(random.pick(open));
            }
        },
        async askAll() {
            const waiting: string[] = [];
            for (const entry of accepted()) {
                if (entry.state === "completed") {
                    continue;
                }
                await ask(entry);
                if (!FINAL_STATES.has(entry.state ?? "")) {
                    waiting.push(entry.job.id);
                }
            }
            return waiting;
        },
    };
}
