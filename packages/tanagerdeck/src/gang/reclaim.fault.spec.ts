import { expect } from "chai";
import type { Place } from "@tanagerdeck/caller/job/jobTaskTypes";
import { firstFitPlacement } from "@tanagerdeck/decisions/placement/firstFitPlacement";
import type { Commitment } from "@tanagerdeck/decisions/gang/gangTypes";
import { PARTIAL_LIMIT_MS } from "@tanagerdeck/decisions/gang/gangTypes";
import { gangConfiguration, ONCE_KIND, REPEATABLE_KIND } from "@tanagerdeck/standins/gang/gangConfiguration";
import { startGangFixture, type GangFixture } from "@tanagerdeck/standins/gang/gangFixture";
import { doubleUses, hasComputed, longestPartialMs } from "@tanagerdeck/standins/gang/gangMeasures";

/** The stated time in which urgent work starts. */
const START_LIMIT_MS = 4_900;
const BOUND_WORKERS = 3;

const OWNER_JOB = { id: "urgent", clientAccount: "owner", kind: REPEATABLE_KIND, accelerators: 6, ms: 2_000 };
const BORROWER_JOB = { id: "long", clientAccount: "vans", kind: ONCE_KIND, accelerators: 6, ms: 15_000 };

const FAULTS = {
    none: () => undefined,
    "checkpoint never finishes": fixture => {
        fixture.agents[1]!.model.faults.checkpointMs = 600_000;
    },
    "worker silent for 3 s": fixture => {
        const { faults } = fixture.agents[1]!.model;
        faults.silent = true;
        fixture.clock.startTimer(3_000, () => (faults.silent = false));
    },
    "borrower's anchor killed": fixture => {
        // The borrower's gang spans workers 1 to 3 here, and worker 3 is not bound.
        fixture.agents[3]!.process.kill();
    },
    "borrower's anchor frozen": fixture => {
        fixture.agents[3]!.process.freeze();
        fixture.clock.startTimer(8_000, () => fixture.agents[3]!.process.resume());
    },
    "reclaim message lost": fixture => {
        loseStep(fixture, "reclaimGang");
    },
    "stop message lost once": fixture => {
        loseStep(fixture, "stop");
    },
    "platform down": fixture => {
        fixture.platform.mode = "down";
    },
} satisfies Record<string, (fixture: GangFixture) => void>;

/** Faults that need the borrower's anchor on a worker that the owner does not use. */
const FOREIGN_ANCHOR = new Set(["borrower's anchor killed", "borrower's anchor frozen"]);

describe("invariant 1: an account can always reclaim its guaranteed shape", () => {
    describe("step: reclaim", () => {
        for (const [fault, cause] of Object.entries(FAULTS)) {
            it(`fault: ${fault}: the owner's gang starts within ${START_LIMIT_MS} ms`, async () => {
                const result = await reclaim(cause, FOREIGN_ANCHOR.has(fault));
                expect(result.startMs).to.be.at.most(START_LIMIT_MS);
                expect(result.partialMs).to.be.at.most(PARTIAL_LIMIT_MS);
                expect(result.doubleUses).to.deep.equal([]);
            });
        }

        it("fault: worker silent for good: its accelerators are granted within the limit", async () => {
            const fixture = await startFixture(false);
            fixture.agents[1]!.model.faults.silent = true;
            const submittedAt = fixture.clock.now();
            let committedAt = Number.POSITIVE_INFINITY;
            fixture.network.choose = ({ step }) => {
                committedAt = step === "commit" ? Math.min(committedAt, fixture.clock.now()) : committedAt;
                return "none";
            };
            void fixture.submit(0, OWNER_JOB);
            await fixture.clock.advance(START_LIMIT_MS);
            expect(committedAt - submittedAt).to.be.at.most(START_LIMIT_MS);
            expect(openTasks(fixture)).to.equal(0);
            await fixture.stop();
        });
    });

    describe("step: reserve", () => {
        it("fault: a borrower asks at the same time: it never displaces the owner", async () => {
            const fixture = await startFixture(false);
            void fixture.submit(0, OWNER_JOB);
            void fixture.submit(1, { ...BORROWER_JOB, id: "second" });
            await fixture.clock.advance(START_LIMIT_MS);
            expect(hasComputed(models(fixture), "owner/urgent")).to.equal(true);
            const bound = models(fixture).slice(0, BOUND_WORKERS);
            expect(hasComputed(bound, "vans/second")).to.equal(false);
            await fixture.stop();
        });
    });

    describe("step: resume", () => {
        it("fault: none: the borrower goes on from its checkpoint and ends once", async () => {
            const fixture = await startFixture(false);
            void fixture.submit(0, OWNER_JOB);
            await fixture.clock.advance(40_000);
            const reply = fixture.status(0, BORROWER_JOB.id, BORROWER_JOB.clientAccount);
            await fixture.clock.advance(100);
            expect(await reply).to.have.nested.property("status.state", "finished");
            const computed = models(fixture)
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

async function reclaim(cause: (fixture: GangFixture) => void, foreignAnchor: boolean) {
    const fixture = await startFixture(foreignAnchor);
    const commitments: Commitment[] = fixtureCommitments.get(fixture) ?? [];
    const submittedAt = fixture.clock.now();
    cause(fixture);
    void fixture.submit(0, OWNER_JOB);
    await fixture.clock.advance(30_000);
    const starts = models(fixture)
        .slice(0, BOUND_WORKERS)
        .map(({ intervals }) => intervals.find(({ id }) => id.startsWith("owner/urgent#"))?.begin);
    const startMs = Math.max(...starts.map(begin => begin ?? Number.POSITIVE_INFINITY)) - submittedAt;
    const now = fixture.clock.now();
    const result = {
        startMs,
        partialMs: longestPartialMs(models(fixture), commitments, now),
        doubleUses: doubleUses(models(fixture), now),
    };
    await fixture.stop();
    return result;
}

const fixtureCommitments = new WeakMap<GangFixture, Commitment[]>();

/** A fixture in which the borrower runs on the owner's binding. */
async function startFixture(foreignAnchor: boolean): Promise<GangFixture> {
    const configuration = gangConfiguration(BOUND_WORKERS);
    const fixture = await startGangFixture({
        workers: 6,
        accelerators: 2,
        entries: 2,
        configuration,
        random: () => 0.5,
        place: ownerFirst(foreignAnchor),
    });
    const commitments: Commitment[] = [];
    fixtureCommitments.set(fixture, commitments);
    fixture.network.choose = ({ step, input }) => {
        if (step === "commit") {
            commitments.push(input as Commitment);
        }
        return "none";
    };
    void fixture.submit(0, BORROWER_JOB);
    await fixture.clock.advance(4_000);
    expect(hasComputed(models(fixture), "vans/long")).to.equal(true);
    return fixture;
}

/** Places the owner on its binding and others on the first free accelerators, or from worker 3 downwards. */
function ownerFirst(foreignAnchor: boolean): Place {
    return (demand, workers) => {
        if (demand.clientAccount !== "owner") {
            const order = foreignAnchor ? [...workers.slice(0, 4)].reverse() : workers;
            return firstFitPlacement(demand, order);
        }
        const members = workers.slice(0, BOUND_WORKERS).map(({ agent, address, rack, slot }) => {
            return { agent, address, rack, slot, indexes: [0, 1] };
        });
        return { members, tenure: "owned", reclaims: true };
    };
}

function loseStep(fixture: GangFixture, lost: string): void {
    const { choose } = fixture.network;
    let done = false;
    fixture.network.choose = label => {
        const result = choose(label);
        if (label.step !== lost || done) {
            return result;
        }
        done = true;
        return "request-lost";
    };
}

function models(fixture: GangFixture) {
    return fixture.agents.map(agent => agent.model);
}

function openTasks(fixture: GangFixture): number {
    return models(fixture)
        .flatMap(({ intervals }) => intervals)
        .filter(({ id, end }) => end === undefined && id.startsWith("vans/long#")).length;
}
