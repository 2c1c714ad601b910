import type { Either } from "purify-ts/Either";
import type { ClusterState, JobEntry } from "@tanagerdeck/decisions/plan/clusterState";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { CommitReply, Transaction } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import { jobKey, LEADER_KEY } from "@tanagerdeck/store/replica/storeKeys";
import { MAX_TRANSACTION_ENTRIES, slotKey } from "./progressRecording.ts";

/** Removes the jobs that ended longer than `keepMs` ago from the cluster state and returns them. */
export function takeExpiredJobs(cluster: ClusterState, clock: Clock, keepMs: number): JobEntry[] {
    const expired: JobEntry[] = [];
    const removeBeforeMs = clock.wall() - keepMs;
    for (const [id, jobEntry] of cluster.jobs) {
        const { endedAtMs } = jobEntry.progress;
        if (endedAtMs === undefined) {
            continue;
        }
        // The wall clock may jump, so the time for which this leader has known the end counts as well.
        jobEntry.endKnownAt ??= clock.now();
        if (
            endedAtMs > removeBeforeMs ||
            clock.now() - jobEntry.endKnownAt < keepMs ||
            jobEntry.runs.size > 0 ||
            jobEntry.isWriting
        ) {
            continue;
        }
        cluster.jobs.delete(id);
        expired.push(jobEntry);
    }
    return expired;
}

/**
 * Removes a job from the store. The parts of its progress go first; its state and its definition go together, as a job
 * whose definition is left alone would run again.
 */
export async function removeStoredJob(
    { job, recording }: JobEntry,
    term: number,
    commit: (transaction: Transaction) => Promise<Either<Failure, CommitReply>>,
): Promise<void> {
    const { id } = job;
    const parts: string[] = [];
    for (const slot of recording.revisions.keys()) {
        if (slot !== "head") {
            parts.push(slotKey(id, slot));
        }
    }
    const expected = [{ key: LEADER_KEY, revision: term }];
    while (parts.length > 0) {
        const removes = parts.splice(0, MAX_TRANSACTION_ENTRIES - expected.length);
        const result = await commit({ expected, puts: [], removes });
        if (result.toMaybe().extract()?.kind !== "committed") {
            return;
        }
    }
    const removes = [jobKey(id, "definition"), jobKey(id, "progress"), jobKey(id, "cancel")];
    await commit({ expected, puts: [], removes });
}
