import type { Either } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { KeyValueStore } from "../keyvalue/keyValueTypes.ts";
import { listAll, type Listing } from "../keyvalue/listing.ts";
import { PROGRESS_PARTS_PREFIX, ROOT_PREFIX } from "./storeKeys.ts";

/**
 * Reads all that a planner needs. The two listings need not show one moment: progress is only written by the current
 * leader.
 */
export async function listForPlanner(store: KeyValueStore): Promise<Either<Failure, Listing>> {
    const [root, parts] = await Promise.all([
        listAll(store, ROOT_PREFIX),
        listAll(store, PROGRESS_PARTS_PREFIX),
    ]);
    return root.chain(({ items, revision }) =>
        parts.map(listing => ({ items: [...items, ...listing.items], revision })),
    );
}
