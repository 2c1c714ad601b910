import { expect } from "chai";
import type { JobReply } from "@tanagerdeck/caller/job/jobTaskTypes";
import type { JobStatus } from "@tanagerdeck/decisions/gang/jobTypes";
import type { CommitRequest } from "@tanagerdeck/decisions/gang/gangTypes";
import { startGangFixture, type GangFixture } from "@tanagerdeck/standins/gang/gangFixture";
import { gangConfiguration } from "@tanagerdeck/standins/gang/gangConfiguration";
import { doubleAllocations, longestPartialRunMs } from "@tanagerdeck/standins/gang/gangMeasures";

const JOB = { id: "job", clientAccount: "vans", kind: "routes", accelerators: 6, ms: 3_000 };

// Guards against a gang that starts in parts, runs twice or keeps its accelerators when no fault occurs.
describe("gang jobs", () => {
    let fixture: GangFixture;
    const commitRequests: CommitRequest[] = [];

    beforeEach(async () => {
        fixture = await startGangFixture({
            workers: 4,
            accelerators: 2,
            entries: 2,
            configuration: gangConfiguration(),
            random: () => 0.5,
        });
        fixture.network.chooseFault = ({ step, input }) => {
            if (step === "commit") {
                commitRequests.push(input as CommitRequest);
            }
            return "none";
        };
    });

    afterEach(() => fixture.stop());

    describe("without faults", () => {
        it("runs all parts at the same time, once, and reports the verdict ran", async () => {
            const accepted = fixture.submit(0, JOB);
            await fixture.clock.advance(8_000);
            expect(expectStatus(await accepted)).to.deep.include({ state: "queued", recorded: true });
            const status = await fetchStatus(0, "job");
            expect(status).to.deep.include({ state: "finished", recorded: true });
            expect(status.end?.verdict).to.equal("ran");
            const models = fixture.agents.map(agent => agent.model);
            expect(models.map(model => model.intervals.length)).to.deep.equal([1, 1, 1, 0]);
            expect(longestPartialRunMs(models, commitRequests, fixture.clock.now())).to.be.below(50);
            expect(doubleAllocations(models, fixture.clock.now())).to.deep.equal([]);
        });

        it("frees the accelerators for the next job", async () => {
            for (const id of ["a", "b", "c"]) {
                void fixture.submit(0, { ...JOB, id, ms: 1_000 });
            }
            await fixture.clock.advance(20_000);
            for (const id of ["a", "b", "c"]) {
                expect((await fetchStatus(0, id)).state).to.equal("finished");
            }
            expect(
                doubleAllocations(
                    fixture.agents.map(agent => agent.model),
                    fixture.clock.now(),
                ),
            ).to.deep.equal([]);
        });
    });

    async function fetchStatus(entry: number, id: string): Promise<JobStatus> {
        const reply = fixture.status(entry, id, "vans");
        await fixture.clock.advance(10);
        return expectStatus(await reply);
    }
});

function expectStatus(reply: JobReply): JobStatus {
    expect(reply.kind).to.equal("status");
    return (reply as { status: JobStatus }).status;
}
