import { expect } from "chai";
import { MAX_PARTIAL_RUN_MS } from "@tanagerdeck/decisions/gang/gangTypes";
import type { GangFixture } from "@tanagerdeck/standins/gang/gangFixture";
import { hasComputed } from "@tanagerdeck/standins/gang/gangMeasures";
import {
    BORROWER_JOB,
    BOUND_WORKERS,
    OWNER_JOB,
    RECLAIM_FAULTS,
    reclaimWithFault,
    startBorrowedFixture,
    type ReclaimFault,
} from "@tanagerdeck/standins/gang/reclaimScenario";

/** Specified time within which the urgent gang of a guarantee's owner starts. */
const START_LIMIT_MS = 4_900;

// Guards against an owner that cannot reclaim its guaranteed accelerators in time from a borrower, and a borrower that
// displaces the owner or loses its work.
describe("invariant 1: an account can always reclaim its guaranteed shape", () => {
    describe("step: reclaim", () => {
        for (const fault of Object.keys(RECLAIM_FAULTS) as ReclaimFault[]) {
            it(`fault: ${fault}: the owner's gang starts within ${START_LIMIT_MS} ms`, async () => {
                const result = await reclaimWithFault(fault);
                expect(result.startMs).to.be.at.most(START_LIMIT_MS);
                expect(result.partialMs).to.be.at.most(MAX_PARTIAL_RUN_MS);
                expect(result.doubleAllocations).to.deep.equal([]);
            });
        }

        it("fault: worker silent for good: its accelerators are granted within the limit", async () => {
            const { fixture } = await startBorrowedFixture();
            fixture.agents[1]!.model.faults.silent = true;
            const submittedAt = fixture.clock.now();
            let committedAt = Number.POSITIVE_INFINITY;
            fixture.network.chooseFault = ({ step }) => {
                committedAt = step === "commit" ? Math.min(committedAt, fixture.clock.now()) : committedAt;
                return "none";
            };
            void fixture.submit(0, OWNER_JOB);
            await fixture.clock.advance(START_LIMIT_MS);
            expect(committedAt - submittedAt).to.be.at.most(START_LIMIT_MS);
            expect(countRunningBorrowerParts(fixture)).to.equal(0);
            await fixture.stop();
        });
    });

    describe("step: reserve", () => {
        it("fault: a borrower asks at the same time: it never displaces the owner", async () => {
            const { fixture } = await startBorrowedFixture();
            void fixture.submit(0, OWNER_JOB);
            void fixture.submit(1, { ...BORROWER_JOB, id: "second" });
            await fixture.clock.advance(START_LIMIT_MS);
            expect(hasComputed(workerModels(fixture), "owner/urgent")).to.equal(true);
            const bound = workerModels(fixture).slice(0, BOUND_WORKERS);
            expect(hasComputed(bound, "vans/second")).to.equal(false);
            await fixture.stop();
        });
    });

    describe("step: resume", () => {
        it("fault: none: the borrower goes on from its checkpoint and ends once", async () => {
            const { fixture } = await startBorrowedFixture();
            void fixture.submit(0, OWNER_JOB);
            await fixture.clock.advance(40_000);
            const reply = fixture.status(0, BORROWER_JOB.id, BORROWER_JOB.clientAccount);
            await fixture.clock.advance(100);
            expect(await reply).to.have.nested.property("status.state", "finished");
            const computed = workerModels(fixture)
                .flatMap(({ intervals }) => intervals)
                .filter(({ id }) => id.startsWith("vans/long#"))
                .map(({ begin, end }) => end! - begin);
            expect(computed, "three parts in two attempts").to.have.length(6);
            const total = computed.reduce((sum, value) => sum + value, 0);
            expect(total / 3).to.be.within(BORROWER_JOB.ms, BORROWER_JOB.ms + 500);
            await fixture.stop();
        });
    });
});

function workerModels(fixture: GangFixture) {
    return fixture.agents.map(agent => agent.model);
}

function countRunningBorrowerParts(fixture: GangFixture): number {
    return workerModels(fixture)
        .flatMap(({ intervals }) => intervals)
        .filter(({ id, end }) => end === undefined && id.startsWith("vans/long#")).length;
}
