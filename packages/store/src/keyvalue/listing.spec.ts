import { expect } from "chai";
import { Right } from "purify-ts/Either";
import { createManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { createMemoryStore } from "@tanagerdeck/standins/keyvalue/memoryStore";
import type { Page } from "./keyValueTypes.ts";
import { listAll } from "./listing.ts";

describe("a listing", () => {
    function list(...pages: Page[]) {
        const store = createMemoryStore(createManualClock());
        return listAll({ ...store, page: async () => Right(pages.shift()!) }, "a/");
    }

    const item = (key: string) => ({ key, value: "v", revision: 1 });

    it("holds the items of all pages and the revision of the first", async () => {
        const result = await list(
            { items: [item("a/1")], hasMore: true, revision: 5 },
            { items: [item("a/2")], hasMore: false, revision: 6 },
        );
        expect(result.unsafeCoerce()).to.deep.equal({ items: [item("a/1"), item("a/2")], revision: 5 });
    });

    // Guards against a partial listing that passes for a complete one: what it lacks would count as removed.
    it("fails if an empty page is not the last", async () => {
        const result = await list(
            { items: [item("a/1")], hasMore: true, revision: 5 },
            { items: [], hasMore: true, revision: 6 },
        );
        expect(result.isLeft()).to.equal(true);
    });
});
