import type { Job } from "../job/jobTypes.ts";

/** Accelerators that the job's widest step needs. */
export function gpusNeeded(job: Job): number {
    let most = 0;
    for (const step of job.steps) {
        most = Math.max(most, step.count * step.resources.gpus);
    }
    return most;
}

/**
 * Ids of the jobs covered by guarantees: each client account's jobs of priority 0 in the order of acceptance, skipping
 * those that exceed what is left of the account's guaranteed accelerators.
 */
export function guaranteedJobs(
    openJobs: { job: Job; priority: number }[],
    guaranteedGpus: (clientAccount: string) => number,
): Set<string> {
    const urgent = openJobs.filter(open => open.priority === 0 && open.job.clientAccount !== undefined);
    urgent.sort((left, right) => left.job.acceptedAtMs - right.job.acceptedAtMs);
    const used = new Map<string, number>();
    const covered = new Set<string>();
    for (const { job } of urgent) {
        const account = job.clientAccount!;
        const total = (used.get(account) ?? 0) + gpusNeeded(job);
        if (total <= guaranteedGpus(account)) {
            used.set(account, total);
            covered.add(job.id);
        }
    }
    return covered;
}
