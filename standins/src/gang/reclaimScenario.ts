import type { Dispatch } from "@tanagerdeck/caller/job/jobTaskTypes";
import type { CommitRequest } from "@tanagerdeck/decisions/gang/gangTypes";
import { firstFitPlacement } from "@tanagerdeck/decisions/placement/firstFitPlacement";
import { gangConfiguration, ONCE_KIND, REPEATABLE_KIND } from "./gangConfiguration.ts";
import { startGangFixture, type GangFixture } from "./gangFixture.ts";
import { doubleUses, longestPartialMs } from "./gangMeasures.ts";
import { createSimpleDispatch, type Place } from "./simpleDispatch.ts";

/** Workers that are bound to the owner. */
export const BOUND_WORKERS = 3;
/** Time after which the owner's job has started or never will. */
const OBSERVED_MS = 30_000;

/** A job on the owner's binding, and one of another account that runs there before. */
export const OWNER_JOB = {
    id: "urgent",
    clientAccount: "owner",
    kind: REPEATABLE_KIND,
    accelerators: 6,
    ms: 2_000,
};
export const BORROWER_JOB = {
    id: "long",
    clientAccount: "vans",
    kind: ONCE_KIND,
    accelerators: 6,
    ms: 15_000,
};

/** Faults while the owner reclaims its binding. */
export const RECLAIM_FAULTS = {
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

/** A fault while the owner reclaims its binding. */
export type ReclaimFault = keyof typeof RECLAIM_FAULTS;

/** What became of a reclaim. */
export interface ReclaimResult {
    /** From the submission until all parts of the owner's gang compute. */
    startMs: number;
    partialMs: number;
    doubleUses: string[];
}

/** Faults that need the borrower's anchor on a worker that the owner does not use. */
const FOREIGN_ANCHOR = new Set<ReclaimFault>(["borrower's anchor killed", "borrower's anchor frozen"]);

/** Lets the owner reclaim its binding while a fault occurs, on the manual clock. */
export async function reclaimWithFault(fault: ReclaimFault): Promise<ReclaimResult> {
    const { fixture, commitments } = await startBorrowed(FOREIGN_ANCHOR.has(fault));
    const submittedAt = fixture.clock.now();
    RECLAIM_FAULTS[fault](fixture);
    void fixture.submit(0, OWNER_JOB);
    await fixture.clock.advance(OBSERVED_MS);
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

/** A fixture in which the borrower runs on the owner's binding, with all commitments so far and later. */
export async function startBorrowed(
    foreignAnchor = false,
    dispatch: Dispatch = createSimpleDispatch(ownerFirst(foreignAnchor)),
): Promise<{ fixture: GangFixture; commitments: CommitRequest[] }> {
    const configuration = gangConfiguration(BOUND_WORKERS);
    const fixture = await startGangFixture({
        workers: 6,
        accelerators: 2,
        entries: 2,
        configuration,
        random: () => 0.5,
        dispatch,
    });
    const commitments: CommitRequest[] = [];
    fixture.network.choose = ({ step, input }) => {
        if (step === "commit") {
            commitments.push(input as CommitRequest);
        }
        return "none";
    };
    void fixture.submit(0, BORROWER_JOB);
    await fixture.clock.advance(4_000);
    return { fixture, commitments };
}

/** Places the owner on its binding and others on the first free accelerators, or from worker 3 downwards. */
function ownerFirst(foreignAnchor: boolean): Place {
    return (demand, workers) => {
        if (demand.clientAccount !== "owner") {
            const order = foreignAnchor ? [...workers.slice(0, 4)].reverse() : workers;
            return firstFitPlacement(demand, order);
        }
        const bound = workers.slice(0, BOUND_WORKERS);
        if (bound.some(({ usable }) => !usable)) {
            return undefined;
        }
        const members = bound.map(({ agent, address, rack, slot }) => {
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
