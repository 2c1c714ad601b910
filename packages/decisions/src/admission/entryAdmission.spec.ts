import { expect } from "chai";
import { admitAtEntry, type Admission } from "./entryAdmission.ts";
import { createTokenBucket, type TokenBucket } from "./tokenBucket.ts";

const QUOTA = { accelerators: 0, requestsPerSecond: 10, waiting: 5 };
const LIMITS = { seconds: 10, bytes: 100, accelerators: 0 };

describe("admission at the entry", () => {
    let bucket: TokenBucket;

    beforeEach(() => {
        bucket = createTokenBucket();
    });

    describe("within the rate of the client account", () => {
        it("starts a burst of one second's requests at once", () => {
            for (let index = 0; index < 10; index++) {
                expect(admit(0)).to.deep.equal({ kind: "admitted", startAt: 0 });
            }
        });
    });

    describe("beyond the rate", () => {
        beforeEach(() => {
            for (let index = 0; index < 10; index++) {
                admit(0);
            }
        });

        it("spaces the starts by the rate and refuses beyond the waiting bound", () => {
            const starts = Array.from({ length: 5 }, () => admit(0)).map(startOf);
            expect(starts).to.deep.equal([100, 200, 300, 400, 500]);
            expect(reasonOf(admit(0))).to.equal("limit-exceeded");
        });

        it("refuses what cannot start before its deadline", () => {
            expect(reasonOf(admit(0, { deadlineAt: 50 }))).to.equal("infeasible");
        });

        it("leaves another account's bucket alone, so that one burst does not delay others", () => {
            bucket = createTokenBucket();
            expect(startOf(admit(0))).to.equal(0);
        });
    });

    describe("with a body longer than the kind allows", () => {
        it("refuses and takes no token", () => {
            expect(reasonOf(admit(0, { bodyBytes: 101 }))).to.equal("too-large");
            expect(bucket).to.deep.equal(createTokenBucket());
        });
    });

    function admit(now: number, change: { deadlineAt?: number; bodyBytes?: number } = {}): Admission {
        const demand = { bodyBytes: 10, deadlineAt: 10_000, limits: LIMITS, quota: QUOTA, ...change };
        return admitAtEntry(bucket, demand, now);
    }
});

function startOf(admission: Admission): number | undefined {
    return admission.kind === "admitted" ? admission.startAt : undefined;
}

function reasonOf(admission: Admission): string | undefined {
    return admission.kind === "refused" ? admission.failure.reason : undefined;
}
