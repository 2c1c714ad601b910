import { expect } from "chai";
import fc from "fast-check";
import {
    applyListing,
    applyRemoval,
    applyRequest,
    changesBetween,
    createEvacuationHistory,
    type EvacuationHistory,
} from "./evacuationHistory.ts";

describe("the evacuated zones", () => {
    let history: EvacuationHistory;

    beforeEach(() => {
        history = createEvacuationHistory();
    });

    function request(zone: string, revision: number): void {
        history = applyRequest(history, zone, revision);
    }

    function remove(zone: string, revision: number): void {
        history = applyRemoval(history, zone, revision);
    }

    function list(requests: Record<string, number>, revision: number): void {
        history = applyListing(history, new Map(Object.entries(requests)), revision);
    }

    function zones(): Record<string, number> {
        return Object.fromEntries(history.view.revisions);
    }

    it("follow requests and removals", () => {
        request("a", 5);
        request("b", 6);
        remove("a", 7);
        expect(zones()).to.deep.equal({ b: 6 });
    });

    it("are the same view after a removal of an unknown request", () => {
        const { view } = history;
        remove("a", 5);
        expect(history.view).to.equal(view);
    });

    describe("when news arrive in the wrong order", () => {
        // Guards against an old reply that ends an evacuation: tasks would start in the zone.
        it("keep a request although an older removal arrives later", () => {
            request("a", 9);
            remove("a", 7);
            expect(zones()).to.deep.equal({ a: 9 });
        });

        it("keep a request that an older listing lacks", () => {
            request("a", 9);
            list({}, 8);
            expect(zones()).to.deep.equal({ a: 9 });
        });

        // Guards against a zone that stays evacuated for good, as its removal is not announced again.
        it("do not return by a request that is older than its removal", () => {
            remove("a", 7);
            request("a", 5);
            expect(zones()).to.deep.equal({});
        });

        it("do not return by a listing that is older than their removal", () => {
            remove("a", 7);
            list({ a: 5 }, 6);
            expect(zones()).to.deep.equal({});
        });

        it("do not return by a request that a newer listing lacked", () => {
            list({}, 8);
            request("a", 5);
            expect(zones()).to.deep.equal({});
        });

        it("take up a request that is newer than the listing's first page", () => {
            list({ a: 9 }, 8);
            expect(zones()).to.deep.equal({ a: 9 });
        });
    });

    it("end when a listing that is not older lacks them", () => {
        request("a", 5);
        list({ b: 6 }, 6);
        expect(zones()).to.deep.equal({ b: 6 });
    });

    it("tell what has begun and ended, and nothing of a request that is written again", () => {
        request("a", 5);
        request("b", 6);
        const before = history.view;
        remove("a", 7);
        request("b", 8);
        request("c", 9);
        expect(changesBetween(before, history.view)).to.deep.equal([
            { zone: "c", revision: 9, isEvacuated: true },
            { zone: "a", revision: 5, isEvacuated: false },
        ]);
    });

    describe("with changes and listings in any order, some of them twice", () => {
        const ZONES = ["a", "b", "c"];

        interface Write {
            zone: string;
            isRequest: boolean;
        }

        /** Requests that exist after the first `count` writes; write number n has revision n + 1. */
        function requestsAfter(writes: Write[], count: number): Map<string, number> {
            const requests = new Map<string, number>();
            for (const [number, { zone, isRequest }] of writes.slice(0, count).entries()) {
                if (isRequest) {
                    requests.set(zone, number + 1);
                } else {
                    requests.delete(zone);
                }
            }
            return requests;
        }

        /** A listing with one zone on each page; `reads` holds the revisions at which the pages were read. */
        function listingOf(writes: Write[], reads: number[]): Map<string, number> {
            const requests = new Map<string, number>();
            for (const [page, zone] of ZONES.entries()) {
                const revision = requestsAfter(writes, reads[page]!).get(zone);
                if (revision !== undefined) {
                    requests.set(zone, revision);
                }
            }
            return requests;
        }

        const scenario = fc
            .array(fc.record({ zone: fc.constantFrom(...ZONES), isRequest: fc.boolean() }), { maxLength: 12 })
            .chain(writes =>
                fc.record({
                    writes: fc.constant(writes),
                    listings: fc.array(
                        fc
                            .array(fc.integer({ min: 0, max: writes.length }), { minLength: 3, maxLength: 3 })
                            .map(reads => reads.sort((left, right) => left - right)),
                        { maxLength: 4 },
                    ),
                    seeds: fc.array(fc.double({ min: 0, max: 1, noNaN: true }), {
                        minLength: 40,
                        maxLength: 40,
                    }),
                }),
            );

        it("are those of the store once all changes are known", () => {
            fc.assert(
                fc.property(scenario, ({ writes, listings, seeds }) => {
                    type Apply = (known: EvacuationHistory) => EvacuationHistory;
                    const changes: Apply[] = writes.map(({ zone, isRequest }, number) =>
                        isRequest
                            ? known => applyRequest(known, zone, number + 1)
                            : known => applyRemoval(known, zone, number + 1),
                    );
                    const lists: Apply[] = listings.map(
                        reads => known => applyListing(known, listingOf(writes, reads), reads[0]!),
                    );
                    const events = [...changes, ...lists, ...changes.slice(0, 4)];
                    const shuffled = events
                        .map((apply, number) => ({ apply, rank: seeds[number] ?? 0 }))
                        .sort((left, right) => left.rank - right.rank);
                    let known = createEvacuationHistory();
                    for (const { apply } of shuffled) {
                        known = apply(known);
                    }
                    const expected = requestsAfter(writes, writes.length);
                    expect([...known.view.revisions].sort()).to.deep.equal([...expected].sort());
                }),
                { numRuns: 500 },
            );
        });
    });
});
