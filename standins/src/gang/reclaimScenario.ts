import type { Dispatch } from "@tanagerdeck/caller/job/jobTaskTypes";
import type { CommitRequest } from "@tanagerdeck/decisions/gang/gangTypes";
import { firstFitPlacement } from "@tanagerdeck/decisions/placement/firstFitPlacement";
import { gangConfiguration, NON_REPEATABLE_KIND, REPEATABLE_KIND } from "./gangConfiguration.ts";
import { startGangFixture, type GangFixture } from "./gangFixture.ts";
import { doubleAllocations, longestPartialRunMs } from "./gangMeasures.ts";
import { createSimpleDispatch, type PlaceGang } from "./simpleDispatch.ts";

/** Number of workers that are bound to the owner. */
export const BOUND_WORKERS = 3;
/** Observation time; an owner's job that has not started by then never will. */
const OBSERVATION_MS = 30_000;

/** The owner's job, and a job of another account that already runs on the owner's binding. */
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
    kind: NON_REPEATABLE_KIND,
    accelerators: 6,
    ms: 15_000,
};

/** Faults that can be injected while the owner reclaims its binding. */
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
        loseFirstMessage(fixture, "reclaimGang");
    },
    "stop message lost once": fixture => {
        loseFirstMessage(fixture, "stop");
    },
    "platform down": fixture => {
        fixture.platform.mode = "down";
    },
} satisfies Record<string, (fixture: GangFixture) => void>;

/** Name of a fault in `RECLAIM_FAULTS`. */
export type ReclaimFault = keyof typeof RECLAIM_FAULTS;

/** Outcome of a reclaim. */
export interface ReclaimResult {
    /** Time from the submission until all parts of the owner's gang compute. */
    startMs: number;
    /** Longest time for which only some parts of an attempt computed. */
    partialMs: number;
    doubleAllocations: string[];
}

/** Faults for which the borrower's anchor has to run on a worker outside of the owner's binding. */
const UNBOUND_ANCHOR_FAULTS = new Set<ReclaimFault>(["borrower's anchor killed", "borrower's anchor frozen"]);

/** Runs a reclaim of the owner's binding on a manual clock while a fault occurs. */
export async function reclaimWithFault(fault: ReclaimFault): Promise<ReclaimResult> {
    const { fixture, commitments } = await startBorrowedFixture(UNBOUND_ANCHOR_FAULTS.has(fault));
    const submittedAt = fixture.clock.now();
    RECLAIM_FAULTS[fault](fixture);
    void fixture.submit(0, OWNER_JOB);
    await fixture.clock.advance(OBSERVATION_MS);
    const starts = models(fixture)
        .slice(0, BOUND_WORKERS)
        .map(({ intervals }) => intervals.find(({ id }) => id.startsWith("owner/urgent#"))?.begin);
    const startMs = Math.max(...starts.map(begin => begin ?? Number.POSITIVE_INFINITY)) - submittedAt;
    const now = fixture.clock.now();
    const result = {
        startMs,
        partialMs: longestPartialRunMs(models(fixture), commitments, now),
        doubleAllocations: doubleAllocations(models(fixture), now),
    };
    await fixture.stop();
    return result;
}

/** Starts a fixture in which the borrower runs on the owner's binding; `commitments` also collects later ones. */
export async function startBorrowedFixture(
    anchorOnUnboundWorker = false,
    dispatch: Dispatch = createSimpleDispatch(createOwnerPlacement(anchorOnUnboundWorker)),
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
    fixture.network.chooseFault = ({ step, input }) => {
        if (step === "commit") {
            commitments.push(input as CommitRequest);
        }
        return "none";
    };
    void fixture.submit(0, BORROWER_JOB);
    await fixture.clock.advance(4_000);
    return { fixture, commitments };
}

/** Places the owner on its binding and others by first fit, over workers 3 to 0 if `anchorOnUnboundWorker` is set. */
function createOwnerPlacement(anchorOnUnboundWorker: boolean): PlaceGang {
    return (demand, workers) => {
        if (demand.clientAccount !== "owner") {
            const order = anchorOnUnboundWorker ? [...workers.slice(0, 4)].reverse() : workers;
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

function loseFirstMessage(fixture: GangFixture, step: string): void {
    const { chooseFault } = fixture.network;
    let hasLostMessage = false;
    fixture.network.chooseFault = label => {
        const result = chooseFault(label);
        if (label.step !== step || hasLostMessage) {
            return result;
        }
        hasLostMessage = true;
        return "request-lost";
    };
}

function models(fixture: GangFixture) {
    return fixture.agents.map(agent => agent.model);
}
