import type { Either } from "purify-ts/Either";
import type { JobEntry } from "@tanagerdeck/decisions/plan/clusterState";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { CommitReply, Transaction } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { jobKey, LEADER_KEY } from "@tanagerdeck/store/replica/storeKeys";
import { MAX_TRANSACTION_ENTRIES, slotKey } from "./progressRecording.ts";

/** Removes a job from the store, its definition last: a job that is left half removed can then be removed again. */
export async function removeStoredJob(
    { job, recording }: JobEntry,
    term: number,
    commit: (transaction: Transaction) => Promise<Either<Failure, CommitReply>>,
): Promise<void> {
    const { id } = job;
    const keys: string[] = [];
    for (const slot of recording.revisions.keys()) {
        if (slot !== "head") {
            keys.push(slotKey(id, slot));
        }
    }
    keys.push(jobKey(id, "progress"), jobKey(id, "cancel"), jobKey(id, "definition"));
    const expected = [{ key: LEADER_KEY, revision: term }];
    while (keys.length > 0) {
        const removes = keys.splice(0, MAX_TRANSACTION_ENTRIES - expected.length);
        const result = await commit({ expected, puts: [], removes });
        if (result.toMaybe().extract()?.kind !== "committed") {
            return;
        }
    }
}
