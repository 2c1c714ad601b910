import { startCrowd } from "@tanagerdeck/standins/crowd/crowd";
import {
    bareRequests,
    endlessHeads,
    heldConnections,
    largeChunks,
    malformedInput,
    mixedCrowd,
    sentAhead,
    stalledBodies,
    tinyChunks,
} from "@tanagerdeck/standins/crowd/crowdKinds";
import { peakProblems } from "@tanagerdeck/standins/crowd/crowdLimits";
import { watchProcess } from "@tanagerdeck/standins/crowd/processWatch";
import type { EmulatedDeployment, EmulatedEntry } from "@tanagerdeck/standins/emulator/emulatorTypes";
import type { InvariantChecker } from "@tanagerdeck/standins/emulator/invariantChecker";
import { createSoakRandom, type SoakRandom } from "./soakRandom.ts";

/** Options of the crowds of a soak. */
export interface SoakCrowdOptions {
    deployment: EmulatedDeployment;
    checker: InvariantChecker;
    seed: number;
    isEnding: () => boolean;
}

/** Added to the seed of the faults to get the seed of the crowds. */
const CROWD_SEED_OFFSET = 3_000_003;
/** Few enough that the crowds of all entries leave a processor for the ordinary callers. */
const CONNECTIONS_PER_ENTRY = 24;
const KINDS = [
    tinyChunks(25_000),
    sentAhead(2_500),
    bareRequests(5_000),
    largeChunks(),
    stalledBodies(),
    endlessHeads(),
    malformedInput,
    heldConnections,
];

/** Plays a crowd against each entry, again and again, and reports entries that end or exceed their memory by it. */
export function runSoakCrowds(options: SoakCrowdOptions): Promise<void>[] {
    const { entries } = options.deployment;
    return entries.map((entry, index) => {
        const random = createSoakRandom(options.seed + CROWD_SEED_OFFSET + index);
        return crowdLoop(options, entry, `127.9.3.${1 + index}`, random);
    });
}

async function crowdLoop(
    { checker, isEnding }: SoakCrowdOptions,
    entry: EmulatedEntry,
    localAddress: string,
    random: SoakRandom,
): Promise<void> {
    const ended = new Set<number>();
    while (!isEnding()) {
        const { child } = entry;
        const watch = watchProcess(child.pid);
        const first = random.between(0, KINDS.length - 1);
        const crowd = startCrowd({
            address: entry.callerAddress,
            connections: CONNECTIONS_PER_ENTRY,
            kind: mixedCrowd([...KINDS.slice(first), ...KINDS.slice(0, first)]),
            localAddress,
            playMs: random.between(500, 3_000),
        });
        await crowd.played;
        await pause(random.between(0, 4_000));
        const problems = peakProblems({ child, watch });
        if (!child.running() && !ended.has(child.pid) && child.output().includes("FATAL ERROR")) {
            ended.add(child.pid);
            problems.push(`${child.name} ran out of memory`);
        }
        for (const problem of problems) {
            checker.reportViolation("survival", problem, performance.now());
        }
        watch.stop();
        crowd.stop();
    }
}

function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
