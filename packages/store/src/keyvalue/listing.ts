import { Either, Left, Right } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Item, KeyValueStore } from "./keyValueTypes.ts";

/** All items below a prefix, with the revision from which a watch continues without a gap. */
export interface Listing {
    items: Item[];
    /** Revision of the first page; later changes may or may not be among the items. */
    revision: number;
}

/** Reads all pages below a prefix. */
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
        if (!page.hasMore || after === undefined) {
            return Right({ items, revision });
        }
    }
}
