import { Either } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { KeyValueStore } from "../keyvalue/keyValueTypes.ts";
import { listAll, type Listing } from "../keyvalue/listing.ts";
import { HANDOVER_PREFIX, PROGRESS_PARTS_PREFIX, ROOT_PREFIX } from "./storeKeys.ts";

/**
 * Reads all that a planner needs. The listings need not show one moment: progress and absences are only written by the
 * current leader.
 */
export async function listForPlanner(store: KeyValueStore): Promise<Either<Failure, Listing>> {
    const listings = await Promise.all(
        [ROOT_PREFIX, PROGRESS_PARTS_PREFIX, HANDOVER_PREFIX].map(prefix => listAll(store, prefix)),
    );
    return Either.sequence(listings).map(([root, ...others]) => ({
        items: [...root!.items, ...others.flatMap(({ items }) => items)],
        revision: root!.revision,
    }));
}
