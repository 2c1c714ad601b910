import { Either, Left, Right } from "purify-ts/Either";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Item, KeyValueStore } from "./keyValueTypes.ts";

/** All items below a prefix, with the revision from which a watch misses no change. */
export interface Listing {
    items: Item[];
    /** Revision of the first page; the items of later pages may already include newer changes. */
    revision: number;
}

/** Reads all items below a prefix, page by page. */
export async function listAll(store: KeyValueStore, prefix: string): Promise<Either<Failure, Listing>> {
    const items: Item[] = [];
    let revision: number | undefined;
    let after: string | undefined;
    for (;;) {
        const reply = await store.page(prefix, after, false);
        if (reply.isLeft()) {
            return Left(reply.extract() as Failure);
        }
        const page = reply.unsafeCoerce();
        items.push(...page.items);
        revision ??= page.revision;
        after = page.items.at(-1)?.key;
        if (!page.hasMore) {
            return Right({ items, revision });
        }
        if (after === undefined) {
            // Nothing tells where the next page begins, and a partial listing must not pass for a complete one.
            return Left(failure("not-run", "platform-unavailable", "an empty page is not the last"));
        }
    }
}
