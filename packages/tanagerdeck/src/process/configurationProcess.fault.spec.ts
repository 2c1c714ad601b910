import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import type { ChildProcess } from "@tanagerdeck/standins/processes/childProcess";
import {
    createDocument,
    revisionOf,
    startDeployment,
    type Deployment,
} from "@tanagerdeck/standins/processes/processDeployment";

/** Specified time within which every process uses an accepted configuration. */
const IN_FORCE_LIMIT_MS = 17_000;
/** Longer than the run lease of a gang's parts (3 s), shorter than the registration lease of an entry (10 s). */
const FREEZE_MS = 6_000;

type FaultTarget = "entry" | "agent" | "platform";

// Guards against a process that keeps or returns to an older revision after a process was killed or frozen.
describe("invariant 8: an accepted configuration is in force everywhere and never reverts (processes)", function () {
    this.timeout(40_000);
    let deployment: Deployment;
    /** Highest revision that each process has reported in any test, by process id. */
    const highestRevisions = new Map<number, number>();
    let acceptedRevision = 0;

    before(async () => {
        deployment = await startDeployment();
        await applyNextRevision();
    });
    after(() => deployment.stop());

    describe("step: spread", () => {
        it("fault: none: in force at every process within 17 s", async () => {
            await applyNextRevision();
            await expectInForce(performance.now());
        });

        for (const target of ["entry", "agent"] as const) {
            it(`fault: ${target} killed and restarted: in force at every process within 17 s`, async () => {
                const child = findTarget(target);
                child.signal("SIGKILL");
                await child.ended;
                await applyNextRevision();
                const acceptedAt = performance.now();
                await deployment.restartEnded();
                await expectInForce(acceptedAt);
            });

            it(`fault: ${target} frozen past every lease: in force at every process within 17 s`, async () => {
                const child = findTarget(target);
                child.signal("SIGSTOP");
                await applyNextRevision();
                const acceptedAt = performance.now();
                await delay(FREEZE_MS);
                child.signal("SIGCONT");
                await expectInForce(acceptedAt);
            });
        }

        it("fault: platform frozen after the acceptance: in force at every process within 17 s", async () => {
            await applyNextRevision();
            const acceptedAt = performance.now();
            deployment.platform.signal("SIGSTOP");
            await delay(FREEZE_MS);
            deployment.platform.signal("SIGCONT");
            await expectInForce(acceptedAt);
        });
    });

    async function applyNextRevision(): Promise<void> {
        const response = await deployment.apply(createDocument(acceptedRevision + 1), acceptedRevision);
        expect(response.status, await response.text()).to.equal(200);
        acceptedRevision++;
    }

    function findTarget(target: FaultTarget): ChildProcess {
        const { entries, agents, platform } = deployment;
        // The first entry accepts the configurations, so the faults affect the second one.
        const targets: Record<FaultTarget, ChildProcess> = {
            entry: entries[1]!,
            agent: agents[0]!,
            platform,
        };
        return targets[target];
    }

    /** Polls all processes until they report the accepted revision. None may report an older one than before. */
    async function expectInForce(acceptedAt: number): Promise<void> {
        const { entries, agents } = deployment;
        const end = acceptedAt + IN_FORCE_LIMIT_MS;
        let outdated: string[];
        do {
            outdated = [];
            for (const child of [...entries, ...agents]) {
                const revision = await revisionOf(child);
                expect(revision, child.name).to.be.at.least(highestRevisions.get(child.pid) ?? 0);
                highestRevisions.set(child.pid, revision);
                if (revision < acceptedRevision) {
                    outdated.push(`${child.name} at ${revision}`);
                }
            }
            await delay(20);
        } while (outdated.length > 0 && performance.now() < end);
        expect(outdated, `behind revision ${acceptedRevision}`).to.deep.equal([]);
    }
});
