import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { WorkerStatus } from "@tanagerdeck/backend/worker/workerTypes";
import { isEnded, type JobStatus } from "@tanagerdeck/decisions/gang/jobTypes";
import { gangConfiguration } from "./gangConfiguration.ts";
import { injectFaults, type Injection } from "./gangFaults.ts";
import { startGangFixture, type GangFixture } from "./gangFixture.ts";
import { doubleAllocations, longestPartialRunMs } from "./gangMeasures.ts";

const JOB = { id: "job", clientAccount: "vans", accelerators: 6, ms: 6_000 };
const CANCEL_AT_MS = 4_000;
/** Allows for three faults, each of which can take 6 s of suspicion and 64 s until an anchor counts as lost. */
const RUN_LIMIT_MS = 300_000;
/** Longer than any lease, hold or message delay. */
const SETTLE_MS = 12_000;

/** Outcome of a job and its parts. */
export interface JobScenarioResult {
    status: JobStatus | undefined;
    /** Longest time for which only some parts of an attempt computed. */
    partialMs: number;
    doubleAllocations: string[];
    /** Keys of the attempts in which at least one part computed. */
    computedAttempts: Set<string>;
    /** Computing intervals that have not ended. */
    unfinishedIntervals: number;
    /** Accelerators that running agents do not report as free after all leases have ended. */
    occupiedAccelerators: number;
}

/** Runs one job of three parts on a manual clock while faults are injected. */
export async function runJobWithFaults(
    kind: string,
    injections: Injection[],
    shouldCancel: boolean,
    seed: number,
): Promise<JobScenarioResult> {
    const fixture = await startGangFixture({
        workers: 6,
        accelerators: 2,
        entries: 2,
        configuration: gangConfiguration(),
        random: uniformRandom(seed),
    });
    const commitments = injectFaults(fixture, injections);
    void fixture.submit(0, { ...JOB, kind });
    if (shouldCancel) {
        fixture.clock.startTimer(CANCEL_AT_MS, () => {
            const entry = fixture.entries[0]!.process.isAlive() ? 0 : 1;
            void fixture.cancel(entry, JOB.id, JOB.clientAccount);
        });
    }
    const status = await awaitEnd(fixture);
    await fixture.clock.advance(SETTLE_MS);
    const models = fixture.agents.map(agent => agent.model);
    const now = fixture.clock.now();
    const intervals = models.flatMap(model => model.intervals);
    const result = {
        status,
        partialMs: longestPartialRunMs(models, commitments, now),
        doubleAllocations: doubleAllocations(models, now),
        computedAttempts: new Set(intervals.map(({ id }) => id)),
        unfinishedIntervals: intervals.filter(({ end }) => end === undefined).length,
        occupiedAccelerators: await countOccupiedAccelerators(fixture),
    };
    await fixture.stop();
    return result;
}

/** Advances the clock until an entry reports a recorded end, at most to `RUN_LIMIT_MS`; returns the last status. */
async function awaitEnd(fixture: GangFixture): Promise<JobStatus | undefined> {
    let last: JobStatus | undefined;
    while (fixture.clock.now() < RUN_LIMIT_MS) {
        await fixture.clock.advance(1_000);
        for (const [position, entry] of fixture.entries.entries()) {
            if (!entry.process.isAlive()) {
                continue;
            }
            const reply = fixture.status(position, JOB.id, JOB.clientAccount);
            await fixture.clock.advance(600);
            const settled = await Promise.race([reply, undefined]);
            if (settled?.kind === "status") {
                last = settled.status;
                if (isEnded(last.state) && last.recorded) {
                    return last;
                }
            }
        }
    }
    return last;
}

async function countOccupiedAccelerators(fixture: GangFixture): Promise<number> {
    let count = 0;
    for (const { process, model, worker } of fixture.agents) {
        if (process.isAlive() && !model.faults.silent) {
            const { load } = await worker.ask<WorkerStatus>(reply => ({ kind: "status", reply }));
            count += load.accelerators.filter(({ kind }) => kind !== "free").length;
        }
    }
    return count;
}

/** Random numbers in [0, 1) that depend on the seed only. */
function uniformRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformInt(generator, 0, 999_999) / 1_000_000;
}
