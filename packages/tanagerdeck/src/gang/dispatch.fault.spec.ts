import { expect } from "chai";
import { CHECKPOINT_GRACE_MS } from "@tanagerdeck/decisions/gang/gangTypes";
import { dispatchRound } from "@tanagerdeck/decisions/queue/dispatchRound";
import { gangConfiguration, REPEATABLE_KIND } from "@tanagerdeck/standins/gang/gangConfiguration";
import { startGangFixture, type GangFixture } from "@tanagerdeck/standins/gang/gangFixture";
import { doubleAllocations } from "@tanagerdeck/standins/gang/gangMeasures";
import { BOUND_WORKERS, OWNER_JOB } from "@tanagerdeck/standins/gang/reclaimScenario";

/** Specified time within which the urgent gang of a guarantee's owner starts. */
const START_LIMIT_MS = 4_900;
const ALL_ACCELERATORS = 12;
const KIND_LIMIT_MS = 20_000;
const LARGE_JOB = { id: "large", clientAccount: "vans", kind: REPEATABLE_KIND, ms: 1_000 };
const SMALL_JOB_INTERVAL_MS = 200;

// Guards against gangs that wait too long under the dispatch policy of entries: an owner behind a borrower, and a
// large gang behind a stream of small jobs; also against runs that exceed the limit of their kind.
describe("invariant 1: an account can always reclaim its guaranteed shape, with the dispatch policy of entries", () => {
    let fixture: GangFixture;

    afterEach(() => fixture.stop());

    describe("step: dispatch", () => {
        it(`fault: a borrower uses all accelerators: the owner's gang starts within ${START_LIMIT_MS} ms`, async () => {
            fixture = await startFixture(BOUND_WORKERS);
            void fixture.submit(0, { ...LARGE_JOB, accelerators: ALL_ACCELERATORS, ms: 15_000 });
            await fixture.clock.advance(4_000);
            expect(gangStartTime("vans/large"), "borrower").to.be.at.most(fixture.clock.now());
            const submittedAt = fixture.clock.now();
            void fixture.submit(0, OWNER_JOB);
            await fixture.clock.advance(8_000);
            expect(gangStartTime("owner/urgent") - submittedAt).to.be.at.most(START_LIMIT_MS);
            expect(doubleAllocations(workerModels(), fixture.clock.now())).to.deep.equal([]);
        });

        it("fault: a burst of small jobs: a large gang starts within the bound of its planned place", async () => {
            fixture = await startFixture(0);
            let count = 0;
            async function submitSmall(durationMs: number): Promise<void> {
                const until = fixture.clock.now() + durationMs;
                while (fixture.clock.now() < until) {
                    const small = { ...LARGE_JOB, id: `small-${count++}`, accelerators: 2, ms: 3_000 };
                    void fixture.submit(0, small);
                    await fixture.clock.advance(SMALL_JOB_INTERVAL_MS);
                }
            }
            await submitSmall(4_000);
            const submittedAt = fixture.clock.now();
            void fixture.submit(0, { ...LARGE_JOB, accelerators: ALL_ACCELERATORS });
            // The planned start is at most one run limit ahead, and the gang starts after at most twice that limit.
            await submitSmall(2 * KIND_LIMIT_MS + START_LIMIT_MS);
            expect(gangStartTime("vans/large") - submittedAt).to.be.at.most(
                2 * KIND_LIMIT_MS + START_LIMIT_MS,
            );
        });
    });

    describe("step: run", () => {
        it("fault: a run exceeds the limit of its kind: it is stopped there", async () => {
            fixture = await startFixture(0);
            void fixture.submit(0, { ...LARGE_JOB, accelerators: 4, ms: 10 * KIND_LIMIT_MS });
            await fixture.clock.advance(KIND_LIMIT_MS + 10_000);
            const reply = fixture.status(0, "large", "vans");
            await fixture.clock.advance(100);
            expect(await reply).to.have.nested.property("status.end.reason", "deadline-exceeded");
            const runs = workerModels().flatMap(({ intervals }) => intervals);
            expect(runs).to.have.length(2);
            for (const { begin, end } of runs) {
                expect(end! - begin).to.be.at.most(KIND_LIMIT_MS + CHECKPOINT_GRACE_MS);
            }
        });
    });

    function startFixture(boundWorkers: number): Promise<GangFixture> {
        return startGangFixture({
            workers: 6,
            accelerators: 2,
            entries: 2,
            configuration: gangConfiguration(boundWorkers),
            random: () => 0.5,
            dispatch: dispatchRound,
        });
    }

    function workerModels() {
        return fixture.agents.map(({ model }) => model);
    }

    /** Returns the latest time at which a part of the gang began to compute; infinite if none has begun. */
    function gangStartTime(gang: string): number {
        const starts = workerModels().flatMap(({ intervals }) =>
            intervals.filter(({ id }) => id.startsWith(`${gang}#`)).map(({ begin }) => begin),
        );
        return starts.length > 0 ? Math.max(...starts) : Number.POSITIVE_INFINITY;
    }
});
