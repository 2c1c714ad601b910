import { expect } from "chai";
import { gangConfiguration, REPEATABLE_KIND } from "@tanagerdeck/standins/gang/gangConfiguration";
import { startGangFixture, type GangFixture } from "@tanagerdeck/standins/gang/gangFixture";

const FAILURES_FOR_QUARANTINE = 5;
const FIRST_PROBE_MS = 10_000;

describe("worker health", () => {
    describe("when a worker fails every task", () => {
        let fixture: GangFixture;
        let count = 0;

        beforeEach(async () => {
            const configuration = gangConfiguration();
            fixture = await startGangFixture({
                workers: 6,
                accelerators: 2,
                entries: 1,
                configuration,
                random: () => 0.5,
            });
            fixture.agents[0]!.model.faults.failEverything = true;
            for (let job = 0; job < FAILURES_FOR_QUARANTINE; job++) {
                await runJob(7_000);
            }
        });

        afterEach(() => fixture.stop());

        function submit(accelerators = 2): void {
            const id = `job-${count++}`;
            void fixture.submit(0, {
                id,
                clientAccount: "vans",
                kind: REPEATABLE_KIND,
                accelerators,
                ms: 500,
            });
        }

        async function runJob(ms: number): Promise<void> {
            submit();
            await fixture.clock.advance(ms);
        }

        function taskCount(): number {
            return fixture.agents[0]!.model.intervals.length;
        }

        it("quarantines it until a probe is due, then sends one job, and all work once that succeeds", async () => {
            const before = taskCount();
            expect(before).to.equal(FAILURES_FOR_QUARANTINE);
            await runJob(1_000);
            expect(taskCount(), "in quarantine").to.equal(before);
            fixture.agents[0]!.model.faults.failEverything = false;
            await fixture.clock.advance(FIRST_PROBE_MS);
            submit(1);
            await fixture.clock.advance(300);
            submit(1);
            await fixture.clock.advance(7_000);
            expect(taskCount(), "probe").to.equal(before + 1);
            await runJob(7_000);
            expect(taskCount(), "after the probe").to.equal(before + 2);
        });
    });
});
