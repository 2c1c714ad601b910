import { expect } from "chai";
import fc from "fast-check";
import { MAX_PARTIAL_RUN_MS, MAX_RUN_LEASE_MS } from "./gangTypes.ts";
import { computeLeaseGrants } from "./leaseGrant.ts";

describe("lease grants", () => {
    describe("in a round with recent confirmations", () => {
        it("have the maximum length", () => {
            const grants = computeLeaseGrants(1_000, new Map([["a", { receivedAt: 1_004, staleMs: 400 }]]));
            expect(grants.get("a")).to.equal(MAX_RUN_LEASE_MS);
        });
    });

    describe("in any round", () => {
        it("end within the limit after the earliest time at which a part was last known to be alive", () => {
            const confirmation = fc.record({
                receivedAt: fc.integer({ min: 1_000, max: 2_000 }),
                staleMs: fc.integer({ min: 0, max: 1_000 }),
            });
            fc.assert(
                fc.property(fc.array(confirmation, { minLength: 1, maxLength: 8 }), confirmations => {
                    const round = new Map(confirmations.entries());
                    const lastConfirmedAt = 1_000 - Math.max(...confirmations.map(({ staleMs }) => staleMs));
                    for (const [member, grant] of computeLeaseGrants(1_000, round)) {
                        // The lease counts from the stamp, which is never later than the confirmation's arrival.
                        const end = round.get(member)!.receivedAt + grant;
                        expect(end - lastConfirmedAt).to.be.at.most(MAX_PARTIAL_RUN_MS);
                    }
                }),
                { seed: 20_260 },
            );
        });
    });
});
