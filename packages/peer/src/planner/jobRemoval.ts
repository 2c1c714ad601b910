import type { Either } from "purify-ts/Either";
import type { JobEntry } from "@tanagerdeck/decisions/plan/clusterState";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { CommitReply, Transaction } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { jobKey, LEADER_KEY } from "@tanagerdeck/store/replica/storeKeys";
import { MAX_TRANSACTION_ENTRIES, slotKey } from "./progressRecording.ts";

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
