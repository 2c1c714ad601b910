import { expect } from "chai";
import fc from "fast-check";
import { isEnded } from "@tanagerdeck/decisions/gang/jobTypes";
import { MAX_PARTIAL_RUN_MS } from "@tanagerdeck/decisions/gang/gangTypes";
import { NON_REPEATABLE_KIND, REPEATABLE_KIND } from "@tanagerdeck/standins/gang/gangConfiguration";
import {
    GANG_FAULTS,
    GANG_STEPS,
    type GangFault,
    type GangStep,
    type Injection,
} from "@tanagerdeck/standins/gang/gangFaults";
import { runJobWithFaults } from "@tanagerdeck/standins/gang/jobScenario";

const SEED = 20_260;

/** Steps at which every pair of faults is tested; the random fault schedules cover the other steps. */
const PAIR_STEPS: readonly GangStep[] = ["start", "renew"];

/** Fault combinations that failed in earlier runs. */
const REGRESSION_CASES: Injection[][] = [
    [
        { step: "reserve", fault: "coordinator frozen and resumed", occurrence: 1 },
        { step: "reserve", fault: "anchor killed", occurrence: 2 },
    ],
    [
        { step: "reserve", fault: "message lost", occurrence: 1 },
        { step: "reserve", fault: "two coordinators", occurrence: 2 },
    ],
    [
        { step: "commit", fault: "member VM killed", occurrence: 1 },
        { step: "reserve", fault: "member restarted", occurrence: 4 },
    ],
];

// Guards against a gang of which one part computes without the others for too long, two tasks on one accelerator, parts
// or holds that stay behind, and a wrong or missing end of the job, under one to three faults of the gang protocol.
describe("invariant 2: no part runs without the rest of its gang", () => {
    for (const step of GANG_STEPS) {
        describe(`step: ${step}`, () => {
            for (const fault of GANG_FAULTS) {
                it(`fault: ${fault}: the gang stays whole and the job ends once`, async () => {
                    for (const occurrence of [1, 2, 3]) {
                        await checkGangInvariants(
                            REPEATABLE_KIND,
                            [{ step, fault, occurrence }],
                            step === "stop",
                        );
                        await checkGangInvariants(
                            NON_REPEATABLE_KIND,
                            [{ step, fault, occurrence }],
                            step === "stop",
                        );
                    }
                });
            }
        });
    }

    for (const step of PAIR_STEPS) {
        describe(`step: ${step}, two faults`, () => {
            for (const [first, second] of unorderedPairs(GANG_FAULTS)) {
                it(`fault: ${first}, then ${second}: the gang stays whole and the job runs as told`, async () => {
                    const injections = [
                        { step, fault: first, occurrence: 2, delayMs: 1_600 },
                        { step, fault: second, occurrence: 3, delayMs: 700 },
                    ];
                    await checkGangInvariants(NON_REPEATABLE_KIND, injections, false);
                });
            }
        });
    }

    describe("step: reserve, found by earlier runs", () => {
        for (const injections of REGRESSION_CASES) {
            const faults = injections.map(({ fault }) => fault).join(", then ");
            it(`fault: ${faults}: the job still runs once`, async () => {
                await checkGangInvariants(NON_REPEATABLE_KIND, injections, false);
            });
        }
    });

    describe("step: any", () => {
        it("fault: any three at random times: the gang stays whole", async () => {
            const injection = fc.record({
                step: fc.constantFrom<GangStep>(...GANG_STEPS),
                fault: fc.constantFrom<GangFault>(...GANG_FAULTS),
                occurrence: fc.integer({ min: 1, max: 9 }),
                delayMs: fc.constantFrom(300, 1_600, 2_500, 6_000),
            });
            const schedule = fc.array(injection, { minLength: 3, maxLength: 3 });
            const kind = fc.constantFrom(REPEATABLE_KIND, NON_REPEATABLE_KIND);
            await fc.assert(fc.asyncProperty(kind, schedule, fc.boolean(), checkGangInvariants), {
                seed: SEED,
                numRuns: 150,
                endOnFailure: true,
            });
        }).timeout(120_000);
    });
});

async function checkGangInvariants(
    kind: string,
    injections: Injection[],
    cancelsJob: boolean,
): Promise<void> {
    const result = await runJobWithFaults(kind, injections, cancelsJob, SEED);
    const detail = `${kind} ${JSON.stringify(injections)} ${JSON.stringify(result.status)}`;
    expect(result.partialMs, detail).to.be.at.most(MAX_PARTIAL_RUN_MS);
    expect(result.doubleAllocations, detail).to.deep.equal([]);
    expect(result.unfinishedIntervals, `${detail} still computes`).to.equal(0);
    expect(result.occupiedAccelerators, `${detail} left accelerators taken`).to.equal(0);
    expect(result.status && isEnded(result.status.state), `${detail} has not ended`).to.equal(true);
    if (kind === NON_REPEATABLE_KIND) {
        expect(result.computedAttempts.size, detail).to.be.at.most(1);
    }
    if (result.status?.end?.verdict === "not-run") {
        expect([...result.computedAttempts], detail).to.deep.equal([]);
    }
    if (kind === REPEATABLE_KIND && !cancelsJob) {
        expect(result.status?.state, detail).to.equal("finished");
    }
}

function unorderedPairs(faults: readonly GangFault[]): [GangFault, GangFault][] {
    return faults.flatMap((first, position) =>
        faults.slice(position + 1).map((second): [GangFault, GangFault] => [first, second]),
    );
}
