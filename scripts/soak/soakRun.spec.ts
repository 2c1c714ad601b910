import { expect } from "chai";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { bundlePrograms } from "@tanagerdeck/standins/processes/programBundle";
import { runSoak } from "./soakRun.ts";
import { WORKLOADS } from "./soakWorkloads.ts";

/**
 * Runs two short soaks and guards against broken guarantees when faults overlap, such as a task that runs twice or an
 * accepted job that never ends.
 */
describe("the guarantees under random faults", function () {
    this.timeout(150_000);
    /** Long enough for at least six overlapping faults; the jobs may take another minute to end. */
    const SECONDS = 8;
    let programs: string;

    before(async () => {
        programs = mkdtempSync(join(tmpdir(), "tanagerdeck-soak-"));
        await bundlePrograms(programs);
    });

    after(() => rmSync(programs, { recursive: true, force: true }));

    for (const seed of [1, 125]) {
        it(`hold with seed ${seed}: tasks run once, accepted jobs end, refused jobs never run`, async () => {
            const result = await runSoak({
                seed,
                programs,
                seconds: SECONDS,
                entries: 3,
                workers: 6,
                workload: WORKLOADS.plain,
            });
            expect(result.broken, result.output).to.deep.equal([]);
            expect(result.accepted).to.be.greaterThan(0);
            expect(result.faults.length).to.be.greaterThan(0);
            expect(result.evacuations.length).to.be.greaterThan(0);
        });
    }
});
