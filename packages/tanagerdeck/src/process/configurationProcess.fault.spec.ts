import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import type { ChildProcess } from "@tanagerdeck/standins/processes/childProcess";
import {
    createDocument,
    revisionOf,
    startDeployment,
    type Deployment,
} from "@tanagerdeck/standins/processes/processDeployment";

/** Stated bound from acceptance to force everywhere. */
const IN_FORCE_LIMIT_MS = 17_000;
/** Longer than every lease. */
const FREEZE_MS = 6_000;

type Victim = "entry" | "agent" | "platform";

describe("invariant 8: an accepted configuration is in force everywhere and never reverts (processes)", function () {
    this.timeout(40_000);
    let deployment: Deployment;
    /** Highest revision that each process has reported, by process id, over all cases. */
    const highest = new Map<number, number>();
    let accepted = 0;

    before(async () => {
        deployment = await startDeployment();
        await accept();
    });
    after(() => deployment.stop());

    describe("step: spread", () => {
        it("fault: none: in force at every process within 17 s", async () => {
            await accept();
            await expectInForce(performance.now());
        });

        for (const victim of ["entry", "agent"] as const) {
            it(`fault: ${victim} killed and restarted: in force at every process within 17 s`, async () => {
                const child = findVictim(victim);
                child.signal("SIGKILL");
                await child.ended;
                await accept();
                const acceptedAt = performance.now();
                await deployment.restartEnded();
                await expectInForce(acceptedAt);
            });

            it(`fault: ${victim} frozen past every lease: in force at every process within 17 s`, async () => {
                const child = findVictim(victim);
                child.signal("SIGSTOP");
                await accept();
                const acceptedAt = performance.now();
                await delay(FREEZE_MS);
                child.signal("SIGCONT");
                await expectInForce(acceptedAt);
            });
        }

        it("fault: platform frozen after the acceptance: in force at every process within 17 s", async () => {
            await accept();
            const acceptedAt = performance.now();
            deployment.platform.signal("SIGSTOP");
            await delay(FREEZE_MS);
            deployment.platform.signal("SIGCONT");
            await expectInForce(acceptedAt);
        });
    });

    async function accept(): Promise<void> {
        const response = await deployment.apply(createDocument(accepted + 1), accepted);
        expect(response.status, await response.text()).to.equal(200);
        accepted++;
    }

    function findVictim(victim: Victim): ChildProcess {
        const { entries, agents, platform } = deployment;
        // The first entry accepts the changes.
        const victims: Record<Victim, ChildProcess> = { entry: entries[1]!, agent: agents[0]!, platform };
        return victims[victim];
    }

    /** Polls all processes until they report the accepted revision; none may report an older one than before. */
    async function expectInForce(acceptedAt: number): Promise<void> {
        const { entries, agents } = deployment;
        const end = acceptedAt + IN_FORCE_LIMIT_MS;
        let behind: string[];
        do {
            behind = [];
            for (const child of [...entries, ...agents]) {
                const revision = await revisionOf(child);
                expect(revision, child.name).to.be.at.least(highest.get(child.pid) ?? 0);
                highest.set(child.pid, revision);
                if (revision < accepted) {
                    behind.push(`${child.name} at ${revision}`);
                }
            }
            await delay(20);
        } while (behind.length > 0 && performance.now() < end);
        expect(behind, `behind revision ${accepted}`).to.deep.equal([]);
    }
});
